#include <LibHttp/SilenceDetector.h>

namespace Http {

namespace {

// The kernel tells times in ticks of its own.
constexpr std::chrono::milliseconds tick { 10 };
// A host limits how often it answers window probes, so that one without an answer means nothing.
constexpr std::uint32_t leastUnansweredProbes = 2;

}

bool SilenceDetector::isSilent(TransmitState const& state, Time now)
{
    if (!state.isWaiting()) {
        m_waitingSince.reset();
        return false;
    }
    noteWrite(now);
    Time acknowledgedAt = now - state.sinceAcknowledgement;
    if (acknowledgedAt > m_acknowledgedAt + tick) {
        m_acknowledgedAt = acknowledgedAt;
        m_retransmissions = state.retransmissions;
    }
    if (now - *m_waitingSince < m_limit || state.sinceAcknowledgement < m_limit)
        return false;
    return state.isInFlight ? state.retransmissions > m_retransmissions : state.unansweredProbes >= leastUnansweredProbes;
}

}
