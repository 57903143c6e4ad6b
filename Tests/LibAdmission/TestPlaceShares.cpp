// Too little room: what daemons may have open at scarce targets, without asking each other before a request.

#include <LibAdmission/PlaceShares.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace Admission;
using namespace std::chrono_literals;
using Time = PlaceShares::Time;

constexpr std::chrono::milliseconds lifetime = 2s;

std::string nameOf(std::size_t daemon)
{
    return "daemon-" + std::to_string(daemon);
}

/// Divides whatever the daemons' number and demand, as soon as one place is missing.
PlaceShareSettings dividedAlways(double queuePerPlace = 0.5)
{
    return { .queuePerPlace = queuePerPlace, .scarceAt = 1, .leastMeanPart = 0, .leastMoved = 0 };
}

/// Daemons that tell each other their demand on one service.
class Site {
public:
    Site(std::size_t daemons, std::vector<TargetPlaces> targets, PlaceShareSettings const& settings = dividedAlways())
        : m_demands(daemons)
    {
        for (std::size_t n = 0; n < daemons; ++n) {
            m_shares.push_back(PlaceShares::create(settings, nameOf(n)).value());
            m_shares.back().setTargets("app", targets);
        }
    }

    void setDemand(std::size_t daemon, std::vector<OrganisationDemand> demand) { m_demands[daemon] = std::move(demand); }

    /// All hear all but those that `hears` denies.
    void exchange(std::function<bool(std::size_t by, std::size_t of)> const& hears = {})
    {
        for (std::size_t by = 0; by < m_shares.size(); ++by) {
            m_shares[by].setOwn({ { "app", m_demands[by] } }, now);
            for (std::size_t of = 0; of < m_shares.size(); ++of) {
                if (of != by && (!hears || hears(by, of)))
                    m_shares[by].setPeer(nameOf(of), { { "app", m_demands[of] } }, now, lifetime);
            }
        }
    }

    std::optional<PlaceAllotment> allotment(std::size_t daemon) const { return m_shares[daemon].allotment("app", now, wallClock); }

    /// Places that all daemons together may fill at each target.
    std::map<std::uint64_t, std::uint32_t> places() const
    {
        std::map<std::uint64_t, std::uint32_t> sum;
        for (std::size_t n = 0; n < m_shares.size(); ++n) {
            std::optional<PlaceAllotment> own = allotment(n);
            for (std::pair<std::uint64_t const, std::uint32_t> const& it : own ? own->places : std::map<std::uint64_t, std::uint32_t>())
                sum[it.first] += it.second;
        }
        return sum;
    }

    /// The organisation's part of all daemons' allotments.
    double partOf(std::string const& organisation) const
    {
        double part = 0;
        for (std::size_t n = 0; n < m_shares.size(); ++n) {
            std::optional<PlaceAllotment> own = allotment(n);
            if (own && own->organisations.contains(organisation))
                part += own->organisations.at(organisation);
        }
        return part;
    }

    Time now { 100s };
    std::chrono::milliseconds wallClock { 1'000'000 };

private:
    std::vector<PlaceShares> m_shares;
    std::vector<std::vector<OrganisationDemand>> m_demands;
};

std::vector<TargetPlaces> const threeTargets { { 1, 6 }, { 2, 6 }, { 3, 6 } };

}

RC_GTEST_PROP(PlaceShares, EachPlaceHasOneOwnerAtSixSeventyAndThreeHundredDaemons, ())
{
    std::size_t daemons = *rc::gen::element<std::size_t>(6, 70, 300);
    std::vector<TargetPlaces> targets;
    std::uint64_t count = *rc::gen::inRange<std::uint64_t>(1, 6);
    for (std::uint64_t n = 0; n < count; ++n)
        targets.push_back({ n, *rc::gen::inRange<std::uint32_t>(1, 12) });
    Site site(daemons, targets, dividedAlways());
    for (std::size_t n = 0; n < daemons; ++n)
        site.setDemand(n, { { "org-" + std::to_string(*rc::gen::inRange(0, 5)), *rc::gen::inRange(0, 200) / 10.0 } });
    site.exchange();
    site.wallClock += std::chrono::milliseconds(*rc::gen::inRange(0, 100'000));
    if (!site.allotment(0))
        return;
    std::map<std::uint64_t, std::uint32_t> places = site.places();
    for (TargetPlaces const& it : targets)
        RC_ASSERT(places[it.target] == it.places + it.places / 2);
}

TEST(PlaceShares, NothingIsDividedWhileThePlacesSuffice)
{
    Site site(70, threeTargets);
    for (std::size_t n = 0; n < 70; ++n)
        site.setDemand(n, { { "org", 0.25 } });
    site.exchange();
    EXPECT_FALSE(site.allotment(0));
    site.setDemand(0, { { "org", 4 } });
    site.exchange();
    EXPECT_TRUE(site.allotment(0));
}

TEST(PlaceShares, AFloodOfOneOrganisationThroughAllDaemonsGetsItsPartAndAllWhenNobodyElseAsks)
{
    Site site(70, threeTargets, dividedAlways(0));
    for (std::size_t n = 0; n < 70; ++n)
        site.setDemand(n, { { "flood", 3 } });
    site.exchange();
    EXPECT_NEAR(site.partOf("flood"), 18, 0.01);
    site.setDemand(3, { { "flood", 3 }, { "small", 1 } });
    site.setDemand(9, { { "flood", 3 }, { "middle", 20 } });
    site.exchange();
    EXPECT_NEAR(site.partOf("small"), 1, 0.01);
    EXPECT_NEAR(site.partOf("middle"), 8.5, 0.01);
    EXPECT_NEAR(site.partOf("flood"), 8.5, 0.01);
}

TEST(PlaceShares, ADaemonWithASmallPartGetsAPlaceInTurn)
{
    Site site(70, { { 1, 6 } }, dividedAlways(0));
    for (std::size_t n = 0; n < 70; ++n)
        site.setDemand(n, { { "org", 1 } });
    site.exchange();
    constexpr int turns = 200;
    int longestWait = 0;
    int waited = 0;
    int got = 0;
    for (int n = 0; n < turns; ++n, site.wallClock += PlaceShareSettings().turn) {
        bool isServed = !site.allotment(33)->places.empty();
        got += isServed ? 1 : 0;
        waited = isServed ? 0 : waited + 1;
        longestWait = std::max(longestWait, waited);
    }
    EXPECT_NEAR(got, turns * 6 / 70.0, 4);
    EXPECT_LE(longestWait, 2 * 70 / 6);
}

TEST(PlaceShares, HalfOfThePlacesGoneLeavesTheRestToAll)
{
    Site site(6, { { 1, 6 } });
    for (std::size_t n = 0; n < 6; ++n)
        site.setDemand(n, { { "org", 3 } });
    site.exchange();
    EXPECT_EQ(site.places(), (std::map<std::uint64_t, std::uint32_t> { { 1, 9 } }));
}

TEST(PlaceShares, ThePartOfADaemonThatDiesOrFreezesGoesToTheOthers)
{
    Site site(6, threeTargets, dividedAlways(0));
    for (std::size_t n = 0; n < 6; ++n)
        site.setDemand(n, { { "org", 12 } });
    site.exchange();
    std::size_t before = site.allotment(1)->places.size();
    for (int n = 0; n < 3; ++n) {
        site.now += 1s;
        site.exchange([](std::size_t by, std::size_t of) { return by != 0 && of != 0; });
    }
    EXPECT_GE(site.allotment(1)->places.size(), before);
    EXPECT_NEAR(site.allotment(1)->organisations.at("org"), 18 / 5.0, 0.01);
    // The one that wakes goes by what it heard last: nothing of the others, whose reports have expired.
    EXPECT_FALSE(site.allotment(0));
}

TEST(PlaceShares, DaemonsThatHearNothingOfEachOtherForFiveSecondsDivideNothing)
{
    Site site(6, threeTargets);
    for (std::size_t n = 0; n < 6; ++n)
        site.setDemand(n, { { "org", 12 } });
    site.exchange();
    site.now += 5s;
    site.exchange([](std::size_t, std::size_t) { return false; });
    EXPECT_FALSE(site.allotment(2)) << "its own demand fits";
    site.exchange();
    EXPECT_TRUE(site.allotment(2));
}

TEST(PlaceShares, NobodyWaitsForATurnWhileADivisionWouldHelpNobody)
{
    Site few(18, threeTargets, {});
    for (std::size_t n = 0; n < 18; ++n)
        few.setDemand(n, { { "org-" + std::to_string(n % 3), 4 } });
    few.exchange();
    EXPECT_FALSE(few.allotment(0)) << "all organisations ask for the same";
    few.setDemand(0, { { "flood", 60 } });
    few.exchange();
    EXPECT_TRUE(few.allotment(0));
    few.setDemand(0, { { "flood", 8 } });
    for (std::size_t n = 1; n < 18; ++n)
        few.setDemand(n, { { "org", 2 } });
    few.exchange();
    EXPECT_FALSE(few.allotment(0)) << "targets serve what is sent soon enough";
    Site many(70, threeTargets, {});
    for (std::size_t n = 0; n < 70; ++n)
        many.setDemand(n, { { n == 0 ? "small" : "flood", 4 } });
    many.exchange();
    EXPECT_FALSE(many.allotment(0)) << "most daemons would have no place at a time";
}

TEST(PlaceShares, ADaemonWhoseClockHasJumpedTakesNoMoreThanItsPart)
{
    Site site(18, threeTargets, dividedAlways(0));
    for (std::size_t n = 0; n < 18; ++n)
        site.setDemand(n, { { "org", n == 4 ? 6.0 : 3.0 } });
    site.exchange();
    for (int turn = 0; turn < 100; ++turn, site.wallClock += 37s) {
        std::uint32_t own = 0;
        std::optional<PlaceAllotment> allotment = site.allotment(4);
        ASSERT_TRUE(allotment);
        for (std::pair<std::uint64_t const, std::uint32_t> const& it : allotment->places)
            own += it.second;
        EXPECT_LE(own, 2U) << "its part is 1.9 places";
    }
}
