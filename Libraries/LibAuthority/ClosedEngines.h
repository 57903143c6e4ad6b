#pragma once

#include <LibAuthority/Time.h>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace Authority {

/// The engines to which one daemon sends no new requests because their lease holder is about to reconfigure them. A
/// close expires unless the holder repeats it, so that a failed holder doesn't leave an engine unused: a request that
/// reaches a changing engine is rejected without being run, and rerouted. Does no I/O and is not thread-safe.
class ClosedEngines {
public:
    /// Closes an engine until `now + timeToLive`. Messages are ordered by `fencing`, then by `round`, which increases with
    /// each message of one holder. Returns false and changes nothing if a later message was seen: the close must be
    /// acknowledged to the holder only if this returns true.
    bool close(std::string const& engine, std::uint64_t fencing, std::uint64_t round, Time now, Duration timeToLive);

    /// Reopens an engine. Returns false and changes nothing if a later message was seen.
    bool open(std::string const& engine, std::uint64_t fencing, std::uint64_t round);

    /// Returns whether new requests to the engine are disallowed.
    bool isClosed(std::string const& engine, Time now) const;

    /// Removes an engine that is no longer in the platform's list.
    void forget(std::string const& engine) { m_engines.erase(engine); }

private:
    struct Entry {
        std::pair<std::uint64_t, std::uint64_t> order { 0, 0 }; ///< Fencing token and round.
        Time closedUntil { Time::min() };
    };

    std::map<std::string, Entry> m_engines;
};

}
