#include "StreamEvents.h"

#include <regex>

namespace Processes {

namespace {

std::vector<std::string> matchesOf(std::string const& text, char const* pattern, std::size_t group)
{
    std::regex regex(pattern);
    std::vector<std::string> matches;
    for (std::sregex_iterator it(text.begin(), text.end(), regex); it != std::sregex_iterator(); ++it)
        matches.push_back((*it)[group]);
    return matches;
}

}

std::string eventsIn(std::string const& text)
{
    std::string events;
    for (std::string const& event : matchesOf(text, "id: \\d+\ndata: [^\n]*\n\n", 0))
        events += event;
    return events;
}

std::vector<std::uint32_t> eventIds(std::string const& events)
{
    std::vector<std::uint32_t> ids;
    for (std::string const& id : matchesOf(events, "id: (\\d+)", 1))
        ids.push_back(static_cast<std::uint32_t>(std::stoul(id)));
    return ids;
}

std::set<std::string> releasesIn(std::string const& events)
{
    std::vector<std::string> releases = matchesOf(events, " by (\\S+)", 1);
    return { releases.begin(), releases.end() };
}

bool isOneStream(std::string const& events)
{
    std::uint32_t expected = 0;
    for (std::uint32_t id : eventIds(events)) {
        if (id != ++expected)
            return false;
    }
    std::size_t naming = matchesOf(events, "data: [^\n]* by \\S+\n", 0).size();
    return (naming == 0 || naming == expected) && releasesIn(events).size() <= 1;
}

}
