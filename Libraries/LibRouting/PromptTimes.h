#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Routing {

/// Learns, for each service, how much longer than estimated prompts take, and says when one is overdue: later than nearly all prompts
/// of its estimate. Performs no I/O. Not thread-safe.
class PromptTimes {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Records a prompt that a target computed. `estimatedSeconds` includes the work that was open there before it.
    void note(std::string const& service, double estimatedSeconds, double seconds, Time now);

    /// Returns after how long without an answer a prompt of this estimate is overdue; nothing while too few prompts are known.
    std::optional<std::chrono::milliseconds> overdueAfter(std::string const& service, double estimatedSeconds, Time now) const;
};

}
