#include <LibHttp/SilenceDetector.h>

namespace Http {

namespace {

// The kernel rounds times to ticks, so that an older acknowledgement may seem to be a new one.
constexpr std::chrono::milliseconds tick { 10 };
// A single probe may be lost, and a host limits how often it answers window probes.
constexpr std::uint32_t leastUnansweredProbes = 2;
// Segments without an acknowledgement while the host answers new connections; a single one may be lost.
constexpr std::uint32_t leastUnansweredByLiveHost = 2;

}

Silence SilenceDetector::sample(TransmitState const& state, Time now, std::optional<Time> hostAnsweredAt)
{
    if (!state.isWaiting() && state.unansweredProbes == 0) {
        m_waitingSince.reset();
        reset();
        return Silence::None;
    }
    noteWrite(now);
    Time acknowledgedAt = now - state.sinceAcknowledgement;
    if (acknowledgedAt > m_acknowledgedAt + tick) {
        m_acknowledgedAt = acknowledgedAt;
        m_retransmissions = state.retransmissions;
        reset();
    }
    bool isLate = now - *m_waitingSince >= m_limit && state.sinceAcknowledgement >= m_limit;
    // Without anything sent again, a lost segment would look like a silent host.
    std::uint32_t unanswered = state.isInFlight ? state.retransmissions - m_retransmissions : state.unansweredProbes;
    bool wasSentAgain = unanswered >= (state.isInFlight ? 1 : leastUnansweredProbes);
    if (!isLate || !wasSentAgain) {
        reset();
        return Silence::None;
    }
    // The answer to what was sent last may be on its way.
    if (!m_suspectedSince)
        m_suspectedSince = now;
    bool isSuspected = now - *m_suspectedSince >= 2 * state.roundTrip && now > *m_suspectedSince;
    if (!isSuspected)
        return Silence::None;
    bool isHostAlive = hostAnsweredAt && *hostAnsweredAt > *m_suspectedSince;
    if (isHostAlive && isConnectionLost(unanswered, now, state.roundTrip, *hostAnsweredAt))
        return Silence::ConnectionLost;
    return Silence::Unexplained;
}

void SilenceDetector::reset()
{
    m_suspectedSince.reset();
    m_unansweredThen.reset();
    m_lostSince.reset();
}

// The host must have answered a new connection both before and behind the segments that it did not acknowledge.
bool SilenceDetector::isConnectionLost(std::uint32_t unanswered, Time now, std::chrono::milliseconds roundTrip, Time hostAnsweredAt)
{
    // Bytes that are written on an idle connection are counted anew.
    if (!m_unansweredThen || unanswered < *m_unansweredThen) {
        m_unansweredThen = unanswered;
        m_lostSince.reset();
    }
    if (unanswered < *m_unansweredThen + leastUnansweredByLiveHost)
        return false;
    if (!m_lostSince)
        m_lostSince = now;
    return hostAnsweredAt > *m_lostSince && now - *m_lostSince >= 2 * roundTrip;
}

}
