#include <LibHttp/SilenceDetector.h>

namespace Http {

namespace {

// The kernel rounds times to ticks, so that an older acknowledgement may seem to be a new one.
constexpr std::chrono::milliseconds tick { 10 };
// A host limits how often it answers window probes, so that one without an answer means nothing.
constexpr std::uint32_t leastUnansweredProbes = 2;

}

bool SilenceDetector::isSilent(TransmitState const& state, Time now)
{
    if (!state.isWaiting()) {
        m_waitingSince.reset();
        m_suspectedSince.reset();
        return false;
    }
    noteWrite(now);
    Time acknowledgedAt = now - state.sinceAcknowledgement;
    if (acknowledgedAt > m_acknowledgedAt + tick) {
        m_acknowledgedAt = acknowledgedAt;
        m_retransmissions = state.retransmissions;
        m_suspectedSince.reset();
    }
    bool isLate = now - *m_waitingSince >= m_limit && state.sinceAcknowledgement >= m_limit;
    // Without anything sent again, a lost segment would look like a silent host.
    bool wasSentAgain = state.isInFlight ? state.retransmissions > m_retransmissions : state.unansweredProbes >= leastUnansweredProbes;
    if (!isLate || !wasSentAgain) {
        m_suspectedSince.reset();
        return false;
    }
    // The answer to what was sent last may be on its way.
    if (!m_suspectedSince) {
        m_suspectedSince = now;
        return false;
    }
    return now - *m_suspectedSince >= 2 * state.roundTrip;
}

}
