#pragma once

#include <LibAdmission/Demand.h>
#include <cstdint>
#include <optional>

namespace Admission {

/// Estimates the token throughput of a group of targets. Only intervals with a non-empty queue count: the throughput
/// of an idle group doesn't show its capacity. Samples decay with a time constant of ten seconds. Not thread-safe.
class RateEstimate {
public:
    /// Records a finished request. `wasWaiting`: the queue was not empty since the previous call.
    void recordCompletion(std::uint64_t tokens, bool wasWaiting, TimePoint now);

    /// Estimated throughput; nothing until enough time has been observed.
    std::optional<double> tokensPerSecond() const;

    /// Estimated time to process `tokens`; zero while the rate is unknown.
    std::chrono::milliseconds timeToProcess(double tokens) const;

private:
    double m_tokens { 0 };
    double m_observedSeconds { 0 };
    std::optional<TimePoint> m_updatedAt;
};

}
