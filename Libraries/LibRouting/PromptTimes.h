#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace Routing {

/// Learns, for each service, how much longer than estimated prompts take, and says when one is overdue: later than nearly all prompts
/// of its estimate. Performs no I/O. Not thread-safe.
class PromptTimes {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Records a prompt that a target computed, or one that was given up after so long. `estimatedSeconds` includes the work that was
    /// open there before it.
    void note(std::string const& service, double estimatedSeconds, double seconds, Time now);

    /// Returns after how long without an answer a prompt of this estimate is overdue; nothing while too few prompts are known.
    std::optional<std::chrono::milliseconds> overdueAfter(std::string const& service, double estimatedSeconds, Time now) const;

private:
    static constexpr std::size_t capacity = 256;

    struct Sample {
        double ratio { 0 };
        Time at;
    };

    /// The newest samples.
    struct Service {
        std::array<Sample, capacity> samples {};
        std::size_t count { 0 }; ///< Of all that were noted.
    };

    std::map<std::string, Service> m_services;
};

}
