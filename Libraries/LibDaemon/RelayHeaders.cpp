#include <LibDaemon/RelayHeaders.h>
#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <charconv>

namespace Daemon {

namespace {

constexpr std::string_view attemptsHeader = "Currantvale-Relay-Attempts";
constexpr std::string_view triedHeader = "Currantvale-Relay-Tried";
constexpr std::string_view streamReleaseHeader = "Currantvale-Stream-Release";

// A request is tried at a few targets; a header holds no more than this.
constexpr std::size_t maxNames = 16;

bool isPlainName(std::string const& name)
{
    constexpr std::string_view allowed = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.:";
    return !name.empty() && name.find_first_not_of(allowed) == std::string::npos;
}

std::uint32_t readNumber(std::string_view text)
{
    std::uint32_t number = 0;
    std::from_chars_result read = std::from_chars(text.data(), text.data() + text.size(), number);
    bool isNumber = read.ec == std::errc() && read.ptr == text.data() + text.size();
    return isNumber ? number : 1;
}

}

void writeRelayAttempts(Http::Fields& fields, RelayAttempts const& relay)
{
    fields.set(std::string(attemptsHeader), std::to_string(relay.attempts));
    std::string names;
    std::size_t written = 0;
    for (std::string const& name : relay.triedTargets) {
        if (!isPlainName(name) || written++ >= maxNames)
            continue;
        names += (names.empty() ? "" : ",") + name;
    }
    if (!names.empty())
        fields.set(std::string(triedHeader), names);
}

void writeStreamRelease(Http::Fields& fields, std::string const& release)
{
    if (isPlainName(release))
        fields.set(std::string(streamReleaseHeader), release);
}

std::optional<std::string> takeStreamRelease(Http::Fields& fields)
{
    std::optional<std::string_view> found = fields.find(streamReleaseHeader);
    std::optional<std::string> release = found ? std::optional<std::string>(*found) : std::nullopt;
    fields.remove(streamReleaseHeader);
    return release;
}

std::optional<RelayAttempts> takeRelayAttempts(Http::Fields& fields)
{
    std::optional<std::string_view> attempts = fields.find(attemptsHeader);
    std::optional<RelayAttempts> relay;
    if (attempts) {
        relay.emplace().attempts = readNumber(*attempts);
        std::string names(fields.find(triedHeader).value_or(""));
        boost::algorithm::split(relay->triedTargets, names, boost::algorithm::is_any_of(","));
        std::erase_if(relay->triedTargets, [](std::string const& name) { return !isPlainName(name); });
        relay->triedTargets.resize(std::min(relay->triedTargets.size(), maxNames));
    }
    fields.remove(attemptsHeader);
    fields.remove(triedHeader);
    return relay;
}

}
