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

/// Tracks, at the lease holder, which daemons have acknowledged that an engine is closed. An acknowledgement is valid for
/// `timeToLive` from before its request was sent, as a lease is: the daemon's own timer started later and so ends later.
/// Does no I/O and is not thread-safe.
class DrainTracker {
public:
    /// Precondition: `timeToLive` is the value sent to the daemons.
    explicit DrainTracker(Duration timeToLive);

    /// Sets the daemons that may route to the engine: all that are live or not proven to be gone.
    void setRouters(std::vector<Router>);

    /// Starts a round of close or open requests at `now`, before the first one is sent. Returns its number, which is higher
    /// than those of all earlier rounds.
    std::uint64_t beginRound(Time now);

    /// Records that a daemon closed the engine in response to that round. Unknown rounds are ignored.
    void acknowledge(Router const&, std::uint64_t round, Time now);

    /// Discards all rounds and acknowledgements, as when the engine is reopened.
    void reset();

    /// Returns the names, sorted, of the daemons without a valid acknowledgement: they may still route to the engine.
    std::vector<std::string> unacknowledged(Time now) const;

    /// Returns when the last daemon was first known to be closed, or nothing while any acknowledgement is missing.
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
