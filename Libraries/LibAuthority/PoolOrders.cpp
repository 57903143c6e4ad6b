#include <LibAuthority/PoolOrders.h>
#include <algorithm>

namespace Authority {

PoolOrders::PoolOrders(PoolSettings const& settings, std::string pool, Holder self, std::uint64_t seed, Time now)
    : m_settings(settings)
    , m_pool(pool)
    , m_keeper(settings.lease, std::move(pool), std::move(self), seed)
    , m_evidence(settings.listLag)
    , m_loadBudget(settings.loadsPerMinute, 1, now)
{
}

void PoolOrders::observeLease(Lease const* lease, Time now)
{
    m_lease = lease ? std::optional(*lease) : std::nullopt;
    m_keeper.observe(lease, now);
    m_evidence.observeUnsettled(m_lease ? m_lease->unsettled : std::vector<FormerHolder>(), now);
    for (std::map<std::string, Entry>::value_type& it : m_engines)
        applyAuthority(it.second);
}

void PoolOrders::applyAuthority(Entry& entry)
{
    if (m_keeper.fencing())
        entry.orders.gainAuthority(*m_keeper.fencing(), entry.checksFencing, m_lease->unsettled);
    else
        entry.orders.loseAuthority();
}

void PoolOrders::setEngines(std::vector<PoolEngine> const& engines)
{
    std::set<std::string> names;
    for (PoolEngine const& engine : engines) {
        names.insert(engine.name);
        Entry& entry = m_engines.try_emplace(engine.name, Entry { engine.checksFencing, EngineOrders(m_settings.orders) }).first->second;
        entry.checksFencing = engine.checksFencing;
        entry.orders.setRouters(m_routers);
        applyAuthority(entry);
    }
    std::erase_if(m_engines, [&names](std::map<std::string, Entry>::value_type const& it) { return !names.contains(it.first); });
}

void PoolOrders::setDesiredState(std::string const& engine, DesiredEngineState const& desired)
{
    if (EngineOrders* orders = findMutable(engine))
        orders->setDesiredState(desired);
}

void PoolOrders::setRouters(std::vector<Router> const& routers)
{
    m_routers = routers;
    for (std::map<std::string, Entry>::value_type& it : m_engines)
        it.second.orders.setRouters(routers);
}

void PoolOrders::observeEngine(std::string const& engine, EngineState const& state, Time now)
{
    if (EngineOrders* orders = findMutable(engine))
        orders->observe(state, now);
}

void PoolOrders::observeUnreachable(std::string const& engine, Time now)
{
    if (EngineOrders* orders = findMutable(engine))
        orders->observeUnreachable(now);
}

void PoolOrders::recordOrderOutcome(std::string const& engine, std::string const& orderId, OrderOutcome outcome, Time now)
{
    if (EngineOrders* orders = findMutable(engine))
        orders->recordOrderOutcome(orderId, outcome, now);
}

void PoolOrders::acknowledgeClose(std::string const& engine, Router const& router, std::uint64_t round, Time now)
{
    if (EngineOrders* orders = findMutable(engine))
        orders->acknowledgeClose(router, round, now);
}

std::vector<PoolAction> PoolOrders::poll(Time now)
{
    std::vector<PoolAction> actions;
    bool hasUnanswered = std::any_of(m_engines.begin(), m_engines.end(),
        [](std::map<std::string, Entry>::value_type const& it) { return it.second.orders.hasUnansweredOrder(); });
    if (std::optional<LeaseRecord> record = m_keeper.poll(now, hasUnanswered))
        actions.emplace_back(std::move(*record));
    pollEvidence(now, actions);
    pollEngines(now, actions);
    return actions;
}

void PoolOrders::pollEvidence(Time now, std::vector<PoolAction>& actions)
{
    bool isDue = !m_lastSettlement || now - *m_lastSettlement >= m_settings.lease.retryInterval;
    if (!needsEvidence() || !isDue)
        return;
    for (Finding const& finding : m_evidence.findings()) {
        actions.emplace_back(LeaseRecord(Settlement { m_pool, *m_keeper.fencing(), finding.formerFencing, finding.evidence }));
        m_lastSettlement = now;
    }
}

void PoolOrders::pollEngines(Time now, std::vector<PoolAction>& actions)
{
    bool mayOrder = m_keeper.mayOrder(now);
    std::size_t changing = 0;
    for (std::map<std::string, Entry>::value_type const& it : m_engines)
        changing += it.second.orders.isChanging() ? 1 : 0;
    for (std::map<std::string, Entry>::value_type& it : m_engines) {
        EngineOrders& orders = it.second.orders;
        bool wasChanging = orders.isChanging();
        std::optional<EngineAction> action = orders.poll(now, mayOrder, changing < m_settings.maximumConcurrentChanges, m_loadBudget);
        changing += !wasChanging && orders.isChanging() ? 1 : 0;
        if (action)
            actions.emplace_back(EngineCommand { it.first, std::move(*action) });
    }
}

EngineOrders const* PoolOrders::find(std::string const& engine) const
{
    std::map<std::string, Entry>::const_iterator it = m_engines.find(engine);
    return it == m_engines.end() ? nullptr : &it->second.orders;
}

EngineOrders* PoolOrders::findMutable(std::string const& engine)
{
    std::map<std::string, Entry>::iterator it = m_engines.find(engine);
    return it == m_engines.end() ? nullptr : &it->second.orders;
}

}
