#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Routing {

/// How requests ended at one target. `target` is the same number at every daemon.
struct OutcomeCounts {
    std::uint64_t target { 0 };
    std::uint32_t good { 0 };
    std::uint32_t bad { 0 }; ///< Answered with a failure of the target's own, or broken off.

    bool operator==(OutcomeCounts const&) const = default;
};

/// When a target counts as an outlier, and for how long.
struct OutlierSettings {
    std::chrono::milliseconds slot { 500 };
    std::uint32_t leastBad { 5 }; ///< Single failures happen to sound targets.
    double leastShare { 0.4 }; ///< A target that does better than this is worth more than none.
    /// How far its part of bad requests must be above the others', in standard deviations of that difference (the test of
    /// two proportions). The users' services fail some 14 in 100 by themselves: at 17 requests a window and target chance
    /// alone passes 3 once in five minutes, and a target that fails half of its work passes it in most windows.
    double deviations { 3.0 };
    /// It gets work again after this, doubled each time that it fails again: only work shows whether it is well.
    std::chrono::milliseconds firstHold { 1'000 };
    std::chrono::milliseconds longestHold { 8'000 };
    std::chrono::milliseconds forgiveAfter { 10'000 }; ///< Without being an outlier again.
    /// A group keeps this part of its targets, whatever they do: where all fail, moving work brings nothing.
    double mostOfGroup { 0.5 };
};

/// Finds targets that answer much worse than the others that do the same work: a target that fails at once looks idle, and
/// would draw more and more requests. Counts come from all daemons, for each alone sees few. Pure and not thread-safe.
class OutlierFinder {
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit OutlierFinder(OutlierSettings const& settings = {})
        : m_settings(settings)
    {
    }

    /// Notes the end of a request that this daemon sent.
    void note(std::uint64_t target, bool isGood, Time now);

    /// Returns what this daemon noted since the last call, for its peers.
    std::vector<OutcomeCounts> takeUntold();

    /// Takes what a peer noted.
    void take(std::vector<OutcomeCounts> const&, Time now);

    /// Sets the groups of targets that do the same work, and forgets all others.
    void setGroups(std::vector<std::vector<std::uint64_t>> groups);

    /// Finds outliers anew. Returns those that were none before.
    std::vector<OutcomeCounts> update(Time now);

    /// Whether a target should get no work while others of its group can.
    bool isOutlier(std::uint64_t target, Time now) const;

private:
    static constexpr std::size_t slots = 10; ///< 5 s: some 20 requests a target at the users' rates.

    struct Slot {
        std::int64_t number { -1 };
        std::uint32_t good { 0 };
        std::uint32_t bad { 0 };
    };

    struct Known {
        std::array<Slot, slots> window;
        Time outUntil;
        std::uint32_t timesOut { 0 };
    };

    void add(OutcomeCounts const&, Time now);
    OutcomeCounts sum(std::uint64_t target, Time now) const;
    std::int64_t slotNumber(Time now) const { return now.time_since_epoch() / m_settings.slot; }
    void hold(Known&, Time now) const;

    OutlierSettings m_settings;
    std::vector<std::vector<std::uint64_t>> m_groups;
    std::unordered_map<std::uint64_t, Known> m_known;
    std::unordered_map<std::uint64_t, OutcomeCounts> m_untold;
};

}
