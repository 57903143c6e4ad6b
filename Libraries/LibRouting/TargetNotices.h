#pragma once

#include <LibCore/BootClock.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace Routing {

/// What a target says of itself in the head of an answer, whatever it answers.
struct TargetNotice {
    bool isLeaving { false }; ///< It will end, and wants no new requests.
    std::optional<std::chrono::milliseconds> pause {}; ///< It wants nothing from this daemon for so long.

    bool operator==(TargetNotice const&) const = default;
};

/// What targets have said of themselves to this daemon. A word holds for the incarnation that said it, and nothing that is older or
/// comes from elsewhere takes it back. Pure and not thread-safe.
class TargetNotices {
public:
    using Time = Core::BootClock::time_point;

    /// Notes a target's word. Returns whether it is new that the target leaves.
    bool note(std::uint64_t target, TargetNotice const&, Time now);

    /// Whether nothing is to be sent to the target now.
    bool isClosed(std::uint64_t target, Time now) const;

    /// Returns when a target that wants nothing for a while may be sent to again; nothing for one that leaves, or wants it now.
    std::optional<Time> opensAt(std::uint64_t target, Time now) const;

    /// Forgets targets that have not been listed for long. An entry may lapse and come back with the same incarnation.
    void keepListed(std::set<std::uint64_t> const& listed, Time now);

private:
    struct Said {
        bool isLeaving { false };
        Time pausedUntil;
        std::optional<Time> unlistedSince;
    };

    std::map<std::uint64_t, Said> m_said;
};

}
