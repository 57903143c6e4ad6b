#include <LibRouting/RateLimits.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace Routing;
using namespace std::chrono_literals;

constexpr RateLimits::Time origin { 1'000s };
constexpr std::uint64_t target = 7;

// In any four seconds, one and a half times what the limit allows, and 5.
double allowedIn4Seconds(double perSecond)
{
    return 1.5 * 4 * perSecond + 5;
}

/// Daemons before one target, which try to send to it all the time.
class Site {
public:
    explicit Site(std::size_t daemons)
        : m_daemons(daemons)
    {
        for (std::size_t n = 0; n < daemons; ++n)
            m_names.push_back("front-" + std::to_string(n));
        for (std::size_t n = 0; n < daemons; ++n)
            meet(n, daemons);
    }

    // The daemon knows the first `known` ones.
    void meet(std::size_t daemon, std::size_t known)
    {
        std::vector<std::string> others;
        for (std::size_t n = 0; n < known; ++n) {
            if (n != daemon)
                others.push_back(m_names[n]);
        }
        m_daemons[daemon].setDaemons(m_names[daemon], others, now);
    }

    void state(std::optional<double> perSecond)
    {
        for (RateLimits& it : m_daemons)
            it.note(target, perSecond, now, now);
    }

    // Each daemon sends whenever its share allows it. Returns the most that the target gets in any four seconds.
    std::size_t run(std::chrono::milliseconds duration)
    {
        std::size_t most = 0;
        for (RateLimits::Time end = now + duration; now < end; now += 10ms) {
            for (RateLimits& it : m_daemons) {
                while (it.take(target, now) != RateLimits::Admission::Exhausted) {
                    m_sent.push_back(now);
                    ++total;
                }
            }
            while (!m_sent.empty() && now - m_sent.front() > 4s)
                m_sent.pop_front();
            most = std::max(most, m_sent.size());
        }
        return most;
    }

    RateLimits::Time now { origin };
    std::size_t total { 0 };

private:
    std::vector<RateLimits> m_daemons;
    std::vector<std::string> m_names;
    std::deque<RateLimits::Time> m_sent;
};

}

// Guards against daemons that together send a target more than it accepts, and against shares that are too small to be used.
TEST(RateLimits, AllDaemonsTogetherKeepALimitAndUseIt)
{
    for (std::size_t daemons : { 1U, 3U, 7U, 90U, 295U }) {
        for (double perSecond : { 0.0, 0.5, 1.0, 4.5, 5.1, 40.0, 2'000.0 }) {
            Site site(daemons);
            site.state(perSecond);
            EXPECT_LE(static_cast<double>(site.run(20s)), allowedIn4Seconds(perSecond)) << daemons << " daemons, " << perSecond;
            EXPECT_GE(static_cast<double>(site.total), 0.9 * 20 * perSecond - 1) << daemons << " daemons, " << perSecond;
        }
    }
}

// Guards against a sum above the limit while it changes, and while some daemons do not know of others yet.
RC_GTEST_PROP(RateLimits, TheSumHoldsWhileLimitAndDaemonsChange, ())
{
    std::size_t daemons = *rc::gen::inRange<std::size_t>(1, 20);
    Site site(daemons);
    double highest = 0;
    for (int step = *rc::gen::inRange(1, 6); step > 0; --step) {
        double perSecond = *rc::gen::inRange(1, 200) / 10.0;
        // A new limit is in force from its first second on; those of the last four seconds count as before.
        highest = std::max(highest, perSecond);
        site.state(perSecond);
        std::size_t changed = *rc::gen::inRange<std::size_t>(0, daemons);
        site.meet(changed, std::max<std::size_t>(1, daemons - 1));
        std::size_t most = site.run(std::chrono::milliseconds(*rc::gen::inRange(100, 3'000)));
        site.meet(changed, daemons);
        RC_ASSERT(static_cast<double>(most) <= allowedIn4Seconds(highest));
    }
}

TEST(RateLimits, ADaemonThatDoesNotKnowTheOthersHasNoShare)
{
    RateLimits limits;
    limits.note(target, 5.0, origin, origin);
    EXPECT_EQ(limits.opensAt(target, origin + 1h), RateLimits::never);
    EXPECT_EQ(limits.take(target, origin + 1h), RateLimits::Admission::Exhausted);
    limits.setDaemons("a", {}, origin + 1h);
    EXPECT_EQ(limits.take(target, origin + 1h + 1s), RateLimits::Admission::Taken);
    EXPECT_EQ(limits.take(8, origin), RateLimits::Admission::Unlimited);
}

// Guards against an older answer that ends a limit, and against a limit that outlasts an answer without one.
TEST(RateLimits, ALimitEndsWithAnAnswerToALaterRequestThatDoesNotStateIt)
{
    RateLimits limits;
    EXPECT_FALSE(limits.note(target, std::nullopt, origin, origin));
    EXPECT_TRUE(limits.note(target, 5.0, origin, origin + 1s));
    EXPECT_FALSE(limits.note(target, 5.0, origin, origin + 1s));
    EXPECT_FALSE(limits.note(target, std::nullopt, origin + 900ms, origin + 2s)) << "sent before the limit was stated";
    EXPECT_FALSE(limits.note(target, std::nullopt, {}, origin + 2s)) << "of an unknown request";
    EXPECT_EQ(limits.limitOf(target), 5.0);
    EXPECT_TRUE(limits.note(target, std::nullopt, origin + 1'001ms, origin + 2s));
    EXPECT_FALSE(limits.limitOf(target));
    EXPECT_TRUE(limits.note(target, 3.0, origin + 2s, origin + 3s));
}

// Guards against a target of 0 requests a second that is closed for ever, and against values that overflow.
TEST(RateLimits, OddLimitsNeitherCloseATargetForEverNorCrash)
{
    RateLimits limits;
    limits.setDaemons("a", { "b", "c" }, origin);
    RateLimits other;
    other.setDaemons("b", { "a", "c" }, origin);
    RateLimits third;
    third.setDaemons("c", { "a", "b" }, origin);
    for (RateLimits* it : { &limits, &other, &third })
        it->note(target, 0.0, origin, origin);
    int open = 0;
    for (RateLimits* it : { &limits, &other, &third })
        open += it->take(target, origin + 1min) == RateLimits::Admission::Taken ? 1 : 0;
    EXPECT_EQ(open, 1);
    limits.note(target, 1e30, origin, origin + 1min);
    EXPECT_EQ(limits.take(target, origin + 2min), RateLimits::Admission::Taken);
}

// Guards against daemons that have no share and never hear that the limit has ended.
TEST(RateLimits, PeersHearOfLimitsAndOfTheirEnd)
{
    RateLimits teller;
    RateLimits listener;
    teller.note(target, 5.0, origin, origin);
    ASSERT_EQ(teller.own(origin + 1s).size(), 1U);
    EXPECT_TRUE(listener.hear(teller.own(origin + 1s).front(), origin + 1s));
    EXPECT_EQ(listener.limitOf(target), 5.0);
    EXPECT_TRUE(listener.own(origin + 1s).empty()) << "only what a target itself stated is told on";
    EXPECT_FALSE(listener.hear({ target, 9.0, 5s }, origin + 2s)) << "older than what is known";
    teller.note(target, std::nullopt, origin + 2s, origin + 3s);
    EXPECT_TRUE(listener.hear(teller.own(origin + 3s).front(), origin + 3s));
    EXPECT_FALSE(listener.limitOf(target));
    EXPECT_TRUE(teller.own(origin + 1min).empty());
}

// Guards against requests that all wait for the same moment, and against a share that is lost with a request that was not sent.
TEST(RateLimits, BookedRequestsAreDueOneAfterTheOther)
{
    RateLimits limits;
    limits.setDaemons("a", {}, origin);
    limits.note(target, 2.0, origin, origin);
    limits.book(target, origin);
    limits.book(target, origin);
    EXPECT_EQ(limits.nextBooking(target), origin + 500ms);
    EXPECT_EQ(limits.opensAt(target, origin), origin + 1'500ms);
    limits.useBooking(target);
    EXPECT_EQ(limits.nextBooking(target), origin + 1s);
    limits.cancelBooking(target);
    EXPECT_FALSE(limits.nextBooking(target));
    EXPECT_EQ(limits.opensAt(target, origin), origin + 1s);
    EXPECT_EQ(limits.take(target, origin + 1s), RateLimits::Admission::Taken);
    EXPECT_EQ(limits.take(target, origin + 1s), RateLimits::Admission::Exhausted);
    limits.giveBack(target);
    EXPECT_EQ(limits.take(target, origin + 1s), RateLimits::Admission::Taken);
}

TEST(RateLimits, AnotherIncarnationHasNoLimit)
{
    RateLimits limits;
    limits.note(target, 5.0, origin, origin);
    limits.keepListed({}, origin + 1s);
    EXPECT_TRUE(limits.limitOf(target)) << "an entry may lapse and come back";
    limits.keepListed({}, origin + 62s);
    EXPECT_FALSE(limits.limitOf(target));
    EXPECT_TRUE(limits.limits().empty());
}
