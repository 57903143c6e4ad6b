#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace Routing {

/// Outcomes of requests at one target. All daemons use the same `target` identifier.
struct OutcomeCounts {
    std::uint64_t target { 0 };
    std::uint32_t good { 0 };
    std::uint32_t bad { 0 }; ///< Failed by the target itself, or interrupted.

    bool operator==(OutcomeCounts const&) const = default;
};

/// When a target is ejected as an outlier, and for how long.
struct OutlierSettings {
    std::chrono::milliseconds slot { 500 };
    std::uint32_t minFailures { 5 }; ///< Healthy targets have occasional failures.
    double minFailureShare { 0.4 }; ///< A target with a lower failure rate still adds capacity.
    /// How far its failure rate must exceed that of the others, in standard deviations of the difference (two-proportion
    /// z-test). The users' services have a base failure rate of about 14 %: with 17 requests per target and window, 3 is
    /// exceeded by chance once in five minutes, and in most windows by a target that fails half of its requests.
    double deviations { 3.0 };
    /// Duration of the first ejection, doubled each time it fails again: only real requests show whether it has recovered.
    std::chrono::milliseconds initialEjection { 1'000 };
    std::chrono::milliseconds maxEjection { 8'000 };
    std::chrono::milliseconds resetAfter { 10'000 }; ///< Time without another ejection after which the doubling resets.
    /// Maximum share of a group that is ejected: where all targets fail, moving requests does not help.
    double maxEjectedShare { 0.5 };
};

/// Detects targets that fail much more often than others that do the same work: a target that fails immediately looks idle
/// and would attract more and more requests. Counts of all daemons are combined, since each sees few requests. Performs no
/// I/O. Not thread-safe.
class OutlierFinder {
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit OutlierFinder(OutlierSettings const& settings = {})
        : m_settings(settings)
    {
    }

    /// Records the outcome of a request that this daemon sent.
    void note(std::uint64_t target, bool isGood, Time now);

    /// Returns the outcomes that this daemon recorded since the last call, to be sent to its peers.
    std::vector<OutcomeCounts> takeUnreported();

    /// Adds the outcomes that a peer recorded.
    void merge(std::vector<OutcomeCounts> const&, Time now);

    /// Sets the groups of targets that do the same work, and removes all other targets.
    void setGroups(std::vector<std::vector<std::uint64_t>> groups);

    /// Updates the set of outliers. Returns the new ones.
    std::vector<OutcomeCounts> update(Time now);

    /// Returns whether a target should receive no work while others of its group are available.
    bool isOutlier(std::uint64_t target, Time now) const;

private:
    static constexpr std::size_t slots = 10; ///< 5 s: about 20 requests per target at the users' rates.

    struct Slot {
        std::int64_t number { -1 };
        std::uint32_t good { 0 };
        std::uint32_t bad { 0 };
    };

    struct TargetState {
        std::array<Slot, slots> window;
        Time ejectedUntil;
        std::uint32_t ejections { 0 };
    };

    void add(OutcomeCounts const&, Time now);
    OutcomeCounts sum(std::uint64_t target, Time now) const;
    std::int64_t slotNumber(Time now) const { return now.time_since_epoch() / m_settings.slot; }
    void eject(TargetState&, Time now) const;

    OutlierSettings m_settings;
    std::vector<std::vector<std::uint64_t>> m_groups;
    std::unordered_map<std::uint64_t, TargetState> m_targets;
    std::unordered_map<std::uint64_t, OutcomeCounts> m_unreported;
};

}
