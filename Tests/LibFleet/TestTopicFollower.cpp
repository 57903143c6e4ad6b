#include <LibFleet/TopicFollower.h>
#include <gtest/gtest.h>
#include <set>

// The maximum age of a daemon's copy of a topic is always known, and an unconfirmed copy is re-read in time.

namespace {

using namespace std::chrono_literals;
using namespace Fleet;
using Platform::KeyedBatch;
using Platform::KeyedPage;

constexpr Time start { 100s };

TopicFollowerSettings settings()
{
    TopicFollowerSettings settings = TopicFollowerSettings::create({}, 3s);
    settings.daemon = "self";
    settings.availabilityZone = "zone-a";
    return settings;
}

// A daemon that relies on two readers and knows all records up to offset 10.
class TopicFollowerOfNonReader : public testing::Test {
protected:
    TopicFollowerOfNonReader()
        : m_follower(settings(), [this](DaemonState const& said) { return said.targetsChanged > m_follower.replica().nextOffset(); }, [](DaemonState const& said) { return said.targetsAge; }, 1)
    {
        m_view.live = 90;
        m_view.isReader = false;
        m_view.hasLiveReader = true;
        EXPECT_EQ(m_follower.beginRead(m_view, start)->reason, StoreCallReason::Start);
        m_follower.takeRead(KeyedPage { {}, 10, false }, start);
    }

    static DaemonState said(std::uint64_t targetsChanged, std::optional<std::chrono::milliseconds> age)
    {
        DaemonState state;
        state.targetsChanged = targetsChanged;
        state.targetsAge = age;
        return state;
    }

    void hear(std::string const& name, DaemonState const& state, Time now)
    {
        Platform::ListedDaemon listed;
        listed.name = name;
        listed.availabilityZone = "zone-a";
        m_book.hear(listed, ++m_sequence, state, now);
        m_follower.hear(state, now);
        m_view.newest.targetsChanged = std::max(m_view.newest.targetsChanged, state.targetsChanged);
    }

    TopicFollower m_follower;
    DaemonBook m_book;
    SiteView m_view;
    std::uint64_t m_sequence { 0 };
};

// A reader that knows all records up to offset 10.
class TopicFollowerOfReader : public TopicFollowerOfNonReader {
protected:
    TopicFollowerOfReader() { m_view.isReader = true; }

    StoreRead begin(Time now) { return m_follower.beginRead(m_view, now).value(); }
};

}

TEST_F(TopicFollowerOfNonReader, APeerWithoutNewerRecordsConfirmsTheCopyAsOfItsOwn)
{
    hear("a", said(10, 300ms), start + 1s);
    EXPECT_EQ(m_follower.age(start + 1s), 300ms);
    hear("b", said(10, 900ms), start + 1'100ms);
    EXPECT_EQ(m_follower.age(start + 1'100ms), 400ms) << "an older report must not undo a confirmation";
    hear("c", said(11, 0ms), start + 1'200ms);
    EXPECT_EQ(m_follower.age(start + 1'200ms), 500ms) << "a peer with newer records confirms nothing";
    hear("d", said(10, std::nullopt), start + 1'300ms);
    EXPECT_EQ(m_follower.age(start + 1'300ms), 600ms) << "nor does a peer that does not know the age of its copy";
}

TEST_F(TopicFollowerOfNonReader, APeersAnswerIsAsOldAsItsCopyWasWhenQueried)
{
    hear("a", said(12, 100ms), start + 1s);
    PeerQuery question = m_follower.beginPeerQuery(m_book, m_view, start + 1s).value();
    EXPECT_EQ(question.step.from, 10U);
    m_follower.takeAnswer({ { { 11, "t", "leaving" } }, 12, false }, 200ms);
    EXPECT_EQ(m_follower.age(start + 1'300ms), 500ms);
    EXPECT_FALSE(m_follower.hasNews(m_view));
}

TEST_F(TopicFollowerOfNonReader, ADeferredDaemonQueriesThoseItIsReferredTo)
{
    hear("busy", said(12, 100ms), start + 1s);
    hear("other", said(10, 100ms), start + 1s);
    EXPECT_EQ(m_follower.beginPeerQuery(m_book, m_view, start + 1s)->peer.listed.name, "busy");
    m_follower.noteDeferral({ 200ms, { "other" } }, start + 1s);
    EXPECT_EQ(m_follower.beginPeerQuery(m_book, m_view, start + 1s)->peer.listed.name, "other");
    m_follower.takeAnswer({ {}, 10, false }, 100ms);
    EXPECT_FALSE(m_follower.beginPeerQuery(m_book, m_view, start + 1'090ms)) << "it did not have the records yet, and the other one is busy";
    EXPECT_FALSE(m_follower.beginRead(m_view, start + 1'090ms)) << "a deferral is no failure";
    std::optional<Time> next = m_follower.nextDeferredQueryAt(start + 1'090ms);
    ASSERT_TRUE(next);
    EXPECT_LE(*next, start + 1'100ms);
    EXPECT_EQ(m_follower.beginPeerQuery(m_book, m_view, start + 1'160ms)->peer.listed.name, "other");
    m_follower.takeAnswer({ { { 11, "t", "leaving" } }, 12, false }, 100ms);
    EXPECT_FALSE(m_follower.hasNews(m_view));
}

TEST_F(TopicFollowerOfNonReader, ADeferralOfNoTimeIsStillAPause)
{
    hear("busy", said(12, 100ms), start + 1s);
    EXPECT_TRUE(m_follower.beginPeerQuery(m_book, m_view, start + 1s));
    m_follower.noteDeferral({ 0ms, {} }, start + 1s);
    EXPECT_FALSE(m_follower.beginPeerQuery(m_book, m_view, start + 1s));
    EXPECT_TRUE(m_follower.beginPeerQuery(m_book, m_view, start + 1'050ms));
}

TEST_F(TopicFollowerOfNonReader, ADeferredDaemonReadsTheStoreBeforeItsCopyIsTooOld)
{
    std::optional<StoreRead> read;
    Time now = start;
    for (; !read && now < start + 5s; now += 50ms) {
        hear("busy", said(12, 0ms), now);
        while (m_follower.beginPeerQuery(m_book, m_view, now))
            m_follower.noteDeferral({ 50ms, {} }, now);
        read = m_follower.beginRead(m_view, now);
    }
    ASSERT_TRUE(read);
    EXPECT_EQ(read->reason, StoreCallReason::News);
    EXPECT_LE(now - start, settings().staleAfter + 100ms);
}

TEST_F(TopicFollowerOfNonReader, AnUnconfirmedCopyIsReadInTime)
{
    std::set<Time> readAt;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        TopicFollower follower(settings(), [](DaemonState const&) { return false; }, [](DaemonState const& it) { return it.targetsAge; }, seed);
        follower.beginRead(m_view, start);
        follower.takeRead(KeyedPage { {}, 10, false }, start);
        std::optional<StoreRead> read;
        Time now = start;
        while (!read && now < start + 5s) {
            now = follower.nextCheckAt(now);
            read = follower.beginRead(m_view, now);
        }
        ASSERT_TRUE(read);
        EXPECT_EQ(read->reason, StoreCallReason::Stale);
        EXPECT_GE(now - start, settings().staleAfter);
        EXPECT_LE(now - start, settings().staleAtLatest + 1ms) << "the follower must check at exactly that moment";
        readAt.insert(now);
    }
    EXPECT_GT(readAt.size(), 40U) << "daemons must not read simultaneously: the first informs the others";
}

TEST_F(TopicFollowerOfNonReader, AConfirmedCopyIsNotRead)
{
    for (Time now = start; now < start + 20s; now += 100ms) {
        hear("a", said(10, 1'400ms), now);
        EXPECT_FALSE(m_follower.beginRead(m_view, now));
    }
}

TEST_F(TopicFollowerOfNonReader, AHangingReadDoesNotPreventPeerQueries)
{
    ASSERT_EQ(m_follower.beginRead(m_view, start + 3s)->reason, StoreCallReason::Stale);
    hear("a", said(12, 100ms), start + 3'100ms);
    ASSERT_TRUE(m_follower.beginPeerQuery(m_book, m_view, start + 3'100ms));
    EXPECT_EQ(m_follower.takeAnswer({ { { 11, "t", "leaving" } }, 12, false }, 100ms).size(), 1U);
    EXPECT_FALSE(m_follower.beginRead(m_view, start + 3'200ms)) << "only one read at a time";
}

// During a rolling replacement every beacon announces another changed target. Applying each separately, and rebuilding a list of
// some hundred targets each time, starves the requests of a daemon that has a tenth of a core.
TEST_F(TopicFollowerOfNonReader, FrequentUpdatesAreBatched)
{
    int questions = 0;
    for (Time now = start + 1s; now < start + 4s; now += 5ms) {
        std::uint64_t next = 11 + static_cast<std::uint64_t>(questions);
        hear("a", said(next, 100ms), now);
        if (!m_follower.beginPeerQuery(m_book, m_view, now))
            continue;
        ++questions;
        m_follower.takeAnswer({ {}, next, false }, 100ms);
    }
    EXPECT_LE(questions, 3s / settings().pace.interval);
    EXPECT_GE(questions, 3s / settings().pace.interval / 2);
}

TEST_F(TopicFollowerOfNonReader, AfterAnUnresponsivePeerAnotherPeerAndTheStoreAreQueried)
{
    hear("a", said(12, 100ms), start + 1s);
    hear("b", said(12, 100ms), start + 1s);
    std::string first = m_follower.beginPeerQuery(m_book, m_view, start + 1s)->peer.listed.name;
    EXPECT_FALSE(m_follower.beginRead(m_view, start + 1s)) << "a peer costs less than the store";
    EXPECT_FALSE(m_follower.beginPeerQuery(m_book, m_view, start + 1s)) << "only one query at a time";
    m_follower.noteFailedPeerQuery(start + 1'400ms);
    std::string second = m_follower.beginPeerQuery(m_book, m_view, start + 1'400ms)->peer.listed.name;
    EXPECT_NE(first, second);
    EXPECT_EQ(m_follower.beginRead(m_view, start + 1'400ms)->reason, StoreCallReason::News);
}

TEST_F(TopicFollowerOfNonReader, DuringAStoreOutageRetriesAreInfrequentButBounded)
{
    Time now = start + 3s;
    int tries = 0;
    while (now < start + 63s) {
        std::optional<StoreRead> read = m_follower.beginRead(m_view, now);
        if (read) {
            ++tries;
            m_follower.noteFailedRead(m_view, now);
        }
        now = m_follower.nextCheckAt(now);
    }
    EXPECT_LE(tries, 80);
    EXPECT_GE(tries, 30) << "every retry is due within the maximum delay";
}

TEST_F(TopicFollowerOfNonReader, APageOfNewestRecordsThatArrivesTooLateIsDropped)
{
    KeyedBatch expired;
    expired.isExpired = true;
    m_follower.beginRead(m_view, start + 3s);
    m_follower.takeRead(expired, start + 3s);
    m_follower.beginRead(m_view, start + 6s);
    m_follower.takeRead(KeyedPage { { { 11, "a", "1" } }, 13, true }, start + 6s);
    EXPECT_EQ(m_follower.beginRead(m_view, start + 9s)->step.after, "a");
    hear("peer", said(14, 100ms), start + 9s);
    ASSERT_TRUE(m_follower.beginPeerQuery(m_book, m_view, start + 9s));
    m_follower.takeAnswer({ { { 11, "a", "1" }, { 12, "b", "2" }, { 13, "c", "3" } }, 14, true }, 100ms);
    EXPECT_TRUE(m_follower.takeRead(KeyedPage { { { 12, "b", "2" } }, 13, false }, start + 9'100ms).empty());
    EXPECT_NE(m_follower.replica().find("a"), nullptr) << "a later page alone is not complete";
    EXPECT_NE(m_follower.replica().find("c"), nullptr);
}

TEST_F(TopicFollowerOfReader, AnEmptyReadConfirmsTheCopyAsOfTheEndOfItsWait)
{
    std::chrono::milliseconds wait = begin(start + 200ms).wait;
    EXPECT_LE(wait, 1s);
    Time answered = start + 200ms + wait + 4ms;
    m_follower.takeRead(KeyedBatch { 0, 10, {}, false }, answered);
    EXPECT_EQ(m_follower.age(answered), 4ms);
}

TEST_F(TopicFollowerOfReader, AReadWithRecordsConfirmsTheCopyAsOfItsSending)
{
    begin(start + 200ms);
    m_follower.takeRead(KeyedBatch { 0, 11, { { 10, "t", "leaving" } }, false }, start + 900ms);
    EXPECT_EQ(m_follower.age(start + 900ms), 700ms);
    EXPECT_LT(begin(start + 1'050ms).wait, 300ms) << "the next read must confirm the copy soon";
}

TEST_F(TopicFollowerOfReader, AHangingOrStaleOrPartialReadConfirmsNothing)
{
    begin(start + 200ms);
    m_follower.takeRead(KeyedBatch { 0, 9, {}, false }, start + 2s);
    EXPECT_EQ(m_follower.age(start + 2s), 2s) << "the read is older than what is already known";
    begin(start + 2s);
    m_follower.takeRead(KeyedBatch { 0, 40, { { 10, "t", "leaving" } }, false }, start + 2'100ms);
    EXPECT_EQ(m_follower.age(start + 2'100ms), 2'100ms) << "more records remain to be read";
    begin(start + 2'300ms);
    m_follower.noteFailedRead(m_view, start + 4s);
    EXPECT_EQ(m_follower.age(start + 4s), 4s);
}

// After a stall, a process finds an answer that is as old as the stall was long.
TEST_F(TopicFollowerOfReader, AnAnswerReadLateIsNotTreatedAsCurrent)
{
    std::chrono::milliseconds wait = begin(start + 200ms).wait;
    m_follower.takeRead(KeyedBatch { 0, 10, {}, false }, start + 6s);
    EXPECT_EQ(m_follower.age(start + 6s), 5'800ms - wait);
}

TEST_F(TopicFollowerOfReader, APeerIsQueriedOnlyForWhatTheOwnReadDoesNotReturn)
{
    begin(start + 200ms);
    hear("a", said(12, 100ms), start + 300ms);
    EXPECT_FALSE(m_follower.beginPeerQuery(m_book, m_view, start + 300ms));
    EXPECT_TRUE(m_follower.beginPeerQuery(m_book, m_view, start + 500ms));
}
