#include <LibQuarantine/SuspectBook.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace Quarantine;
using namespace std::chrono_literals;

constexpr Time origin { 1'000s };

WorkKey keyOf(std::uint64_t n)
{
    return { n, ~n };
}

TargetEnd endOf(std::uint64_t target, Time at, std::string release = "v1")
{
    return { { target, "llm", std::move(release) }, at - 1s, at };
}

// Ends targets 1 to `count` with a request, one second apart.
void endTargets(SuspectBook& book, WorkKey const& key, std::uint64_t count)
{
    for (std::uint64_t n = 1; n <= count; ++n)
        book.noteEnd(key, endOf(n, origin + std::chrono::seconds(n)));
}

}

TEST(SuspectBook, RefusesOnlyTheRequestWithThreeEnds)
{
    SuspectBook book;
    endTargets(book, keyOf(1), 2);
    EXPECT_FALSE(book.isRefused(keyOf(1)));
    std::optional<Finding> third = book.noteEnd(keyOf(1), endOf(3, origin + 3s));
    ASSERT_TRUE(third);
    EXPECT_TRUE(third->isRefused);
    EXPECT_EQ(third->ends, 3U);
    EXPECT_TRUE(book.isRefused(keyOf(1)));
    EXPECT_FALSE(book.isRefused(keyOf(2)));
    std::optional<Finding> fourth = book.noteEnd(keyOf(1), endOf(4, origin + 4s));
    ASSERT_TRUE(fourth);
    EXPECT_FALSE(fourth->isRefused) << "the request was refused before";
}

// Guards against counting an end twice because two daemons saw it or it was reported again.
TEST(SuspectBook, CountsAnEndOnceForAllReports)
{
    SuspectBook book;
    for (std::chrono::milliseconds lag : { 0ms, 30ms, 150ms })
        book.noteEnd(keyOf(1), endOf(7, origin + lag));
    EXPECT_EQ(book.ends(keyOf(1)), 1U);
}

// Guards against counting two ends as one when a target restarts under the same id unnoticed by the target list.
TEST(SuspectBook, CountsASecondEndUnderTheSameId)
{
    SuspectBook book;
    for (int n = 0; n < 3; ++n) {
        Time at = origin + 3s * n;
        book.noteEnd(keyOf(1), { { 7, "llm", "v1" }, at - 50ms, at });
    }
    EXPECT_TRUE(book.isRefused(keyOf(1)));
}

TEST(SuspectBook, CompletedRunClearsEarlierEnds)
{
    SuspectBook book;
    endTargets(book, keyOf(1), 3);
    EXPECT_TRUE(book.noteSurvived(keyOf(1), origin + 2s));
    EXPECT_EQ(book.ends(keyOf(1)), 1U) << "the third end came later";
    EXPECT_FALSE(book.noteEnd(keyOf(1), endOf(9, origin + 1s))) << "late evidence is dated by when it happened";
    EXPECT_TRUE(book.noteSurvived(keyOf(1), origin + 5s));
    EXPECT_EQ(book.ends(keyOf(1)), 0U);
    EXPECT_EQ(book.digest(), 0U);
    EXPECT_FALSE(book.noteSurvived(keyOf(2), origin)) << "the request was unknown";
}

// Guards against refusing a request forever after the bug was fixed, and against running it before.
TEST(SuspectBook, NewReleaseAllowsOneMoreRun)
{
    SuspectBook book;
    endTargets(book, keyOf(1), 3);
    book.setReleases({ { "llm", { "v1", "v2" } } });
    EXPECT_TRUE(book.isRefused(keyOf(1))) << "some targets still run a release that it ended";
    book.setReleases({ { "llm", {} } });
    EXPECT_TRUE(book.isRefused(keyOf(1))) << "a service without targets is no evidence of a fix";
    book.setReleases({ { "llm", { "v2" } } });
    EXPECT_FALSE(book.isRefused(keyOf(1)));
    book.noteEnd(keyOf(1), endOf(8, origin + 60s, "v2"));
    EXPECT_TRUE(book.isRefused(keyOf(1)));
}

TEST(SuspectBook, RefusesBothRequestsThatAlwaysRanTogether)
{
    SuspectBook book;
    endTargets(book, keyOf(1), 3);
    endTargets(book, keyOf(2), 3);
    EXPECT_TRUE(book.isRefused(keyOf(1)));
    EXPECT_TRUE(book.isRefused(keyOf(2)));
}

TEST(SuspectBook, ReturnsItsOwnEvidenceForALimitedTime)
{
    SuspectBook book;
    book.addNews({ keyOf(1), SuspectTarget { 7, "llm", "v1" }, origin, origin }, origin);
    EXPECT_EQ(book.news(origin + 900ms, 1s).size(), 1U);
    EXPECT_TRUE(book.news(origin + 1s, 1s).empty());
    EXPECT_EQ(newsLifetime(100ms), 1s);
    EXPECT_EQ(newsLifetime(1'500ms), 6s);
}

// Guards against a caller that floods crashing targets with different requests to evict evidence.
TEST(SuspectBook, KeepsSuspectsWithTheMostEndsWhenFull)
{
    SuspectBookSettings settings;
    settings.maxSuspects = 100;
    SuspectBook book(settings);
    endTargets(book, keyOf(1), 3);
    endTargets(book, keyOf(2), 2);
    for (std::uint64_t n = 10; n < 1'000; ++n)
        book.noteEnd(keyOf(n), endOf(50, origin + std::chrono::seconds(n)));
    EXPECT_EQ(book.size(), settings.maxSuspects);
    EXPECT_TRUE(book.isRefused(keyOf(1)));
    EXPECT_EQ(book.ends(keyOf(2)), 2U);
    EXPECT_EQ(book.ends(keyOf(10)), 0U);
}

RC_GTEST_PROP(SuspectBook, DigestIsIndependentOfTheOrderOfEvidence, ())
{
    std::vector<std::pair<std::uint64_t, std::uint64_t>> evidence = *rc::gen::container<std::vector<std::pair<std::uint64_t, std::uint64_t>>>(rc::gen::pair(rc::gen::inRange<std::uint64_t>(0, 4), rc::gen::inRange<std::uint64_t>(0, 6)));
    std::vector<std::size_t> order(evidence.size());
    for (std::size_t n = 0; n < order.size(); ++n)
        order[n] = n;
    for (std::size_t n = order.size(); n > 1; --n)
        std::swap(order[n - 1], order[*rc::gen::inRange<std::size_t>(0, n)]);
    SuspectBook one;
    SuspectBook other;
    for (std::pair<std::uint64_t, std::uint64_t> const& it : evidence)
        one.noteEnd(keyOf(it.first), endOf(it.second, origin));
    for (std::size_t n : order)
        other.noteEnd(keyOf(evidence[n].first), endOf(evidence[n].second, origin));
    RC_ASSERT(one.digest() == other.digest());
    for (std::uint64_t n = 0; n < 4; ++n)
        RC_ASSERT(one.isRefused(keyOf(n)) == other.isRefused(keyOf(n)));
}
