#pragma once

#include <LibAuthority/Time.h>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace Authority {

/// One daemon's list of engines to which it sends no new requests because their lease holder is about to
/// change them. A closing lapses unless the holder repeats it, so an engine is not lost with its holder: what is
/// sent to a changing engine is refused there, not run, and rerouted. Pure and not thread-safe.
class ClosedEngines {
public:
    /// Closes an engine until `now + timeToLive`. Messages are ordered by `fencing`, then by `round`, which grows with
    /// each message of one holder. Returns false, with nothing changed, when a later one was seen: only a true
    /// answer is to be acknowledged to the holder.
    bool close(std::string const& engine, std::uint64_t fencing, std::uint64_t round, Time now, Duration timeToLive);

    /// Opens an engine. Returns false, with nothing changed, when a later message was seen.
    bool open(std::string const& engine, std::uint64_t fencing, std::uint64_t round);

    /// Returns whether no new request may be sent to the engine.
    bool isClosed(std::string const& engine, Time now) const;

    /// Forgets an engine that is no longer listed.
    void forget(std::string const& engine) { m_engines.erase(engine); }

private:
    struct Entry {
        std::pair<std::uint64_t, std::uint64_t> order { 0, 0 }; ///< Fencing number and round.
        Time closedUntil { Time::min() };
    };

    std::map<std::string, Entry> m_engines;
};

}
