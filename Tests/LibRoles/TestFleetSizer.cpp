// The number of engines of a service, against a platform in virtual time that boots them, takes them back and has none for a while.

#include <LibRoles/FleetSizer.h>
#include <algorithm>
#include <gtest/gtest.h>

namespace {

using namespace std::chrono_literals;
using Roles::EngineKind;
using Roles::EngineOffer;
using Roles::EngineOrder;
using Roles::FleetSizer;
using Roles::FleetSizerSettings;
using Roles::ZoneEngines;
using Time = FleetSizer::Time;

EngineOffer makeOffer()
{
    EngineOffer offer;
    offer.leastPerZone = 1;
    offer.mostPerZone = 90;
    offer.bootTime = 4s;
    offer.reclaimablePrice = 0.25;
    offer.zonePrices = { { "a", 0.9 }, { "b", 1.2 }, { "c", 1.0 } };
    return offer;
}

/// A platform that carries orders out.
class Site {
public:
    explicit Site(std::uint32_t lastingPerZone)
    {
        for (std::string const& zone : { std::string("a"), std::string("b"), std::string("c") })
            m_pools[{ zone, EngineKind::Lasting }].serving = lastingPerZone;
        for (std::string const& zone : { std::string("a"), std::string("b"), std::string("c") })
            m_pools[{ zone, EngineKind::Reclaimable }] = {};
    }

    /// Plays for a time, a step at a time. Returns the least number that served.
    std::uint32_t play(std::chrono::milliseconds duration, std::optional<double> demand)
    {
        constexpr std::chrono::milliseconds step = 100ms;
        std::uint32_t least = UINT32_MAX;
        for (std::chrono::milliseconds t { 0 }; t < duration; t += step) {
            m_now += step;
            for (std::pair<Key const, Pool>& it : m_pools)
                advance(it.second);
            for (EngineOrder const& order : sizer.plan(offer, zones(), demand, m_now))
                carryOut(order);
            least = std::min(least, serving());
            engineSeconds += cost() * std::chrono::duration<double>(step).count();
        }
        return least;
    }

    /// Takes all cheap engines of a zone back; for a time there are no others there, or nowhere.
    void reclaim(std::string const& zone, std::chrono::milliseconds scarce, bool isNowhere = false)
    {
        m_pools[{ zone, EngineKind::Reclaimable }] = {};
        for (std::pair<Key const, Pool>& it : m_pools) {
            if (it.first.second == EngineKind::Reclaimable && (isNowhere || it.first.first == zone))
                it.second.scarceUntil = m_now + scarce;
        }
    }

    std::vector<ZoneEngines> zones() const
    {
        std::vector<ZoneEngines> all;
        for (std::string const& zone : { std::string("a"), std::string("b"), std::string("c") })
            all.push_back({ zone, m_pools.at({ zone, EngineKind::Lasting }).serving, m_pools.at({ zone, EngineKind::Reclaimable }).serving });
        return all;
    }

    std::uint32_t count(EngineKind kind) const
    {
        std::uint32_t sum = 0;
        for (std::pair<Key const, Pool> const& it : m_pools)
            sum += it.first.second == kind ? it.second.serving : 0;
        return sum;
    }
    std::uint32_t serving() const { return count(EngineKind::Lasting) + count(EngineKind::Reclaimable); }

    double cost() const
    {
        double sum = 0;
        for (std::pair<Key const, Pool> const& it : m_pools)
            sum += it.second.serving * offer.zonePrices.at(it.first.first) * (it.first.second == EngineKind::Lasting ? 1 : *offer.reclaimablePrice);
        return sum;
    }

    FleetSizer sizer;
    EngineOffer offer = makeOffer();
    double engineSeconds { 0 };
    std::size_t orders { 0 };
    bool losesOrders { false }; ///< The platform accepts what it does not carry out.

private:
    using Key = std::pair<std::string, EngineKind>;
    struct Pool {
        std::uint32_t serving { 0 };
        std::uint32_t wanted { 0 };
        Time readyAt;
        Time scarceUntil;
        bool isOrdered { false };
    };

    void advance(Pool& pool) const
    {
        if (pool.isOrdered && pool.serving < pool.wanted && m_now >= pool.readyAt)
            pool.serving = pool.wanted;
    }

    void carryOut(EngineOrder const& order)
    {
        ++orders;
        Pool& pool = m_pools[{ order.availabilityZone, order.kind }];
        if (order.count > pool.serving && m_now < pool.scarceUntil) {
            sizer.noteScarce(order, m_now);
            return;
        }
        sizer.noteOrdered(order, m_now);
        if (losesOrders)
            return;
        pool.isOrdered = true;
        pool.wanted = order.count;
        pool.readyAt = m_now + offer.bootTime;
        pool.serving = std::min(pool.serving, order.count);
    }

    Time m_now { 100s };
    std::map<Key, Pool> m_pools;
};

}

TEST(FleetSizer, MostEnginesAreOfTheCheapKindAndNoneGoesBeforeAnotherServes)
{
    Site site(10);
    // Before the first requests those that could serve them stay.
    EXPECT_GE(site.play(20s, std::nullopt), 16U);
    EXPECT_GE(site.count(EngineKind::Reclaimable), 25U);
    EXPECT_LT(site.cost(), 0.7 * 31);
    // What can be lost at once leaves enough.
    std::vector<ZoneEngines> zones = site.zones();
    std::uint32_t largest = 0;
    for (ZoneEngines const& zone : zones)
        largest = std::max(largest, zone.reclaimable);
    EXPECT_GE(site.serving() - largest, site.sizer.size()->strained);
    EXPECT_LT(site.orders, 15U);
    // Under load all do.
    Site busy(10);
    EXPECT_GE(busy.play(20s, 13.0), 30U);
    EXPECT_LE(busy.count(EngineKind::Lasting), 6U);
}

// Guards against a zone's cheap engines taken back in the middle of a burst.
TEST(FleetSizer, AZoneThatIsTakenBackDuringABurstLeavesEnough)
{
    Site site(10);
    site.play(20s, std::nullopt);
    site.play(5s, 13.0);
    site.play(3s, 18.0);
    site.reclaim("b", 9s, true);
    EXPECT_GE(site.play(9s, 18.0), 18U);
    // And then the next one, before the first is back.
    site.reclaim("c", 9s);
    EXPECT_GE(site.play(9s, 18.0), 12U);
    site.play(10s, 18.0);
    EXPECT_GE(site.serving(), 40U);
}

// Guards against asking again and again where none are to be had, and against having none at all.
TEST(FleetSizer, WhereNoneAreToBeHadLastingOnesCarryTheDemand)
{
    Site site(10);
    site.play(20s, std::nullopt);
    for (std::string const& zone : { std::string("a"), std::string("b"), std::string("c") })
        site.reclaim(zone, 30s, true);
    std::size_t before = site.orders;
    site.play(10s, 13.0);
    EXPECT_GE(site.serving(), site.sizer.size()->strained);
    EXPECT_LT(site.orders - before, 25U);
    // They go when the cheap ones are back.
    site.play(40s, 13.0);
    EXPECT_LE(site.count(EngineKind::Lasting), site.sizer.size()->lasting + 3);
}

// Guards against lasting engines that are ordered in place of cheap ones which serve, and so make more of them needed.
TEST(FleetSizer, WhatReplacesALossTakesNoPlaceOfWhatIsLeft)
{
    Site site(10);
    site.offer.mostPerZone = 18;
    site.play(20s, std::nullopt);
    std::uint32_t before = site.zones()[0].reclaimable;
    ASSERT_GE(before, 12U);
    for (std::string const& zone : { std::string("b"), std::string("c") })
        site.reclaim(zone, 30s, true);
    site.play(10s, 24.0);
    EXPECT_EQ(site.zones()[0].reclaimable, before);
    EXPECT_GE(site.serving(), 30U);
    EXPECT_LT(site.serving(), 40U);
}

// Guards against orders that are accepted and not carried out, or undone by an older one that comes late.
TEST(FleetSizer, WhatStandsIsReadAndNotBelieved)
{
    Site site(10);
    site.losesOrders = true;
    site.play(8s, std::nullopt);
    EXPECT_EQ(site.serving(), 30U);
    site.losesOrders = false;
    site.play(20s, std::nullopt);
    EXPECT_GE(site.count(EngineKind::Reclaimable), 25U);
}

// Guards against a new holder that takes a fleet which has just lost a zone for what the operators want.
TEST(FleetSizer, ANewHolderGoesByTheDemand)
{
    Site site(10);
    site.play(20s, std::nullopt);
    site.play(5s, 13.0);
    std::uint32_t before = site.serving();
    site.reclaim("b", 5s);
    site.sizer = FleetSizer();
    site.play(20s, 13.0);
    EXPECT_GE(site.serving() + 3, before);
}

TEST(FleetSizer, ADemandThatFallsToNothingLeavesFewAndOneThatSwingsChangesLittle)
{
    Site site(10);
    site.play(20s, std::nullopt);
    std::size_t before = site.orders;
    for (int n = 0; n < 10; ++n) {
        site.play(3s, 12.0);
        site.play(3s, 14.0);
    }
    EXPECT_EQ(site.orders, before);
    site.play(60s, 0.1);
    EXPECT_LE(site.serving(), 6U);
}

TEST(FleetSizer, WithoutCheapOnesTheNumberFollowsTheDemand)
{
    Site site(10);
    site.offer.reclaimablePrice.reset();
    site.play(10s, std::nullopt);
    EXPECT_EQ(site.serving(), 30U);
    site.play(30s, 20.0);
    EXPECT_GE(site.serving(), 40U);
    EXPECT_EQ(site.count(EngineKind::Reclaimable), 0U);
}

TEST(FleetSizer, SaysWhichDemandPriceAndLossMadeTheSize)
{
    Site site(30);
    EXPECT_EQ(site.sizer.explain(site.offer), "");
    site.play(20s, 10.0);
    std::string why = site.sizer.explain(site.offer);
    EXPECT_NE(why.find("0.25 of a lasting one"), std::string::npos) << why;
    EXPECT_NE(why.find("must be left when one availability zone's reclaimable ones are gone"), std::string::npos) << why;
}
