#include <LibCore/EventLog.h>
#include <LibDaemon/RoleKeeper.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

// A side is short for seconds before engines change; three hundred daemons that look on cost the fleet more than they save.
constexpr std::chrono::milliseconds lookInterval { 1'000 };
// Engines that have been there for less have little that would be lost.
constexpr std::chrono::milliseconds freshTime { 1'500 };
// Those that are there when a daemon starts list themselves within this, or are read in parts.
constexpr std::chrono::seconds listingTime { 5 };
// An accepted change takes seconds; the platform lists the new role with the engine's next heartbeat.
constexpr std::chrono::seconds changeTimeout { 10 };
// An order whose reply was lost may still be carried out up to 12 s later (the platform's word).
constexpr std::chrono::seconds uncertainTimeout { 14 };

}

RoleKeeper::RoleKeeper(boost::asio::io_context& context, StoreLeases& leases, Platform::EngineControl& engines, Roles::SplitSettings const& splitSettings, Hooks hooks)
    : m_context(context)
    , m_leases(leases)
    , m_engines(engines)
    , m_splitSettings(splitSettings)
    , m_hooks(std::move(hooks))
{
}

Roles::SplitRule& RoleKeeper::ruleOf(std::string const& service)
{
    return m_rules.try_emplace(service, m_splitSettings).first->second;
}

bool RoleKeeper::isChanging(std::uint64_t key) const
{
    return std::any_of(m_orders.begin(), m_orders.end(), [key](std::pair<std::string const, Order> const& it) { return it.second.key == key; });
}

std::vector<std::uint64_t> RoleKeeper::changing() const
{
    std::vector<std::uint64_t> keys;
    for (std::pair<std::string const, Order> const& it : m_orders)
        keys.push_back(it.second.key);
    return keys;
}

void RoleKeeper::poll(FleetSnapshot const& fleet, std::set<std::uint64_t> const& unreachable)
{
    Time now = Clock::now();
    settle(fleet, now);
    if (m_isStopped || !fleet.isReady || !fleet.services)
        return;
    // A daemon that does not plan looks on, to know since when a side is short should it come to plan; that may wait.
    bool plans = m_hooks.isPlanner() || m_leases.mayOrder();
    if (!plans && now < m_nextLook)
        return;
    m_nextLook = now + lookInterval;
    std::map<std::string, std::vector<std::uint32_t>> engines;
    std::erase_if(m_firstSeen, [&fleet](std::pair<std::uint64_t const, Time> const& it) {
        return std::none_of(fleet.targets.begin(), fleet.targets.end(), [&it](FleetTarget const& target) { return target.key == it.first; });
    });
    for (std::uint32_t position = 0; position < fleet.targets.size(); ++position) {
        if (fleet.targets[position].kind == Platform::VmKind::Engine)
            engines[fleet.targets[position].pool].push_back(position);
    }
    for (std::pair<std::string const, std::vector<std::uint32_t>> const& it : engines) {
        if (m_hooks.isBeingSized(it.first))
            continue;
        plan(fleet, it.first, it.second, unreachable, now);
    }
}

// Ends orders whose engine is seen in its new role, is gone, or has had its time.
void RoleKeeper::settle(FleetSnapshot const& fleet, Time now)
{
    std::size_t ended = std::erase_if(m_orders, [&](std::pair<std::string const, Order> const& it) {
        for (FleetTarget const& target : fleet.targets) {
            // An order is over, too, when its engine has started anew: that one is another, with the role it has.
            if (target.name == it.first)
                return target.key != it.second.key || target.role == it.second.role || now >= it.second.until;
        }
        return true;
    });
    if (ended > 0)
        m_hooks.onChange();
}

void RoleKeeper::plan(FleetSnapshot const& fleet, std::string const& service, std::vector<std::uint32_t> const& positions, std::set<std::uint64_t> const& unreachable, Time now)
{
    std::vector<Roles::EngineView> views;
    std::map<std::string, std::uint32_t> lossGroups; // By availability zone.
    for (std::uint32_t position : positions) {
        FleetTarget const& target = fleet.targets[position];
        std::map<std::string, Order>::const_iterator order = m_orders.find(target.name);
        Roles::EngineView view;
        view.engine = position;
        view.role = order != m_orders.end() ? order->second.role : target.role;
        if (target.isReclaimable)
            view.failureDomain = lossGroups.try_emplace(target.availabilityZone, static_cast<std::uint32_t>(lossGroups.size() + 1)).first->second;
        view.isFresh = isFresh(target.key, now);
        view.isLeaving = target.isLeaving;
        // Differences within what the estimates err are none.
        constexpr double step = 0.15;
        view.slowness = std::round(m_hooks.slowness(target.key, target.role) / step) * step;
        State::RoleSet allowed = fleet.view->groupDecision(position).roles;
        if (allowed.contains(State::Role::Prefill))
            view.allowed = view.allowed.with(Routing::TargetRole::Prefill);
        if (allowed.contains(State::Role::Decode))
            view.allowed = view.allowed.with(Routing::TargetRole::Decode);
        view.state = order != m_orders.end() ? Roles::EngineState::Changing : target.isClosed() || unreachable.contains(target.key) ? Roles::EngineState::Down
                                                                                                                                    : Roles::EngineState::Serving;
        views.push_back(view);
    }
    // The rule always sees the fleet, so that whoever comes to plan knows since when a side is short.
    Roles::SplitDemand demand = m_hooks.demand(service);
    std::vector<Roles::RoleChange> changes = ruleOf(service).plan(views, demand, now);
    if (!m_hooks.isPlanner() && !m_leases.of(service).mayOrder(now))
        return;
    for (Roles::RoleChange const& change : changes) {
        FleetTarget const& target = fleet.targets[change.engine];
        Order order { service, target.key, target.bornAtMs, target.endpoint, change.role, now + changeTimeout };
        Core::logEvent(Core::Severity::Info, Core::Event::RoleDecided, { { "pool", service }, { "engine", target.name }, { "from", std::string(Core::nameOf(Routing::targetRoleNames, target.role)) }, { "to", std::string(Core::nameOf(Routing::targetRoleNames, change.role)) }, { "engines", std::to_string(views.size()) }, { "prompts_keep_busy", std::to_string(demand.prompts) }, { "outputs_keep_busy", std::to_string(demand.outputs) } });
        m_orders.emplace(target.name, order);
        boost::asio::co_spawn(
            m_context, [this, name = target.name, order]() { return carryOut(name, order); }, boost::asio::detached);
    }
    if (changes.empty())
        return;
    m_hooks.onChange();
    m_hooks.onPlan();
}

// Whether an engine has come later than the others, and so lately that it has had few requests.
bool RoleKeeper::isFresh(std::uint64_t key, Time now)
{
    if (m_firstSeen.empty() && m_firstLook == Time())
        m_firstLook = now;
    std::pair<std::map<std::uint64_t, Time>::iterator, bool> seen = m_firstSeen.try_emplace(key, now);
    return seen.first->second - m_firstLook >= listingTime && now - seen.first->second < freshTime;
}

void RoleKeeper::giveUp(std::string const& target, std::string_view why)
{
    Core::logEvent(Core::Severity::Warning, Core::Event::ChangeBlocked, { { "engine", target }, { "reason", std::string(why) } });
    if (m_orders.erase(target) > 0)
        m_hooks.onChange();
}

boost::asio::awaitable<void> RoleKeeper::carryOut(std::string target, Order order)
{
    bool isHolder = co_await m_leases.gain(order.service);
    if (m_isStopped)
        co_return;
    if (!isHolder) {
        giveUp(target, "the lease is not to be had now");
        co_return;
    }
    Core::Result<Platform::EngineState> state = co_await m_engines.state(order.endpoint);
    if (m_isStopped)
        co_return;
    if (state.has_value() && order.bornAtMs != 0 && state.value().bornAtMs != 0 && state.value().bornAtMs != order.bornAtMs) {
        giveUp(target, "the engine has started anew");
        co_return;
    }
    if (state.has_value() && state.value().phase == Platform::EnginePhase::Draining) {
        m_hooks.onLeaving(order.key);
        giveUp(target, "the engine leaves");
        co_return;
    }
    bool isIdle = state.has_value() && state.value().phase == Platform::EnginePhase::Serving;
    Authority::StoreLease& lease = m_leases.of(order.service);
    if (!isIdle || !lease.mayOrder(Clock::now())) {
        giveUp(target, state.has_error() ? state.error().message : isIdle ? "the lease's time is over"
                                                                          : "the engine is changing");
        co_return;
    }
    Platform::EngineOrder sent;
    sent.id = target;
    sent.fencing = *lease.fencing();
    sent.role = std::string(Core::nameOf(Routing::targetRoleNames, order.role));
    sent.holder = m_leases.self().daemon;
    sent.incarnation = target;
    sent.expectedAccepted = state.value().acceptedOrders;
    Core::logEvent(Core::Severity::Info, Core::Event::OrderSent, { { "pool", order.service }, { "engine", target }, { "role", *sent.role }, { "fencing", std::to_string(sent.fencing) }, { "expected", std::to_string(state.value().acceptedOrders) } });
    lease.recordOrder(Clock::now());
    Core::Result<Platform::OrderReply> reply = co_await m_engines.order(order.endpoint, sent, [&lease, fencing = sent.fencing] { return lease.mayOrder(Clock::now()) && lease.fencing() == fencing; });
    lease.recordOrder(Clock::now());
    bool isUnknown = reply.has_error() && reply.error().verdict != Core::Verdict::NotRun;
    std::string answer = reply.has_value() ? (reply.value().isAccepted ? "accepted" : "refused") : "unknown";
    Core::logEvent(Core::Severity::Info, Core::Event::OrderAnswered, { { "pool", order.service }, { "engine", target }, { "answer", answer }, { "error", reply.has_error() ? reply.error().message : "-" } });
    if (reply.has_value() && reply.value().isLeaving)
        m_hooks.onLeaving(order.key);
    if (reply.has_value() && reply.value().isAccepted) {
        ++m_accepted;
        co_return;
    }
    if (isUnknown) {
        std::map<std::string, Order>::iterator it = m_orders.find(target);
        if (it != m_orders.end())
            it->second.until = Clock::now() + uncertainTimeout;
        co_return;
    }
    if (reply.has_value() && reply.value().isOutdated)
        lease.loseAuthority(Clock::now());
    giveUp(target, "the engine refused the order");
}

}
