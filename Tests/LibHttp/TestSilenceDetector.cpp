// The decision whether a peer's host has gone silent, in virtual time: a connection's sender as the kernel drives it.

#include <LibHttp/SilenceDetector.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <utility>

namespace {

using namespace std::chrono_literals;
using Milliseconds = std::chrono::milliseconds;
using Time = Http::SilenceDetector::Time;

constexpr Milliseconds firstTimeout { 200 }; // The kernel's least retransmission timeout.
constexpr Milliseconds answerInterval { 500 }; // Between two answers to window probes, at least.

/// What the sender's kernel does while bytes wait: it probes a closed window or sends again what is in flight, each time after twice
/// the time before. Its peer's host answers until it goes silent.
class Sender {
public:
    Sender(bool isInFlight, Milliseconds roundTrip, Milliseconds silentFrom)
        : m_silentFrom(silentFrom)
    {
        m_state.roundTrip = roundTrip;
        m_state.isInFlight = isInFlight;
        m_state.isWindowClosed = !isInFlight;
    }

    Http::TransmitState at(Milliseconds now)
    {
        while (std::min(m_nextSend, m_nextAnswer) <= now)
            m_nextAnswer <= m_nextSend ? takeAnswer() : send();
        m_state.sinceAcknowledgement = now - m_acknowledgedAt;
        return m_state;
    }

private:
    void send()
    {
        m_state.isInFlight ? ++m_state.retransmissions : ++m_state.unansweredProbes;
        bool isLimited = !m_state.isInFlight && m_nextSend - m_answeredAt < answerInterval;
        if (m_nextSend < m_silentFrom && !isLimited) {
            m_answeredAt = m_nextSend;
            m_nextAnswer = m_nextSend + m_state.roundTrip;
        }
        m_timeout *= 2;
        m_nextSend += m_timeout;
    }

    void takeAnswer()
    {
        m_state.unansweredProbes = 0;
        m_acknowledgedAt = std::exchange(m_nextAnswer, Milliseconds::max());
    }

    Http::TransmitState m_state;
    Milliseconds m_silentFrom;
    Milliseconds m_acknowledgedAt { 0 };
    Milliseconds m_timeout { firstTimeout };
    Milliseconds m_nextSend { firstTimeout };
    Milliseconds m_nextAnswer { Milliseconds::max() };
    Milliseconds m_answeredAt { 0 }; ///< By the peer's host.
};

/// Returns when the detector finds the peer silent, at most `end`.
Milliseconds silentAt(Sender sender, Milliseconds limit, Milliseconds interval, Milliseconds end)
{
    Http::SilenceDetector detector(limit);
    detector.noteWrite(Time(0ms));
    for (Milliseconds now = interval; now < end; now += interval) {
        if (detector.isSilent(sender.at(now), Time(now)))
            return now;
    }
    return end;
}

}

// Guards against peers that count as silent although they acknowledge all that they are sent, but do not read for minutes.
RC_GTEST_PROP(SilenceDetector, APeerThatAcknowledgesIsNeverSilent, (bool isInFlight))
{
    Milliseconds limit { *rc::gen::inRange(100, 5'000) };
    Milliseconds interval { *rc::gen::inRange(10, 2'000) };
    Milliseconds roundTrip { *rc::gen::inRange(0, 190) }; // Below the first timeout.
    constexpr Milliseconds end = 10min;
    RC_ASSERT(silentAt(Sender(isInFlight, roundTrip, end), limit, interval, end) == end);
}

RC_GTEST_PROP(SilenceDetector, APeerThatGoesSilentIsNoticed, (bool isInFlight))
{
    Milliseconds limit { *rc::gen::inRange(100, 5'000) };
    Milliseconds interval = std::max(limit / 8, 10ms);
    Milliseconds roundTrip { *rc::gen::inRange(0, 190) };
    Milliseconds silentFrom { *rc::gen::inRange(0, 2'000) };
    Milliseconds at = silentAt(Sender(isInFlight, roundTrip, silentFrom), limit, interval, 10min);
    RC_ASSERT(at >= limit);
    // The kernel sends again after times that double: two of them at the most lie between its last answer and the evidence.
    RC_ASSERT(at <= std::max(limit, 8 * (silentFrom + firstTimeout)) + limit + 2 * roundTrip);
}

TEST(SilenceDetector, AnIdleConnectionThatIsWrittenToIsNotSilentAtOnce)
{
    Http::SilenceDetector detector(300ms);
    Http::TransmitState state;
    state.sinceAcknowledgement = 60s;
    EXPECT_FALSE(detector.isSilent(state, Time(60s)));
    detector.noteWrite(Time(60s));
    state.isInFlight = true;
    state.retransmissions = 1;
    state.sinceAcknowledgement += 250ms;
    EXPECT_FALSE(detector.isSilent(state, Time(60s + 250ms)));
}
