#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace StandIn {

/// The state of the stand-in weight store: at most so many loads in any minute. Not thread-safe.
class WeightStore {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Precondition: `loadsPerMinute` is at least 1.
    explicit WeightStore(std::uint64_t loadsPerMinute);

    /// Grants a load and returns nothing, or returns how long to wait before the next try.
    std::optional<std::chrono::milliseconds> request(Time now);

    std::uint64_t granted() const { return m_granted; }
    std::uint64_t refused() const { return m_refused; }

private:
    std::uint64_t m_loadsPerMinute;
    std::deque<Time> m_recent; ///< Grants of the last minute, oldest first.
    std::uint64_t m_granted { 0 };
    std::uint64_t m_refused { 0 };
};

}
