// The decision whether a peer's host has gone silent, in virtual time: a connection's sender as the kernel drives it.

#include <LibHttp/SilenceDetector.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <optional>
#include <rapidcheck/gtest.h>
#include <utility>

namespace {

using namespace std::chrono_literals;
using Milliseconds = std::chrono::milliseconds;
using Time = Http::SilenceDetector::Time;

constexpr Milliseconds firstTimeout { 200 }; // The kernel's least retransmission timeout.
constexpr Milliseconds answerInterval { 500 }; // Between two answers to window probes, at least.

/// What the sender's kernel does while bytes wait: it probes a closed window or sends again what is in flight, each time after twice
/// the time before. Its peer's host answers but for one silence.
class Sender {
public:
    Sender(bool isInFlight, Milliseconds roundTrip, Milliseconds silentFrom, Milliseconds silentUntil = Milliseconds::max())
        : m_silentFrom(silentFrom)
        , m_silentUntil(silentUntil)
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

    bool isSilentAt(Milliseconds time) const { return time >= m_silentFrom && time < m_silentUntil; }

    /// Loses the first segment behind the silence.
    void loseOne() { m_toLose = 1; }

private:
    bool losesOne() { return m_nextSend >= m_silentUntil && std::exchange(m_toLose, 0) == 1; }

    void send()
    {
        m_state.isInFlight ? ++m_state.retransmissions : ++m_state.unansweredProbes;
        bool isLimited = !m_state.isInFlight && m_nextSend - m_answeredAt < answerInterval;
        if (!isSilentAt(m_nextSend) && !isLimited && !losesOne()) {
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
    Milliseconds m_silentUntil;
    int m_toLose { 0 };
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
        if (detector.sample(sender.at(now), Time(now)) != Http::Silence::None)
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

// Guards against connections that count as lost because their host was silent for a while, and one segment behind that was lost.
RC_GTEST_PROP(SilenceDetector, AHostThatComesBackHasNotLostItsConnection, (bool isInFlight, bool losesOne))
{
    Milliseconds limit { *rc::gen::inRange(100, 5'000) };
    Milliseconds interval = std::max(limit / 8, 10ms);
    Milliseconds silentFrom { *rc::gen::inRange(0, 2'000) };
    Sender sender(isInFlight, Milliseconds(*rc::gen::inRange(0, 190)), silentFrom, silentFrom + Milliseconds(*rc::gen::inRange(0, 60'000)));
    if (losesOne)
        sender.loseOne();
    Http::SilenceDetector detector(limit);
    detector.noteWrite(Time(0ms));
    std::optional<Time> hostAnsweredAt;
    for (Milliseconds now = interval; now < 5min; now += interval) {
        RC_ASSERT(detector.sample(sender.at(now), Time(now), hostAnsweredAt) != Http::Silence::ConnectionLost);
        if (!sender.isSilentAt(now))
            hostAnsweredAt = Time(now);
    }
}

// Guards against requests that wait on a connection that is lost for good while its host answers new ones.
RC_GTEST_PROP(SilenceDetector, AConnectionThatIsLostIsFoundWhileItsHostAnswers, (bool isInFlight))
{
    Milliseconds limit { *rc::gen::inRange(100, 5'000) };
    Milliseconds interval = std::max(limit / 8, 10ms);
    Sender sender(isInFlight, Milliseconds(*rc::gen::inRange(0, 190)), Milliseconds(*rc::gen::inRange(0, 2'000)));
    Http::SilenceDetector detector(limit);
    detector.noteWrite(Time(0ms));
    Http::Silence silence = Http::Silence::None;
    for (Milliseconds now = interval; now < 10min && silence != Http::Silence::ConnectionLost; now += interval)
        silence = detector.sample(sender.at(now), Time(now), Time(now - interval / 2));
    RC_ASSERT(silence == Http::Silence::ConnectionLost);
}

// Guards against idle connections whose waits end by a single probe without an answer.
TEST(SilenceDetector, OneProbeWithoutAnAnswerIsNoSilence)
{
    Http::SilenceDetector detector(300ms);
    Http::TransmitState state;
    for (Milliseconds now = 0ms; now < 3s; now += 100ms) {
        state.sinceAcknowledgement = now;
        state.unansweredProbes = now >= 1s ? 1 : 0;
        EXPECT_EQ(detector.sample(state, Time(now)), Http::Silence::None) << now.count();
    }
    for (Milliseconds now = 3s; now < 4s; now += 100ms) {
        state.sinceAcknowledgement = now;
        state.unansweredProbes = 2;
        detector.sample(state, Time(now));
    }
    state.sinceAcknowledgement = 4s;
    EXPECT_EQ(detector.sample(state, Time(4s)), Http::Silence::Unexplained);
}

TEST(SilenceDetector, AnIdleConnectionThatIsWrittenToIsNotSilentAtOnce)
{
    Http::SilenceDetector detector(300ms);
    Http::TransmitState state;
    state.sinceAcknowledgement = 60s;
    EXPECT_EQ(detector.sample(state, Time(60s)), Http::Silence::None);
    detector.noteWrite(Time(60s));
    state.isInFlight = true;
    state.retransmissions = 1;
    state.sinceAcknowledgement += 250ms;
    EXPECT_EQ(detector.sample(state, Time(60s + 250ms)), Http::Silence::None);
}
