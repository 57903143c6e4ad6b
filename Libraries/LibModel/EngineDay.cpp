#include <LibModel/EngineDay.h>
#include <algorithm>
#include <cmath>
#include <map>
#include <numbers>
#include <numeric>
#include <random>

namespace Model {

namespace {

using Roles::EngineKind;
using Roles::EngineOrder;
using Roles::FleetSizer;
using Roles::ZoneEngines;

constexpr double stepSeconds = 0.1;
constexpr double trafficAt = 10; ///< Engines are ordered for some time before the first request.
constexpr double demandLagSeconds = 3;
constexpr double demandError = 0.1;
constexpr double groupSize = 8;

FleetSizer::Time timeAt(double seconds)
{
    return FleetSizer::Time(std::chrono::seconds(1'000) + std::chrono::milliseconds(std::llround(seconds * 1'000)));
}

/// One zone's engines of one kind.
struct Pool {
    std::uint32_t working { 0 };
    std::vector<double> bootedAt; ///< Of those on their way.
    double scarceUntil { 0 };

    std::uint32_t ordered() const { return working + static_cast<std::uint32_t>(bootedAt.size()); }
};

class Market {
public:
    explicit Market(EngineDay const& day)
        : m_day(day)
    {
        std::uint32_t left = day.found;
        std::size_t zones = day.offer.zonePrices.size();
        for (std::pair<std::string const, double> const& it : day.offer.zonePrices) {
            std::uint32_t share = static_cast<std::uint32_t>((left + zones - 1) / zones);
            m_pools[{ it.first, EngineKind::Lasting }].working = share;
            m_pools[{ it.first, EngineKind::Reclaimable }] = {};
            left -= share;
            --zones;
        }
    }

    void advance(double now)
    {
        for (std::pair<Key const, Pool>& it : m_pools) {
            Pool& pool = it.second;
            std::size_t before = pool.bootedAt.size();
            std::erase_if(pool.bootedAt, [now](double at) { return at <= now; });
            pool.working += static_cast<std::uint32_t>(before - pool.bootedAt.size());
        }
        for (Reclaim const& reclaim : m_day.reclaims) {
            if (now - stepSeconds < reclaim.atSeconds && reclaim.atSeconds <= now)
                takeBack(reclaim);
        }
    }

    /// Returns whether the platform takes the order.
    bool carryOut(EngineOrder const& order, double now)
    {
        Pool& pool = m_pools.at({ order.availabilityZone, order.kind });
        if (order.count > pool.ordered() && now < pool.scarceUntil)
            return false;
        while (order.count < pool.ordered() && !pool.bootedAt.empty())
            pool.bootedAt.pop_back();
        pool.working = std::min(pool.working, order.count);
        while (order.count > pool.ordered())
            pool.bootedAt.push_back(now + std::chrono::duration<double>(m_day.offer.bootTime).count());
        return true;
    }

    std::vector<ZoneEngines> zones() const
    {
        std::vector<ZoneEngines> all;
        for (std::pair<std::string const, double> const& it : m_day.offer.zonePrices)
            all.push_back({ it.first, m_pools.at({ it.first, EngineKind::Lasting }).working, m_pools.at({ it.first, EngineKind::Reclaimable }).working });
        return all;
    }

    double working() const
    {
        return std::accumulate(m_pools.begin(), m_pools.end(), 0.0, [](double sum, std::pair<Key const, Pool> const& it) { return sum + it.second.working; });
    }

    double ordered() const
    {
        return std::accumulate(m_pools.begin(), m_pools.end(), 0.0, [](double sum, std::pair<Key const, Pool> const& it) { return sum + it.second.ordered(); });
    }

    /// What all engines cost a second; booting ones are paid for, too.
    double price() const
    {
        double sum = 0;
        for (std::pair<Key const, Pool> const& it : m_pools) {
            double kind = it.first.second == EngineKind::Reclaimable ? m_day.offer.reclaimablePrice.value_or(1) : 1;
            sum += it.second.ordered() * kind * m_day.offer.zonePrices.at(it.first.first);
        }
        return sum;
    }

private:
    using Key = std::pair<std::string, EngineKind>;

    void takeBack(Reclaim const& reclaim)
    {
        for (std::pair<Key const, Pool>& it : m_pools) {
            if (it.first.second != EngineKind::Reclaimable)
                continue;
            bool isHere = it.first.first == reclaim.availabilityZone;
            if (isHere)
                it.second = {};
            if (isHere || reclaim.isScarceEverywhere)
                it.second.scarceUntil = reclaim.atSeconds + reclaim.scarceSeconds;
        }
    }

    EngineDay const& m_day;
    std::map<Key, Pool> m_pools;
};

double demandAt(EngineDay const& day, double now)
{
    if (now < trafficAt)
        return 0;
    double demand = day.demand * (1 + day.swing * std::sin(2 * std::numbers::pi * now / day.swingSeconds));
    for (Burst const& burst : day.bursts) {
        if (now >= burst.atSeconds && now < burst.atSeconds + burst.forSeconds)
            demand *= burst.factor;
    }
    return demand;
}

// Erlang's C formula: the share of work that waits at all, by his B formula's recursion.
double waitShare(double load, double servers)
{
    double blocked = 1;
    for (int n = 1; n <= static_cast<int>(servers); ++n)
        blocked = load * blocked / (n + load * blocked);
    return servers * blocked / (servers - load * (1 - blocked));
}

State::EngineOffer makeOffer(std::optional<double> reclaimablePrice)
{
    State::EngineOffer offer;
    offer.leastPerZone = 1;
    offer.mostPerZone = 200;
    offer.bootTime = std::chrono::seconds(4);
    offer.reclaimablePrice = reclaimablePrice;
    offer.zonePrices = { { "a", 0.9 }, { "b", 1.2 }, { "c", 1.0 } };
    return offer;
}

}

double EngineDayFigures::value(double enginePrice) const
{
    return 1 - late * (1 - lateWorth) - lost - cost * enginePrice;
}

double lateShare(EngineDay const& day, double demand, double engines)
{
    double load = groupSize * demand / engines;
    return waitShare(load, groupSize) * std::exp(-(groupSize - load) * day.patienceSeconds / day.workSeconds);
}

EngineDayFigures play(EngineDay const& day, FleetSizer sizer, std::uint64_t seed)
{
    EngineDayFigures figures;
    Market market(day);
    std::mt19937_64 random(seed);
    std::normal_distribution<double> error(0, demandError);
    double known = 0;
    double work = 0;
    double cost = 0;
    for (double now = 0; now < day.lengthSeconds; now += stepSeconds) {
        market.advance(now);
        double demand = demandAt(day, now);
        known += (demand - known) * stepSeconds / demandLagSeconds;
        bool isKnown = now >= trafficAt + demandLagSeconds;
        std::optional<double> heard = isKnown ? std::optional(std::max(0.0, known * (1 + error(random)))) : std::nullopt;
        for (EngineOrder const& order : sizer.plan(day.offer, market.zones(), heard, timeAt(now))) {
            ++figures.orders;
            if (market.carryOut(order, now))
                sizer.recordOrder(order, timeAt(now));
            else
                sizer.recordScarcity(order, timeAt(now));
        }
        double working = market.working();
        double served = std::min(demand, working);
        work += demand * stepSeconds;
        cost += market.price() * stepSeconds;
        figures.lost += (demand - served) * stepSeconds;
        if (demand > 0)
            figures.late += served * (demand < working ? lateShare(day, demand, working) : 1) * stepSeconds;
        if (std::floor(now) > std::floor(now - stepSeconds))
            figures.points.push_back({ demand, sizer.size() ? static_cast<double>(sizer.size()->wanted) : 0, market.ordered(), working });
    }
    figures.late /= work;
    figures.lost /= work;
    figures.cost = cost / work;
    return figures;
}

std::vector<EngineDay> engineDays()
{
    EngineDay calm;
    calm.name = "calm";
    calm.offer = makeOffer(0.2);
    calm.found = 30;
    std::vector<EngineDay> days { calm };

    EngineDay bursts = calm;
    bursts.name = "bursts";
    bursts.bursts = { { 30, 5, 2 }, { 60, 15, 1.6 }, { 90, 10, 0.4 } };
    days.push_back(bursts);

    EngineDay reclaimed = bursts;
    reclaimed.name = "zone taken back in a burst";
    reclaimed.reclaims = { { 32, "a", 10, false } };
    days.push_back(reclaimed);

    EngineDay twice = calm;
    twice.name = "two zones taken back in a row";
    twice.reclaims = { { 30, "b", 10, true }, { 36, "c", 10, true }, { 80, "a", 10, false } };
    days.push_back(twice);

    EngineDay falling = calm;
    falling.name = "demand falls to a tenth";
    falling.bursts = { { 50, 70, 0.1 } };
    days.push_back(falling);

    EngineDay slow = bursts;
    slow.name = "long work, little patience";
    slow.workSeconds = 0.8;
    slow.patienceSeconds = 0.2;
    days.push_back(slow);

    EngineDay dear = bursts;
    dear.name = "reclaimable ones at 0.6";
    dear.offer = makeOffer(0.6);
    days.push_back(dear);

    EngineDay lasting = bursts;
    lasting.name = "lasting ones alone";
    lasting.offer = makeOffer(std::nullopt);
    days.push_back(lasting);

    EngineDay large = reclaimed;
    large.name = "ten times as large";
    large.demand = 100;
    large.found = 300;
    days.push_back(large);
    return days;
}

std::vector<NamedSizeRule> sizeRules()
{
    double const utilisation = Roles::FleetSizerSettings().utilisation;
    constexpr double mostLate = 0.02;
    std::vector<NamedSizeRule> rules;
    rules.push_back({ "by price", [utilisation](EngineDay const&) { return Roles::sizeByPrice(utilisation); } });
    rules.push_back({ "fixed utilisation", [utilisation](EngineDay const&) -> Roles::SizeRule { return [utilisation](double demand, double) { return demand / utilisation; }; } });
    rules.push_back({ "by wait", [](EngineDay const& day) -> Roles::SizeRule {
                         return [day](double demand, double) {
                             // Where requests are longer than their patience no number makes all of them on time.
                             double engines = std::max(1.0, demand * 1.05);
                             while (engines < 10 * demand && lateShare(day, demand, engines) > mostLate)
                                 engines *= 1.02;
                             return engines;
                         };
                     } });
    return rules;
}

}
