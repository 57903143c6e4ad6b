#include <LibSettings/Key.h>
#include <array>
#include <charconv>

namespace Settings {

namespace {

template <typename Number>
Core::Result<Number> readInRange(std::string_view text, Number low, Number high, std::string const& allowed)
{
    Number number {};
    std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || !(number >= low && number <= high))
        return Core::fail(Core::ErrorCode::BadInput, "read \"" + std::string(text) + "\"; allowed is " + allowed);
    return number;
}

}

Core::Result<std::uint64_t> readNumber(std::string_view text, std::uint64_t low, std::uint64_t high)
{
    return readInRange<std::uint64_t>(text, low, high, describeRange(low, high));
}

Core::Result<double> readFraction(std::string_view text, double low, double high)
{
    return readInRange<double>(text, low, high, "a number from " + printFraction(low) + " to " + printFraction(high));
}

std::string describeRange(std::uint64_t low, std::uint64_t high)
{
    return "a whole number from " + std::to_string(low) + " to " + std::to_string(high);
}

std::string printFraction(double number)
{
    std::array<char, 32> buf {};
    std::to_chars_result printed = std::to_chars(buf.data(), buf.data() + buf.size(), number);
    return { buf.data(), printed.ptr };
}

}
