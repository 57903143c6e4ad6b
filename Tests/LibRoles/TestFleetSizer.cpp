// Runs the sizer in virtual time against a fake platform that boots and reclaims engines and is temporarily out of capacity.

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

/// A platform that executes orders after the boot time.
class FakePlatform {
public:
    explicit FakePlatform(std::uint32_t lastingPerZone)
    {
        for (std::string const& zone : { std::string("a"), std::string("b"), std::string("c") })
            m_pools[{ zone, EngineKind::Lasting }].serving = lastingPerZone;
        for (std::string const& zone : { std::string("a"), std::string("b"), std::string("c") })
            m_pools[{ zone, EngineKind::Reclaimable }] = {};
    }

    /// Advances the virtual time by a duration. Returns the smallest number of serving engines.
    std::uint32_t run(std::chrono::milliseconds duration, std::optional<double> demand)
    {
        constexpr std::chrono::milliseconds step = 100ms;
        std::uint32_t least = UINT32_MAX;
        for (std::chrono::milliseconds t { 0 }; t < duration; t += step) {
            m_now += step;
            for (std::pair<Key const, Pool>& it : m_pools)
                advance(it.second);
            for (EngineOrder const& order : sizer.plan(offer, zones(), demand, m_now))
                execute(order);
            least = std::min(least, serving());
            engineSeconds += cost() * std::chrono::duration<double>(step).count();
        }
        return least;
    }

    /// Reclaims all reclaimable engines of a zone; for a time there is no capacity for new ones there, or everywhere.
    void reclaim(std::string const& zone, std::chrono::milliseconds scarce, bool isEverywhere = false)
    {
        m_pools[{ zone, EngineKind::Reclaimable }] = {};
        for (std::pair<Key const, Pool>& it : m_pools) {
            if (it.first.second == EngineKind::Reclaimable && (isEverywhere || it.first.first == zone))
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
    bool dropsOrders { false }; ///< Accepts orders without executing them.

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

    void execute(EngineOrder const& order)
    {
        ++orders;
        Pool& pool = m_pools[{ order.availabilityZone, order.kind }];
        if (order.count > pool.serving && m_now < pool.scarceUntil) {
            sizer.recordScarcity(order, m_now);
            return;
        }
        sizer.recordOrder(order, m_now);
        if (dropsOrders)
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

TEST(FleetSizer, MostEnginesAreReclaimableAndNoneStopsBeforeItsReplacementServes)
{
    FakePlatform platform(10);
    // Before the first requests, enough engines remain to serve them.
    EXPECT_GE(platform.run(20s, std::nullopt), 16U);
    EXPECT_GE(platform.count(EngineKind::Reclaimable), 25U);
    EXPECT_LT(platform.cost(), 0.7 * 31);
    // Enough engines remain after the largest loss.
    std::vector<ZoneEngines> zones = platform.zones();
    std::uint32_t largest = 0;
    for (ZoneEngines const& zone : zones)
        largest = std::max(largest, zone.reclaimable);
    EXPECT_GE(platform.serving() - largest, platform.sizer.size()->strained);
    EXPECT_LT(platform.orders, 15U);
    // Under load, all of them remain.
    FakePlatform loaded(10);
    EXPECT_GE(loaded.run(20s, 13.0), 30U);
    EXPECT_LE(loaded.count(EngineKind::Lasting), 6U);
}

// Guards against a shortage when a zone's reclaimable engines are lost in the middle of a burst.
TEST(FleetSizer, ReclaimingAZoneDuringABurstLeavesEnoughEngines)
{
    FakePlatform platform(10);
    platform.run(20s, std::nullopt);
    platform.run(5s, 13.0);
    platform.run(3s, 18.0);
    platform.reclaim("b", 9s, true);
    EXPECT_GE(platform.run(9s, 18.0), 18U);
    // A second zone is lost before the first has recovered.
    platform.reclaim("c", 9s);
    EXPECT_GE(platform.run(9s, 18.0), 12U);
    platform.run(10s, 18.0);
    EXPECT_GE(platform.serving(), 40U);
}

// Guards against retrying orders in a tight loop while the platform has no capacity, and against running out of engines.
TEST(FleetSizer, LastingEnginesServeTheDemandDuringScarcity)
{
    FakePlatform platform(10);
    platform.run(20s, std::nullopt);
    for (std::string const& zone : { std::string("a"), std::string("b"), std::string("c") })
        platform.reclaim(zone, 30s, true);
    std::size_t before = platform.orders;
    platform.run(10s, 13.0);
    EXPECT_GE(platform.serving(), platform.sizer.size()->strained);
    EXPECT_LT(platform.orders - before, 25U);
    // The lasting engines are removed once reclaimable ones are back.
    platform.run(40s, 13.0);
    EXPECT_LE(platform.count(EngineKind::Lasting), platform.sizer.size()->lasting + 3);
}

// Guards against ordering lasting engines in place of serving reclaimable ones, which would require even more of them.
TEST(FleetSizer, ReplacementsDoNotDisplaceRemainingEngines)
{
    FakePlatform platform(10);
    platform.offer.mostPerZone = 18;
    platform.run(20s, std::nullopt);
    std::uint32_t before = platform.zones()[0].reclaimable;
    ASSERT_GE(before, 12U);
    for (std::string const& zone : { std::string("b"), std::string("c") })
        platform.reclaim(zone, 30s, true);
    platform.run(10s, 24.0);
    EXPECT_EQ(platform.zones()[0].reclaimable, before);
    EXPECT_GE(platform.serving(), 30U);
    EXPECT_LT(platform.serving(), 40U);
}

// Guards against orders that are accepted but not executed, or overwritten by a delayed older order.
TEST(FleetSizer, UsesTheListedEnginesRatherThanAcceptedOrders)
{
    FakePlatform platform(10);
    platform.dropsOrders = true;
    platform.run(8s, std::nullopt);
    EXPECT_EQ(platform.serving(), 30U);
    platform.dropsOrders = false;
    platform.run(20s, std::nullopt);
    EXPECT_GE(platform.count(EngineKind::Reclaimable), 25U);
}

// Guards against a new lease holder that takes a fleet which has just lost a zone for the intended size.
TEST(FleetSizer, ANewLeaseHolderSizesByTheDemand)
{
    FakePlatform platform(10);
    platform.run(20s, std::nullopt);
    platform.run(5s, 13.0);
    std::uint32_t before = platform.serving();
    platform.reclaim("b", 5s);
    platform.sizer = FleetSizer();
    platform.run(20s, 13.0);
    EXPECT_GE(platform.serving() + 3, before);
}

TEST(FleetSizer, ScalesDownOnNoDemandAndIgnoresSmallFluctuations)
{
    FakePlatform platform(10);
    platform.run(20s, std::nullopt);
    std::size_t before = platform.orders;
    for (int n = 0; n < 10; ++n) {
        platform.run(3s, 12.0);
        platform.run(3s, 14.0);
    }
    EXPECT_EQ(platform.orders, before);
    platform.run(60s, 0.1);
    EXPECT_LE(platform.serving(), 6U);
}

TEST(FleetSizer, WithoutReclaimableEnginesTheCountFollowsTheDemand)
{
    FakePlatform platform(10);
    platform.offer.reclaimablePrice.reset();
    platform.run(10s, std::nullopt);
    EXPECT_EQ(platform.serving(), 30U);
    platform.run(30s, 20.0);
    EXPECT_GE(platform.serving(), 40U);
    EXPECT_EQ(platform.count(EngineKind::Reclaimable), 0U);
}

TEST(FleetSizer, ExplainsTheSizeByDemandPriceAndLoss)
{
    FakePlatform platform(30);
    EXPECT_EQ(platform.sizer.explain(platform.offer), "");
    platform.run(20s, 10.0);
    std::string why = platform.sizer.explain(platform.offer);
    EXPECT_NE(why.find("0.25 of a lasting engine"), std::string::npos) << why;
    EXPECT_NE(why.find("must remain when all reclaimable engines of one availability zone are lost"), std::string::npos) << why;
}
