#include <LibState/RecordId.h>
#include <charconv>

namespace State {

namespace {

constexpr std::size_t nonceDigits = 16;

bool parseNumber(std::string_view digits, int base, std::uint64_t& number)
{
    std::from_chars_result result = std::from_chars(digits.data(), digits.data() + digits.size(), number, base);
    return !digits.empty() && result.ec == std::errc() && result.ptr == digits.data() + digits.size();
}

}

Core::Result<RecordId> RecordId::parse(std::string_view text)
{
    std::size_t hyphen = text.find('-');
    RecordId id;
    bool isValid = hyphen != std::string_view::npos && text.size() - hyphen - 1 == nonceDigits
        && parseNumber(text.substr(0, hyphen), 10, id.readNext) && parseNumber(text.substr(hyphen + 1), 16, id.nonce);
    if (!isValid)
        return Core::fail(Core::ErrorCode::BadInput, "read id '" + std::string(text.substr(0, 60)) + "', allowed: OFFSET-NONCE, such as 17-00000000000000ff");
    return id;
}

std::string RecordId::toString() const
{
    constexpr std::string_view hexDigits = "0123456789abcdef";
    std::string text = std::to_string(readNext) + "-";
    for (int shift = 60; shift >= 0; shift -= 4)
        text += hexDigits[(nonce >> shift) & 0xf];
    return text;
}

}
