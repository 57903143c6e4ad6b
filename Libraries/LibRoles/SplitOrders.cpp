#include <LibRoles/SplitOrders.h>
#include <algorithm>
#include <tuple>
#include <utility>

namespace Roles {

bool SplitOrders::settle(std::vector<EngineView> const& listed, Time now)
{
    return std::erase_if(m_orders, [&](std::pair<std::uint64_t const, Order> const& it) {
        std::vector<EngineView>::const_iterator engine = std::find_if(listed.begin(), listed.end(), [&it](EngineView const& view) { return view.key == it.first; });
        return engine == listed.end() || engine->role == it.second.role || now >= it.second.until;
    }) > 0;
}

// Engines that change count in their new role, unless they leave; those that cannot be ordered now keep theirs.
void SplitOrders::apply(std::vector<EngineView>& engines, Time now)
{
    std::erase_if(m_unavailableUntil, [now](std::pair<std::uint64_t const, Time> const& it) { return now >= it.second; });
    for (EngineView& engine : engines) {
        std::map<std::uint64_t, Order>::const_iterator order = m_orders.find(engine.key);
        if (order != m_orders.end()) {
            engine.role = order->second.role;
            engine.state = engine.isLeaving ? EngineState::Down : EngineState::Changing;
        } else if (m_unavailableUntil.contains(engine.key)) {
            engine.allowed = RoleSet();
        }
    }
}

// Returns a step for each of these engines whose state is not known and not being read.
std::vector<SplitStep> SplitOrders::readStates(std::vector<EngineView> const& engines, Time now)
{
    std::vector<SplitStep> steps;
    for (EngineView const& engine : engines) {
        // Engines have two roles, so that one that changes takes the one that it is not listed in.
        TargetRole nextRole = engine.role == TargetRole::Prefill ? TargetRole::Decode : TargetRole::Prefill;
        if (!m_ready.contains(engine.key) && m_reads.try_emplace(engine.key, Read { nextRole, now }).second)
            steps.push_back({ SplitAction::ReadState, { engine.engine, TargetRole::Mixed, 0 }, 0 });
    }
    return steps;
}

std::vector<SplitStep> SplitOrders::plan(std::vector<EngineView> engines, SplitDemand const& demand, bool mayOrder, Time now)
{
    apply(engines, now);
    std::erase_if(m_ready, [&](std::pair<std::uint64_t const, State> const& it) { return now - it.second.readAt >= m_settings.readinessLifetime; });
    std::erase_if(m_reads, [&](std::pair<std::uint64_t const, Read> const& it) { return now - it.second.startedAt >= m_settings.readTimeout; });
    std::vector<RoleChange> changes = m_rule.propose(engines, demand, now);
    if (changes.empty())
        return {};
    if (!mayOrder)
        return { SplitStep { SplitAction::GainLease, {}, 0 } };
    if (std::exchange(m_isTakingOver, false)) {
        std::erase_if(engines, [](EngineView const& it) { return it.state != EngineState::Serving; });
        return readStates(engines, now);
    }
    if (isReading())
        return {};
    std::vector<EngineView> chosen;
    for (RoleChange const& change : changes)
        chosen.push_back(*std::find_if(engines.begin(), engines.end(), [&change](EngineView const& it) { return it.engine == change.engine; }));
    std::vector<SplitStep> reads = readStates(chosen, now);
    if (!reads.empty())
        return reads;
    std::vector<SplitStep> orders;
    for (std::size_t n = 0; n < changes.size(); ++n) {
        std::map<std::uint64_t, State>::const_iterator state = m_ready.find(chosen[n].key);
        orders.push_back({ SplitAction::Order, changes[n], state->second.acceptedOrders });
        m_orders[chosen[n].key] = Order { changes[n].role, now + m_settings.changeTimeout };
        m_ready.erase(state);
    }
    m_rule.commit();
    return orders;
}

void SplitOrders::observe(std::vector<EngineView> engines, SplitDemand const& demand, Time now)
{
    apply(engines, now);
    std::ignore = m_rule.plan(engines, demand, now);
}

void SplitOrders::noteReadiness(std::uint64_t key, EngineReadiness readiness, std::uint64_t acceptedOrders, Time now)
{
    std::map<std::uint64_t, Read>::const_iterator read = m_reads.find(key);
    if (read == m_reads.end())
        return;
    if (readiness == EngineReadiness::Changing)
        m_orders[key] = Order { read->second.nextRole, now + m_settings.changeTimeout };
    else if (readiness == EngineReadiness::Ready)
        m_ready[key] = State { acceptedOrders, now };
    else
        m_unavailableUntil[key] = now + m_settings.unavailableTime;
    m_reads.erase(read);
}

void SplitOrders::noteAnswer(std::uint64_t key, OrderAnswer answer, Time now)
{
    std::map<std::uint64_t, Order>::iterator order = m_orders.find(key);
    if (order == m_orders.end() || answer == OrderAnswer::Accepted)
        return;
    if (answer == OrderAnswer::Unknown) {
        order->second.until = now + m_settings.uncertainTimeout;
        return;
    }
    m_orders.erase(order);
    m_unavailableUntil[key] = now + m_settings.unavailableTime;
}

std::map<std::uint64_t, TargetRole> SplitOrders::changing() const
{
    std::map<std::uint64_t, TargetRole> roles;
    for (std::pair<std::uint64_t const, Order> const& it : m_orders)
        roles.emplace(it.first, it.second.role);
    return roles;
}

std::optional<TargetRole> SplitOrders::nextRole(std::uint64_t key) const
{
    std::map<std::uint64_t, Order>::const_iterator order = m_orders.find(key);
    return order == m_orders.end() ? std::nullopt : std::optional(order->second.role);
}

}
