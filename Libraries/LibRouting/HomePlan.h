#pragma once

#include <LibRouting/PartHomes.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

namespace Routing {

/// Divides the homes of shared parts among the targets of one service that compute prompts, by their speeds and the load, where the fast
/// ones are clearly faster than the slow ones. Performs no I/O. Not thread-safe.
class HomePlan {
public:
    using Time = std::chrono::steady_clock::time_point;

    struct Target {
        std::uint64_t key { 0 };
        double factor { 1 }; ///< Time for the same work, relative to the others.
    };

    /// Whether the plan is half a second old.
    bool isDue(Time now) const;

    /// Plans anew. `load`: the average targets that the prompts of all daemons keep busy; empty: not known.
    /// Precondition: factors are positive and finite.
    void update(std::span<Target const>, std::optional<double> load, Time now);

    /// Whether speeds differ so much that homes are divided by them. Smaller differences are worth less than what moves with the homes.
    bool isUneven() const { return m_isUneven; }

    /// Returns a target's part of the homes, relative to the others; 0: it is home to none.
    double weight(std::uint64_t key) const;

    /// Returns which part of the time prompts keep those targets busy that are home to parts; empty: not known.
    std::optional<double> utilisation() const { return m_utilisation; }

private:
    bool m_isUneven { false };
    std::optional<double> m_utilisation;
    std::unordered_map<std::uint64_t, double> m_weights; ///< By key.
    HomeSpeeds m_speeds;
    SteppedAmount m_load;
    std::optional<Time> m_plannedAt;
};

}
