#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/RoleKeeper.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <cmath>
#include <utility>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

// A side is short for seconds before engines change; three hundred daemons that look on cost the fleet more than they save.
constexpr std::chrono::milliseconds lookInterval { 1'000 };
// Engines that have been there for less have little that would be lost.
constexpr std::chrono::milliseconds freshTime { 1'500 };
// Those that are there when a daemon starts list themselves within this, or are read in parts.
constexpr std::chrono::seconds listingTime { 5 };

}

RoleKeeper::RoleKeeper(boost::asio::io_context& context, StoreLeases& leases, Platform::EngineControl& engines, Roles::SplitSettings const& splitSettings, Hooks hooks)
    : m_context(context)
    , m_leases(leases)
    , m_engines(engines)
    , m_splitSettings(splitSettings)
    , m_hooks(std::move(hooks))
{
}

RoleKeeper::Service& RoleKeeper::serviceOf(std::string const& name)
{
    return m_services.try_emplace(name, Service { Roles::SplitOrders(m_splitSettings), false }).first->second;
}

std::optional<Routing::TargetRole> RoleKeeper::nextRole(std::uint64_t key) const
{
    for (std::pair<std::string const, Service> const& it : m_services) {
        if (std::optional<Routing::TargetRole> role = it.second.orders.nextRole(key))
            return role;
    }
    return std::nullopt;
}

std::map<std::uint64_t, Routing::TargetRole> RoleKeeper::changing() const
{
    std::map<std::uint64_t, Routing::TargetRole> all;
    for (std::pair<std::string const, Service> const& it : m_services)
        all.merge(it.second.orders.changing());
    return all;
}

void RoleKeeper::poll(FleetSnapshot const& fleet, std::set<std::uint64_t> const& unreachable)
{
    Time now = Clock::now();
    // A daemon that does not plan looks on, to know since when a side is short should it come to plan; that may wait.
    bool plans = m_hooks.isPlanner() || m_leases.mayOrder();
    bool looks = plans || now >= m_nextLook;
    bool isKnown = !m_isStopped && fleet.isReady && fleet.services;
    if (!looks && changing().empty())
        return;
    if (looks)
        m_nextLook = now + lookInterval;
    std::map<std::string, std::vector<std::uint32_t>> engines;
    for (std::pair<std::string const, Service> const& it : m_services)
        engines.try_emplace(it.first);
    std::set<std::uint64_t> keys;
    for (std::uint32_t position = 0; position < fleet.targets.size(); ++position) {
        keys.insert(fleet.targets[position].key);
        if (fleet.targets[position].kind == Platform::VmKind::Engine)
            engines[fleet.targets[position].pool].push_back(position);
    }
    std::erase_if(m_firstSeen, [&keys](std::pair<std::uint64_t const, Time> const& it) { return !keys.contains(it.first); });
    for (std::pair<std::string const, std::vector<std::uint32_t>> const& it : engines) {
        Roles::SplitOrders& orders = serviceOf(it.first).orders;
        std::vector<Roles::EngineView> views = viewsOf(fleet, it.second, unreachable, now);
        if (orders.settle(views, now))
            m_hooks.onChange();
        if (looks && isKnown && !it.second.empty() && !m_hooks.isBeingSized(it.first))
            plan(fleet, it.first, views, now);
    }
}

std::vector<Roles::EngineView> RoleKeeper::viewsOf(FleetSnapshot const& fleet, std::vector<std::uint32_t> const& positions, std::set<std::uint64_t> const& unreachable, Time now)
{
    std::vector<Roles::EngineView> views;
    std::map<std::string, std::uint32_t> failureDomains; // By availability zone.
    std::map<std::string, std::uint32_t> releases;
    for (std::uint32_t position : positions) {
        FleetTarget const& target = fleet.targets[position];
        Roles::EngineView view;
        view.engine = position;
        view.key = target.key;
        view.role = target.role;
        if (target.isReclaimable)
            view.failureDomain = failureDomains.try_emplace(target.availabilityZone, static_cast<std::uint32_t>(failureDomains.size() + 1)).first->second;
        view.release = releases.try_emplace(target.streamRelease, static_cast<std::uint32_t>(releases.size() + 1)).first->second;
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
        bool isDown = target.isLeaving || unreachable.contains(target.key) || (target.isClosed() && !target.nextRole);
        if (isDown)
            view.state = Roles::EngineState::Down;
        else if (target.nextRole && !nextRole(target.key)) {
            // Ordered by another daemon.
            view.role = *target.nextRole;
            view.state = Roles::EngineState::Changing;
        }
        views.push_back(view);
    }
    return views;
}

void RoleKeeper::plan(FleetSnapshot const& fleet, std::string const& name, std::vector<Roles::EngineView> const& views, Time now)
{
    Service& service = serviceOf(name);
    Roles::SplitDemand demand = m_hooks.demand(name);
    bool mayOrder = m_leases.of(name).mayOrder(now);
    if (!m_hooks.isPlanner() && !mayOrder) {
        service.orders.observe(views, demand, now);
        return;
    }
    bool isOrdering = false;
    for (Roles::SplitStep const& step : service.orders.plan(views, demand, mayOrder, now)) {
        if (step.action == Roles::SplitAction::GainLease) {
            if (!m_leases.isHeld(name) && !std::exchange(service.isGaining, true))
                boost::asio::co_spawn(
                    m_context, [this, name] { return gainLease(name); }, Core::logUncaughtException);
            continue;
        }
        FleetTarget const& target = fleet.targets[step.change.engine];
        Engine engine { name, target.name, target.key, target.bornAtMs, target.endpoint };
        if (step.action == Roles::SplitAction::ReadState) {
            boost::asio::co_spawn(
                m_context, [this, engine] { return readState(engine); }, Core::logUncaughtException);
            continue;
        }
        isOrdering = true;
        Core::logEvent(Core::Severity::Info, Core::Event::RoleDecided, { { "pool", name }, { "engine", target.name }, { "from", std::string(Core::nameOf(Routing::targetRoleNames, target.role)) }, { "to", std::string(Core::nameOf(Routing::targetRoleNames, step.change.role)) }, { "engines", std::to_string(views.size()) }, { "prompts_keep_busy", std::to_string(demand.prompts) }, { "outputs_keep_busy", std::to_string(demand.outputs) } });
        boost::asio::co_spawn(
            m_context, [this, engine, step] { return sendOrder(engine, step); }, Core::logUncaughtException);
    }
    if (!isOrdering)
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

void RoleKeeper::logBlocked(std::string const& service, std::string const& engine, std::string_view why)
{
    Core::logEvent(Core::Severity::Warning, Core::Event::ChangeBlocked, { { "pool", service }, { "engine", engine }, { "reason", std::string(why) } });
}

boost::asio::awaitable<void> RoleKeeper::gainLease(std::string name)
{
    bool isHolder = co_await m_leases.gain(name, StoreLeases::IfHeld::Wait);
    Service& service = serviceOf(name);
    service.isGaining = false;
    if (m_isStopped)
        co_return;
    if (isHolder && m_leases.of(name).isSuccessor())
        service.orders.noteTakeover();
    if (isHolder)
        m_hooks.onReady();
    else
        logBlocked(name, "-", m_leases.isHeld(name) ? "the lease is another daemon's for now" : "the lease is not to be had now");
}

Roles::EngineReadiness RoleKeeper::judge(Engine const& engine, Core::Result<Platform::EngineState> const& state) const
{
    if (state.has_error()) {
        logBlocked(engine.service, engine.name, state.error().message);
        return Roles::EngineReadiness::Unavailable;
    }
    if (engine.bornAtMs != 0 && state.value().bornAtMs != 0 && state.value().bornAtMs != engine.bornAtMs) {
        logBlocked(engine.service, engine.name, "the engine has started anew");
        return Roles::EngineReadiness::Unavailable;
    }
    if (state.value().phase == Platform::EnginePhase::Draining) {
        m_hooks.onLeaving(engine.key);
        logBlocked(engine.service, engine.name, "the engine leaves");
        return Roles::EngineReadiness::Unavailable;
    }
    if (state.value().phase == Platform::EnginePhase::Serving)
        return Roles::EngineReadiness::Ready;
    logBlocked(engine.service, engine.name, "the engine is changing");
    return Roles::EngineReadiness::Changing;
}

boost::asio::awaitable<void> RoleKeeper::readState(Engine engine)
{
    Core::Result<Platform::EngineState> state = co_await m_engines.state(engine.endpoint);
    if (m_isStopped)
        co_return;
    Roles::EngineReadiness readiness = judge(engine, state);
    Roles::SplitOrders& orders = serviceOf(engine.service).orders;
    orders.noteReadiness(engine.key, readiness, state.has_value() ? state.value().acceptedOrders : 0, Clock::now());
    if (readiness == Roles::EngineReadiness::Changing)
        m_hooks.onChange();
    if (!orders.isReading())
        m_hooks.onReady();
}

boost::asio::awaitable<void> RoleKeeper::sendOrder(Engine engine, Roles::SplitStep step)
{
    Authority::StoreLease& lease = m_leases.of(engine.service);
    Platform::EngineOrder sent;
    sent.id = engine.name;
    sent.fencing = lease.fencing().value_or(0);
    sent.role = std::string(Core::nameOf(Routing::targetRoleNames, step.change.role));
    sent.holder = m_leases.self().daemon;
    sent.incarnation = engine.name;
    sent.expectedAccepted = step.acceptedOrders;
    Core::logEvent(Core::Severity::Info, Core::Event::OrderSent, { { "pool", engine.service }, { "engine", engine.name }, { "role", *sent.role }, { "fencing", std::to_string(sent.fencing) }, { "expected", std::to_string(step.acceptedOrders) } });
    lease.recordOrder(Clock::now());
    Core::Result<Platform::OrderReply> reply = co_await m_engines.order(engine.endpoint, sent, [&lease, fencing = sent.fencing] { return lease.mayOrder(Clock::now()) && lease.fencing() == fencing; });
    lease.recordOrder(Clock::now());
    bool isUnknown = reply.has_error() && reply.error().verdict != Core::Verdict::NotRun;
    bool isAccepted = reply.has_value() && reply.value().isAccepted;
    Roles::OrderAnswer answer = isAccepted ? Roles::OrderAnswer::Accepted : isUnknown ? Roles::OrderAnswer::Unknown
                                                                                      : Roles::OrderAnswer::Refused;
    Core::logEvent(Core::Severity::Info, Core::Event::OrderAnswered, { { "pool", engine.service }, { "engine", engine.name }, { "answer", std::string(Core::nameOf(Roles::orderAnswerNames, answer)) }, { "error", reply.has_error() ? reply.error().message : "-" } });
    if (reply.has_value() && reply.value().isLeaving)
        m_hooks.onLeaving(engine.key);
    m_accepted += isAccepted ? 1 : 0;
    serviceOf(engine.service).orders.noteAnswer(engine.key, answer, Clock::now());
    if (answer != Roles::OrderAnswer::Refused)
        co_return;
    if (reply.has_value() && reply.value().isOutdated)
        lease.loseAuthority(Clock::now());
    logBlocked(engine.service, engine.name, "the engine refused the order");
    m_hooks.onChange();
}

}
