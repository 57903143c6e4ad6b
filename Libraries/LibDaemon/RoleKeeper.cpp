#include <LibCore/EventLog.h>
#include <LibDaemon/BeaconMessage.h>
#include <LibDaemon/RoleKeeper.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

// A side is short for seconds before engines change; three hundred daemons that look on cost the fleet more than they save.
constexpr std::chrono::milliseconds lookInterval { 1'000 };
// A claim takes two calls to the store; a store that is slow beyond this is waited for by the next plan.
constexpr std::chrono::milliseconds gainTimeout { 1'500 };
constexpr std::chrono::milliseconds gainInterval { 50 };
// A daemon that cannot reach the store leaves planning to the next for this long: twice what that one needs.
constexpr std::chrono::seconds stepBackTime { 6 };
// An accepted change takes seconds; the platform lists the new role with the engine's next heartbeat.
constexpr std::chrono::seconds changeTimeout { 10 };
// An order whose reply was lost may still be carried out up to 12 s later (the platform's word).
constexpr std::chrono::seconds uncertainTimeout { 14 };

}

RoleKeeper::RoleKeeper(boost::asio::io_context& context, Platform::KeyedStore& store, Platform::EngineControl& engines, Authority::StoreLeaseHolder self, Authority::StoreLeaseSettings const& leaseSettings, Roles::SplitSettings const& splitSettings, Hooks hooks)
    : m_context(context)
    , m_store(store)
    , m_engines(engines)
    , m_self(std::move(self))
    , m_leaseSettings(leaseSettings)
    , m_splitSettings(splitSettings)
    , m_hooks(std::move(hooks))
{
}

RoleKeeper::Group& RoleKeeper::groupOf(std::string const& service)
{
    std::unique_ptr<Group>& group = m_groups[service];
    if (!group)
        group = std::make_unique<Group>(m_leaseSettings, m_self, m_splitSettings);
    return *group;
}

bool RoleKeeper::mayOrder() const
{
    return std::any_of(m_groups.begin(), m_groups.end(), [](std::pair<std::string const, std::unique_ptr<Group>> const& it) { return it.second->lease.mayOrder(Clock::now()); });
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
    bool plans = m_hooks.isPlanner() || mayOrder();
    if (!plans && now < m_nextLook)
        return;
    m_nextLook = now + lookInterval;
    std::map<std::string, std::vector<std::uint32_t>> engines;
    for (std::uint32_t position = 0; position < fleet.targets.size(); ++position) {
        if (fleet.targets[position].kind == Platform::VmKind::Engine)
            engines[fleet.targets[position].pool].push_back(position);
    }
    for (std::pair<std::string const, std::vector<std::uint32_t>> const& it : engines)
        plan(fleet, it.first, it.second, unreachable, now);
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
    Group& group = groupOf(service);
    std::vector<Roles::EngineView> views;
    for (std::uint32_t position : positions) {
        FleetTarget const& target = fleet.targets[position];
        std::map<std::string, Order>::const_iterator order = m_orders.find(target.name);
        Roles::EngineView view;
        view.engine = position;
        view.role = order != m_orders.end() ? order->second.role : target.role;
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
    Roles::SplitDemand demand = demandOf(fleet, service);
    std::vector<Roles::RoleChange> changes = group.rule.plan(views, demand, now);
    if (!m_hooks.isPlanner() && !group.lease.mayOrder(now))
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

// In engines: an output takes a place in a batch and memory, and the scarcer of the two counts.
Roles::SplitDemand RoleKeeper::demandOf(FleetSnapshot const& fleet, std::string const& service) const
{
    State::ServiceTerms const* terms = fleet.services->find(service);
    Routing::EngineDemand asked = m_hooks.demand(service);
    // Until it is learnt how long outputs take they ask for nothing, which says nothing of the split.
    if (!terms || !terms->engine || asked.promptEngines <= 0 || asked.outputs <= 0)
        return {};
    double places = asked.outputs / std::max<std::uint32_t>(1, terms->engine->slots);
    double memory = asked.kvTokens / static_cast<double>(std::max<std::uint64_t>(1, terms->engine->kvCapacityTokens));
    return { asked.promptEngines, std::max(places, terms->engine->kvCapacityTokens != 0 ? memory : 0), true };
}

void RoleKeeper::giveUp(std::string const& target, std::string_view why)
{
    Core::logEvent(Core::Severity::Warning, Core::Event::ChangeBlocked, { { "engine", target }, { "reason", std::string(why) } });
    if (m_orders.erase(target) > 0)
        m_hooks.onChange();
}

boost::asio::awaitable<void> RoleKeeper::carryOut(std::string target, Order order)
{
    bool isHolder = co_await gainLease(order.service);
    if (m_isStopped)
        co_return;
    if (!isHolder) {
        m_cannotPlanUntil = Clock::now() + stepBackTime;
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
    Authority::StoreLease& lease = groupOf(order.service).lease;
    if (!isIdle || !lease.mayOrder(Clock::now())) {
        giveUp(target, state.has_error() ? state.error().message : isIdle ? "the lease's time is over"
                                                                          : "the engine is changing");
        co_return;
    }
    Platform::EngineOrder sent;
    sent.id = target;
    sent.fencing = *lease.fencing();
    sent.role = std::string(Core::nameOf(Routing::targetRoleNames, order.role));
    sent.holder = m_self.daemon;
    sent.incarnation = target;
    sent.expectedAccepted = state.value().acceptedOrders;
    Core::logEvent(Core::Severity::Info, Core::Event::OrderSent, { { "pool", order.service }, { "engine", target }, { "role", *sent.role }, { "fencing", std::to_string(sent.fencing) }, { "expected", std::to_string(state.value().acceptedOrders) } });
    Core::Result<Platform::OrderReply> reply = co_await m_engines.order(order.endpoint, sent, [&lease, fencing = sent.fencing] { return lease.mayOrder(Clock::now()) && lease.fencing() == fencing; });
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

boost::asio::awaitable<bool> RoleKeeper::gainLease(std::string service)
{
    Time giveUpAt = Clock::now() + gainTimeout;
    while (!m_isStopped && Clock::now() < giveUpAt) {
        Group& group = groupOf(service);
        if (group.lease.mayOrder(Clock::now()))
            co_return true;
        if (!std::exchange(group.isClaiming, true)) {
            co_await claim(service);
            groupOf(service).isClaiming = false;
            continue;
        }
        co_await wait(gainInterval);
    }
    co_return false;
}

// What is known of the claim is read anew before each append: nothing follows the topic while nothing is ordered.
boost::asio::awaitable<void> RoleKeeper::claim(std::string service)
{
    Core::Result<void> read = co_await readClaim(service);
    std::optional<Authority::StoreLeaseAppend> append;
    if (read.has_value())
        append = groupOf(service).lease.poll(true, Clock::now());
    if (!append) {
        co_await wait(gainInterval);
        co_return;
    }
    Core::Result<Platform::ConditionalAppend> appended = co_await m_store.append(Platform::StoreTopic::Leases, service, encode(m_self), append->expectedNext);
    Authority::StoreLease& lease = groupOf(service).lease;
    if (appended.has_value() && appended.value().isAppended) {
        lease.claimAppended(appended.value().offset);
        Core::logEvent(Core::Severity::Info, Core::Event::LeaseGained, { { "pool", service }, { "fencing", std::to_string(appended.value().offset) } });
    } else if (appended.has_value() || appended.error().verdict == Core::Verdict::NotRun) {
        lease.claimFailed();
        Core::logEvent(Core::Severity::Info, Core::Event::LeaseLost, { { "pool", service }, { "phase", "claim refused" }, { "error", appended.has_error() ? appended.error().message : "the topic has moved on" } });
    } else {
        lease.claimUnknown();
        Core::logEvent(Core::Severity::Warning, Core::Event::LeaseLost, { { "pool", service }, { "phase", "claim unknown" }, { "error", appended.error().message } });
    }
}

boost::asio::awaitable<Core::Result<void>> RoleKeeper::readClaim(std::string service)
{
    std::optional<Authority::StoreLeaseClaim> newest;
    std::uint64_t next = 0;
    std::string after;
    bool hasMore = true;
    bool isFirst = true;
    while (hasMore) {
        Core::Result<Platform::KeyedPage> page = co_await m_store.newest(Platform::StoreTopic::Leases, after);
        if (page.has_error())
            co_return Core::Result<void>(page.error());
        if (std::exchange(isFirst, false))
            next = page.value().next;
        for (Platform::KeyedRecord const& record : page.value().records) {
            after = record.key;
            Core::Result<Authority::StoreLeaseHolder> holder = decodeLeaseHolder(record.value.value_or(""));
            if (record.key == service && holder.has_value())
                newest = Authority::StoreLeaseClaim { record.offset, holder.value() };
        }
        hasMore = page.value().hasMore && !page.value().records.empty();
    }
    groupOf(service).lease.observe(newest, next, Clock::now());
    co_return Core::ok();
}

boost::asio::awaitable<void> RoleKeeper::wait(std::chrono::milliseconds duration)
{
    boost::asio::steady_timer timer(m_context, duration);
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

}
