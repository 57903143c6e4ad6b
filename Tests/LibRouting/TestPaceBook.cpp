// Uneven targets: what all daemons' answers together show of how fast each target is and how many requests it takes well.

#include <LibRouting/PaceBook.h>
#include <LibRouting/PromptEvidence.h>
#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <gtest/gtest.h>
#include <random>
#include <utility>

namespace {

using namespace Routing;
using namespace std::chrono_literals;
using Time = PaceBook::Time;

constexpr double workSeconds = 0.05;
constexpr std::chrono::milliseconds step = 100ms;

/// A group of targets, and daemons that send to them and tell each other what they saw.
class Site {
public:
    /// Returns the time of one request at a target with so many open.
    using TimeAt = std::function<double(std::size_t target, std::uint32_t open, Time now)>;

    Site(std::size_t targets, std::size_t daemons, TimeAt timeAt)
        : m_timeAt(std::move(timeAt))
        , m_books(daemons)
    {
        for (std::size_t n = 0; n < targets; ++n)
            m_targets.push_back(100 + n);
        for (PaceBook& book : m_books)
            book.setGroups({ m_targets });
    }

    /// Each target answers so many requests in each tenth of a second, spread over the daemons.
    void play(std::chrono::milliseconds duration, std::uint32_t answers, std::function<std::uint32_t()> const& open)
    {
        for (Time end = m_now + duration; m_now < end; m_now += step) {
            for (std::size_t target = 0; target < m_targets.size(); ++target) {
                for (std::uint32_t n = 0; n < answers; ++n)
                    answer(target, open());
            }
            for (std::size_t n = 0; n < m_books.size(); ++n)
                exchange(n);
        }
    }

    TargetPace pace(std::size_t target) const { return m_books.front().pace(m_targets[target], PaceKind::Whole, m_now); }
    PaceBook& book(std::size_t n) { return m_books[n]; }
    std::vector<std::uint64_t> const& targets() const { return m_targets; }
    Time now() const { return m_now; }
    std::mt19937_64& random() { return m_random; }

private:
    void answer(std::size_t target, std::uint32_t open)
    {
        std::lognormal_distribution<double> spread(-0.125, 0.5);
        double seconds = m_timeAt(target, open, m_now) * spread(m_random);
        m_books[m_random() % m_books.size()].note(m_targets[target], PaceKind::Whole, open, workSeconds, seconds, m_now);
    }

    void exchange(std::size_t from)
    {
        std::vector<PaceSample> samples = m_books[from].takeUnreported(16);
        for (std::size_t n = 0; n < m_books.size(); ++n) {
            if (n != from)
                m_books[n].merge(samples, m_now);
        }
        std::ignore = m_books[from].update(m_now);
    }

    TimeAt m_timeAt;
    std::vector<PaceBook> m_books;
    std::vector<std::uint64_t> m_targets;
    Time m_now { 100s };
    std::mt19937_64 m_random { 7 };
};

std::uint32_t one()
{
    return 1;
}

}

TEST(PaceBook, ThreeSpeedsInOneServiceAreToldApartFromTwentyAnswersEach)
{
    std::vector<double> speeds { 0.7, 1, 1.7 };
    Site site(9, 1, [&](std::size_t target, std::uint32_t, Time) { return workSeconds / speeds[target % 3]; });
    site.play(1s, 2, one);
    for (std::size_t n = 0; n < 9; ++n)
        EXPECT_NEAR(std::log(site.pace(n).factor), std::log(1 / speeds[n % 3]), 0.4) << n;
    site.play(4s, 2, one);
    // What an oracle would give each target is within a tenth of what goes by the factors.
    double sum = 0;
    for (std::size_t n = 0; n < 9; ++n)
        sum += 1 / site.pace(n).factor;
    for (std::size_t n = 0; n < 9; ++n) {
        double best = speeds[n % 3] / 3 / 3.4;
        EXPECT_NEAR(1 / site.pace(n).factor / sum, best, 0.2 * best) << n;
    }
}

TEST(PaceBook, SeventyDaemonsWithFewAnswersEachKnowWhatOneWithAllWouldKnow)
{
    Site::TimeAt timeAt = [](std::size_t target, std::uint32_t, Time) { return target == 0 ? 2.5 * workSeconds : workSeconds; };
    Site site(6, 70, timeAt);
    site.play(5s, 2, one);
    // No answer counts twice: the evidence is that of the answers.
    EXPECT_LE(site.pace(0).evidence, 101);
    for (std::size_t n = 1; n < 6; ++n)
        EXPECT_NEAR(std::log(site.pace(0).factor / site.pace(n).factor), std::log(2.5), 0.3) << n;
}

TEST(PaceBook, ATargetThatTurnsSlowAndRecoversIsFollowedWithinTwoSeconds)
{
    Time slowFrom = Time(110s);
    Time slowUntil = Time(120s);
    Site site(6, 3, [&](std::size_t target, std::uint32_t, Time now) { return target == 2 && now >= slowFrom && now < slowUntil ? 4 * workSeconds : workSeconds; });
    site.play(10s, 4, one);
    EXPECT_LT(site.pace(2).factor, 1.4);
    site.play(2s, 4, one);
    EXPECT_GT(site.pace(2).factor, 2.5);
    site.play(8s, 4, one);
    site.play(2s, 4, one);
    EXPECT_LT(site.pace(2).factor, 1.4);
}

TEST(PaceBook, HalfASecondOfNoiseAtEachTargetChangesNoFactorByAThird)
{
    // 15 of 100 stretches of 600 ms are two and a half times as slow.
    Site site(8, 3, [](std::size_t target, std::uint32_t, Time now) {
        std::uint64_t stretch = now.time_since_epoch() / 600ms;
        std::mt19937_64 random(stretch * 8 + target);
        return random() % 100 < 15 ? 2.5 * workSeconds : workSeconds;
    });
    site.play(4s, 4, one);
    int outside = 0;
    int looks = 0;
    for (int n = 0; n < 200; ++n) {
        site.play(step, 4, one);
        for (std::size_t target = 0; target < 8; ++target) {
            ++looks;
            outside += std::abs(std::log(site.pace(target).factor)) > std::log(4.0 / 3) ? 1 : 0;
        }
    }
    EXPECT_LT(outside, looks / 20);
}

TEST(PaceBook, AKneeAtAThirdOfThePlacesIsFoundAndLeftAgain)
{
    constexpr std::uint32_t places = 24;
    std::uint32_t knee = places / 3;
    Site site(4, 3, [&](std::size_t target, std::uint32_t open, Time) {
        double load = target == 1 ? std::max(1.0, static_cast<double>(open) / knee) : 1;
        return workSeconds * load * load;
    });
    std::function<std::uint32_t()> anyOpen = [&] { return static_cast<std::uint32_t>(1 + site.random()() % places); };
    site.play(6s, 20, anyOpen);
    ASSERT_TRUE(site.pace(1).knee);
    EXPECT_GE(*site.pace(1).knee, 6U);
    EXPECT_LE(*site.pace(1).knee, 12U);
    EXPECT_FALSE(site.pace(0).knee);
    EXPECT_NEAR(std::log(site.pace(1).factor), 0, 0.4) << "the load counted as slowness";
    // The knee is gone; the target is sent no more than what it seemed to take well.
    knee = places;
    for (int n = 0; n < 20 && site.pace(1).knee; ++n) {
        std::uint32_t most = *site.pace(1).knee;
        site.play(2s, 20, [&] { return static_cast<std::uint32_t>(1 + site.random()() % most); });
    }
    EXPECT_GE(site.pace(1).knee.value_or(places), 2 * places / 3);
}

TEST(PaceBook, RequestsThatPileUpWhileATargetIsSlowAreNoKnee)
{
    Site::TimeAt timeAt = [](std::size_t, std::uint32_t, Time now) {
        std::mt19937_64 random(now.time_since_epoch() / 600ms);
        return random() % 100 < 15 ? 2.5 * workSeconds : workSeconds;
    };
    Site site(4, 3, timeAt);
    std::function<std::uint32_t()> piledUp = [&] { return static_cast<std::uint32_t>((1 + site.random()() % 3) * timeAt(0, 1, site.now()) / workSeconds); };
    int knees = 0;
    for (int n = 0; n < 120; ++n) {
        site.play(500ms, 8, piledUp);
        for (std::size_t target = 0; target < 4; ++target)
            knees += site.pace(target).knee ? 1 : 0;
    }
    EXPECT_LT(knees, 4 * 120 / 20);
}

TEST(PaceBook, EventsThatComeSlowerWithEachOutputAreNoKnee)
{
    PaceBook book;
    book.setGroups({ { 1, 2 } });
    Time now { 100s };
    for (std::uint32_t n = 0; n < 2'000; ++n, now += 5ms) {
        std::uint32_t open = 1 + n % 64;
        book.note(1 + n % 2, PaceKind::Event, open, workSeconds, workSeconds * std::max(1.0, open / 8.0), now);
        EXPECT_TRUE(book.update(now).empty());
    }
}

TEST(PaceBook, ATargetWithFewAnswersIsToldOfBesideBusyOnes)
{
    PaceBook book;
    book.setGroups({ { 1, 2, 3, 4 } });
    Time now { 100s };
    book.note(4, PaceKind::Prompt, 1, 1, 1, now);
    std::uint32_t told = 0;
    for (int beacon = 0; beacon < 4; ++beacon, now += 100ms) {
        for (std::uint64_t n = 0; n < 60; ++n)
            book.note(1 + n % 3, PaceKind::Event, 1, 1, 1, now);
        for (PaceSample const& it : book.takeUnreported(2))
            told += it.target == 4 ? it.answers : 0;
    }
    EXPECT_EQ(told, 1U);
}

TEST(PaceBook, ABusyTargetDoesNotLookFasterForTheWorkAheadOfItsPrompts)
{
    // The prompts ahead are done to any part when the next one comes; both targets take as long for the same.
    std::mt19937_64 random(7);
    std::uniform_real_distribution<double> part(0, 1);
    std::array<double, 2> compared {};
    std::array<double, 2> measured {};
    for (int n = 0; n < 20'000; ++n) {
        bool isBusy = n % 2 == 0;
        double ahead = isBusy ? workSeconds * 2 * part(random) : 0;
        if (std::optional<double> expected = comparedPromptSeconds(workSeconds, ahead, 1)) {
            compared[isBusy] += *expected;
            measured[isBusy] += workSeconds + ahead * part(random);
        }
    }
    EXPECT_NEAR(measured[true] / compared[true], measured[false] / compared[false], 0.02);
}

TEST(PaceBook, ATargetThatStartsAgainBeginsAsUnknown)
{
    Site site(4, 1, [](std::size_t target, std::uint32_t, Time) { return target == 0 ? 3 * workSeconds : workSeconds; });
    site.play(3s, 4, one);
    EXPECT_GT(site.pace(0).factor, 2 * site.pace(1).factor);
    std::vector<std::uint64_t> reborn = site.targets();
    reborn[0] = 999;
    site.book(0).setGroups({ reborn });
    std::ignore = site.book(0).update(site.now() + 1s);
    EXPECT_EQ(site.book(0).pace(999, PaceKind::Whole, site.now()).factor, 1);
    EXPECT_EQ(site.book(0).pace(100, PaceKind::Whole, site.now()).evidence, 0);
}

TEST(PaceBook, SlowTargetsThatGetNoMoreWorkStaySlowAndAreTriedAgainWithinTwoMinutes)
{
    PaceBook book;
    book.setGroups({ { 1, 2, 3 } });
    Time now { 100s };
    std::function<void(std::chrono::seconds, std::uint64_t)> play = [&](std::chrono::seconds duration, std::uint64_t lastTarget) {
        for (Time end = now + duration; now < end; now += 100ms) {
            for (std::uint64_t target = 1; target <= lastTarget; ++target)
                book.note(target, PaceKind::Prompt, 1, workSeconds, workSeconds * (target == 1 ? 0.6 : 1.4), now);
            std::ignore = book.update(now);
        }
    };
    play(5s, 3);
    double fast = book.factor(1, PaceKind::Prompt);
    double slow = book.factor(3, PaceKind::Prompt);
    EXPECT_GT(slow, 2 * fast);
    // Of the difference, most is remembered.
    play(20s, 1);
    EXPECT_GT(book.factor(3, PaceKind::Prompt), 1.5 * book.factor(1, PaceKind::Prompt));
    play(80s, 1);
    EXPECT_EQ(book.factor(3, PaceKind::Prompt), 1);
}

TEST(PaceBook, SlowTargetsThatLoseTheirWorkTogetherAreTriedAgainOneAfterTheOther)
{
    PaceBook book;
    std::vector<std::uint64_t> targets;
    for (std::uint64_t n = 0; n < 32; ++n)
        targets.push_back(n * 0x9e3779b97f4a7c15ULL);
    book.setGroups({ targets });
    Time now { 100s };
    std::vector<std::size_t> forgotten; // In each ten seconds.
    std::size_t known = targets.size();
    for (int tenth = 0; tenth < 1'200; ++tenth, now += 100ms) {
        for (std::size_t n = 0; n < targets.size(); ++n) {
            if (tenth < 50 || n % 4 == 0)
                book.note(targets[n], PaceKind::Prompt, 1, workSeconds, workSeconds * (n % 4 == 0 ? 0.6 : 1.4), now);
        }
        std::ignore = book.update(now);
        if (tenth % 100 != 99)
            continue;
        std::size_t left = 0;
        for (std::uint64_t target : targets)
            left += book.pace(target, PaceKind::Prompt, now).evidence > 0 ? 1 : 0;
        forgotten.push_back(known - std::exchange(known, left));
    }
    EXPECT_EQ(known, 8U);
    EXPECT_LE(*std::max_element(forgotten.begin(), forgotten.end()), 12U);
}

TEST(PaceBook, FactorsDoNotFollowTheWorkWhereTheFastTargetsGetMostOfIt)
{
    Site::TimeAt timeAt = [](std::size_t target, std::uint32_t, Time) { return workSeconds * (target == 0 ? 0.5 : 1.25); };
    std::array<double, 2> fast {};
    for (std::size_t n = 0; n < fast.size(); ++n) {
        PaceBook book;
        book.setGroups({ { 1, 2, 3 } });
        Time now { 100s };
        for (int tenth = 0; tenth < 100; ++tenth, now += 100ms) {
            for (std::uint64_t answer = 0; answer < (n == 0 ? 1U : 10U); ++answer)
                book.note(1, PaceKind::Prompt, 1, workSeconds, timeAt(0, 1, now), now);
            for (std::uint64_t target : { 2U, 3U })
                book.note(target, PaceKind::Prompt, 1, workSeconds, timeAt(1, 1, now), now);
            std::ignore = book.update(now);
        }
        fast[n] = book.factor(1, PaceKind::Prompt);
    }
    EXPECT_NEAR(fast[1], fast[0], 0.1 * fast[0]);
}

TEST(PaceBook, TimesThatAreNoneAndUnknownTargetsAreIgnored)
{
    PaceBook book;
    book.setGroups({ { 1, 2 } });
    Time now { 100s };
    for (double seconds : { 0.0, -1.0, std::nan(""), std::numeric_limits<double>::infinity() }) {
        book.note(1, PaceKind::Whole, 1, seconds, 1, now);
        book.merge({ { 1, PaceKind::Whole, 1, 5, 1, seconds } }, now);
    }
    book.note(3, PaceKind::Whole, 1, 1, 1, now);
    EXPECT_TRUE(book.takeUnreported(10).empty());
    EXPECT_TRUE(book.update(now).empty());
    EXPECT_EQ(book.pace(1, PaceKind::Whole, now).evidence, 0);
}
