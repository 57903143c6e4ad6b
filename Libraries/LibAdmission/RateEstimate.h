#pragma once

#include <LibAdmission/Demand.h>
#include <cstdint>
#include <optional>

namespace Admission {

/// Estimates the tokens a second that a group of targets works off, from the times in which work waited only: an
/// idle group says nothing of what it can do. Old spans fade with a time constant of ten seconds. Not thread-safe.
class RateEstimate {
public:
    /// Notes finished work. `wasWaiting`: the queue was not empty since the note before.
    void note(std::uint64_t tokens, bool wasWaiting, TimePoint now);

    /// Tokens a second, or nothing before enough has been seen.
    std::optional<double> tokensPerSecond() const;

    /// How long `tokens` take; zero while the rate is unknown.
    std::chrono::milliseconds timeFor(double tokens) const;

private:
    double m_tokens { 0 };
    double m_seconds { 0 };
    std::optional<TimePoint> m_notedAt;
};

}
