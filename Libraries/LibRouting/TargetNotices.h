#pragma once

#include <LibCore/BootClock.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace Routing {

/// A target's notice about itself in the header of any answer.
struct TargetNotice {
    bool isLeaving { false }; ///< It is shutting down and accepts no new requests.
    std::optional<std::chrono::milliseconds> pause {}; ///< How long this daemon should send it nothing.
    std::optional<double> requestsPerSecond {}; ///< The rate that it accepts from all daemons together; empty: no limit.
    bool hasUnreadableLimit { false }; ///< It states a limit that cannot be read; an earlier one remains in force.

    bool operator==(TargetNotice const&) const = default;
};

/// The notices that targets have sent to this daemon. A notice applies to the incarnation that sent it, and is not overridden by
/// older information or by other sources. Performs no I/O. Not thread-safe.
class TargetNotices {
public:
    using Time = Core::BootClock::time_point;

    /// Records a target's notice. Returns whether it is the first one that says that the target is leaving.
    bool note(std::uint64_t target, TargetNotice const&, Time now);

    /// Returns whether nothing should be sent to the target now.
    bool isClosed(std::uint64_t target, Time now) const;

    /// Returns when the pause of a target ends; no value if the target is leaving or not paused.
    std::optional<Time> opensAt(std::uint64_t target, Time now) const;

    /// Removes targets that have been unlisted for long. An entry may lapse and come back with the same incarnation.
    void keepListed(std::set<std::uint64_t> const& listed, Time now);

private:
    struct TargetState {
        bool isLeaving { false };
        Time pausedUntil;
        std::optional<Time> unlistedSince;
    };

    std::map<std::uint64_t, TargetState> m_targets;
};

}
