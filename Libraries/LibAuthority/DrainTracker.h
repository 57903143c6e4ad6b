#pragma once

#include <LibAuthority/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Authority {

/// A daemon process that may route requests to an engine.
struct Router {
    std::string daemon;
    std::string incarnation;

    bool operator==(Router const&) const = default;
    auto operator<=>(Router const&) const = default;
};

/// The holder's account of who has acknowledged that an engine is closed. An acknowledgement counts for
/// `timeToLive` from before the request for it was sent, as a lease does: the daemon's own count began later.
/// Pure and not thread-safe.
class DrainTracker {
public:
    /// Precondition: `timeToLive` is what the daemons are told.
    explicit DrainTracker(Duration timeToLive);

    /// Sets who may route to the engine by now: all that are live or can't be shown to be gone.
    void setRouters(std::vector<Router>);

    /// Begins a round of requests to close or open, at `now`, before the first is sent; returns its number, which
    /// is higher than all before it.
    std::uint64_t beginRound(Time now);

    /// Notes that a daemon closed the engine on the request of that round. Unknown rounds are ignored.
    void acknowledge(Router const&, std::uint64_t round, Time now);

    /// Forgets all acknowledgements, as when the engine is opened.
    void reset();

    /// Returns the daemons, sorted, that may still route to the engine as far as is known.
    std::vector<std::string> missing(Time now) const;

    /// Returns when the last of the acknowledgements that count came; nothing while some are missing.
    std::optional<Time> closedSince(Time now) const;

private:
    struct Closed {
        Time until;
        Time since;
    };

    bool isClosed(Router const&, Time now) const;

    Duration m_timeToLive;
    std::vector<Router> m_routers;
    std::map<std::uint64_t, Time> m_rounds;
    std::uint64_t m_nextRound { 1 };
    std::map<Router, Closed> m_closed;
};

}
