#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Processes {

/// Returns the whole events of engines in what came of a stream, without what its framing put between them.
std::string eventsIn(std::string const& text);

/// Returns the ids of events, in their order.
std::vector<std::uint32_t> eventIds(std::string const& events);

/// Returns the releases that wrote events.
std::set<std::string> releasesIn(std::string const& events);

/// Returns whether a caller may hold these events: the first ones of a stream, each once, and all from one release, which
/// all or none of them name.
bool isOneStream(std::string const& events);

}
