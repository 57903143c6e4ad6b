#pragma once

#include <LibCore/EnumNames.h>
#include <LibRouting/PaceWindow.h>
#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace Routing {

/// What a target did of a request. Each kind has a pace of its own.
enum class PaceKind : std::uint8_t {
    Prompt, ///< It computed a prompt.
    Event, ///< It generated events of a stream.
    Whole, ///< It answered a request of a plain service.
};

inline constexpr Core::EnumNames<PaceKind, 3> paceKindNames { {
    { PaceKind::Prompt, "prompt" },
    { PaceKind::Event, "event" },
    { PaceKind::Whole, "whole" },
} };

/// Answers of one target that found about the same number of requests open there, summed up by the daemon that got them.
/// All daemons use the same `target` identifier.
struct PaceSample {
    std::uint64_t target { 0 };
    PaceKind kind { PaceKind::Whole };
    std::uint32_t open { 0 }; ///< Requests open at the target when these were sent, of all daemons as far as known, with them.
    std::uint32_t answers { 0 };
    double expectedSeconds { 0 }; ///< Sum of what they take at an average target of the service with no other work.
    double seconds { 0 }; ///< Sum of what they took.

    bool operator==(PaceSample const&) const = default;
};

/// What is known of one target, relative to the others of its group.
struct TargetPace {
    double factor { 1 }; ///< Time for the same work with few other requests; 1: as the group's targets on average.
    std::optional<std::uint32_t> knee; ///< Open requests beyond which another one slows all more than it is worth; empty: none seen.
    double evidence { 0 }; ///< Weight of the answers that this rests on; older answers weigh less.
    std::chrono::milliseconds age { 0 }; ///< Of the newest answer.
};

/// A knee that has moved by a quarter or more, for a log line.
struct KneeChange {
    std::uint64_t target { 0 };
    PaceKind kind { PaceKind::Whole };
    std::optional<std::uint32_t> before;
    std::optional<std::uint32_t> after;
};

/// Finds out how fast each target is and how many requests at once it takes well, from the answers that all daemons get. Nothing is
/// configured; old answers lose their weight within seconds, so that changes are followed. A target that gets no more work, since it
/// is slow, is remembered for half a minute to a minute and a half and then tried again. Performs no I/O. Not thread-safe.
class PaceBook {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Sets the groups of targets that do the same kind of work, and forgets all other targets. A target that starts again has a new
    /// identifier, so nothing is carried over.
    void setGroups(std::vector<std::vector<std::uint64_t>> groups);

    /// Records an answer that this daemon got. `expectedSeconds` is what such work takes at an average target that has no other work;
    /// answers for which that is not known are not recorded. Precondition: both times are positive and finite; others are ignored.
    void note(std::uint64_t target, PaceKind, std::uint32_t open, double expectedSeconds, double seconds, Time now);

    /// Returns answers that were recorded and not yet returned, to be sent to the peers: at most `limit` samples, those that have
    /// waited longest first, so that targets with few answers have their turn; the rest is kept for the next call.
    std::vector<PaceSample> takeUnreported(std::size_t limit);

    /// Adds the answers that a peer got. Samples with values that are no times are ignored.
    void merge(std::vector<PaceSample> const&, Time now);

    /// Returns what is known of a target; a factor of 1 and no knee while there is too little evidence. Only whole answers have a knee:
    /// prompts are computed one after another, and events come slower with each output by design.
    TargetPace pace(std::uint64_t target, PaceKind, Time now) const;

    /// Returns the same factor as `pace`, for the candidates of a decision.
    double factor(std::uint64_t target, PaceKind) const;

    /// Updates factors and knees, twice a second however often it is called. Returns the knees that have moved by a quarter or more.
    std::vector<KneeChange> update(Time now);

private:
    struct Subject {
        std::uint64_t target { 0 };
        PaceKind kind { PaceKind::Whole };

        auto operator<=>(Subject const&) const = default;
    };

    struct State {
        PaceWindow window;
        double factor { 1 };
        double ratio { 1 }; ///< Of measured to expected time.
        double evidence { 0 }; ///< That the ratio rests on; remembered for longer than the window.
        std::optional<std::uint32_t> knee;
        std::int64_t kneeMovedAt { 0 }; ///< Number of the half second.
        Time newest;

        bool isUnknown() const { return window.isEmpty() && evidence <= 0; }
        double weight() const;
        void take(PaceWindow::Estimate const&);
    };

    /// Targets that do the same kind of work.
    struct Group {
        std::vector<std::uint64_t> targets;
        std::array<LoadCurve, paceKindNames.size()> curves {}; ///< By kind; zeros: not known yet.
    };

    struct Unreported {
        std::uint32_t answers { 0 };
        double expectedSeconds { 0 };
        double seconds { 0 };
    };

    using States = std::array<State, paceKindNames.size()>; ///< By kind.

    void add(PaceSample const&, Time now);
    State const* find(std::uint64_t target, PaceKind) const;
    void updateGroup(Group&, PaceKind, std::int64_t slot, std::vector<KneeChange>&);
    static LoadCurve loadCurve(std::vector<State*> const&);
    static void updateKnee(State&, std::int64_t slot);

    std::vector<Group> m_groups;
    std::unordered_set<std::uint64_t> m_listed;
    std::unordered_map<std::uint64_t, States> m_states; ///< By target.
    std::map<std::pair<Subject, std::size_t>, Unreported> m_unreported; ///< By the range of open requests, too.
    std::deque<std::pair<Subject, std::size_t>> m_unreportedOrder; ///< The keys of `m_unreported` as they came, and some that have gone.
    std::int64_t m_updatedSlot { 0 };
};

}
