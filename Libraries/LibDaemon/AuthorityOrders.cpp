// The part of AuthorityAgent that plans roles and carries out what the engines' order machines ask for.

#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/AuthorityPool.h>
#include <LibPeer/Call.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

constexpr std::chrono::seconds planInterval { 2 };
constexpr std::chrono::milliseconds peerTimeout { 1'000 };
constexpr std::chrono::seconds vmListLag { 30 };
constexpr std::chrono::seconds evidenceInterval { 2 };
constexpr std::size_t changingPart = 4; ///< At most one in so many engines changes at once.
constexpr int okStatus = 200;

Roles::RoleSet toRoleSet(State::RoleSet allowed)
{
    Roles::RoleSet roles;
    for (std::pair<Routing::TargetRole, std::string_view> const& it : Routing::targetRoleNames) {
        std::optional<State::Role> role = Core::valueOf(State::roleNames, it.second);
        if (role && allowed.contains(*role))
            roles = roles.with(it.first);
    }
    return roles;
}

Authority::EngineState toAuthority(Platform::EngineState const& state, Clock::time_point readAt)
{
    Authority::EngineState result;
    result.incarnation = state.incarnation;
    result.fencing = state.fencing;
    result.role = Core::valueOf(State::roleNames, state.role).value_or(State::Role::Mixed);
    result.model = state.model;
    result.adapter = state.adapter;
    result.version = state.version;
    result.phase = Core::valueOf(Authority::enginePhaseNames, Core::nameOf(Platform::enginePhaseNames, state.phase)).value_or(Authority::EnginePhase::Changing);
    result.running = state.running + state.waiting;
    result.readAt = readAt;
    result.asOf = readAt - state.asOfAge;
    return result;
}

Platform::EngineOrder toOrder(Authority::EngineAction const& action)
{
    Platform::EngineOrder order;
    order.id = action.orderId;
    order.fencing = action.fencing;
    if (action.kind != Authority::EngineActionKind::Order)
        return order;
    if (action.desired.role)
        order.role = std::string(Core::nameOf(State::roleNames, *action.desired.role));
    order.model = action.desired.model;
    order.adapter = action.desired.adapter;
    order.version = action.desired.version;
    return order;
}

}

void AuthorityAgent::plan(Pool& pool)
{
    Clock::time_point now = Clock::now();
    if (pool.plannedAt == Clock::time_point())
        pool.plannedAt = now;
    if (now - pool.plannedAt < planInterval)
        return;
    Roles::FleetView view;
    view.windowSeconds = std::chrono::duration<double>(now - std::exchange(pool.plannedAt, now)).count();
    view.counts = std::exchange(pool.counts, Roles::MixCounts {});
    for (std::pair<std::string const, Engine> const& it : pool.engines) {
        Engine const& engine = it.second;
        Roles::EngineView one;
        one.engine = engine.managed.id;
        one.allowed = toRoleSet(engine.managed.decision.roles);
        one.changeCostSeconds = engine.managed.decision.changeCostSeconds.value_or(0);
        if (engine.managed.state) {
            one.role = Core::valueOf(Routing::targetRoleNames, engine.managed.state->role).value_or(Routing::TargetRole::Mixed);
            one.running = engine.managed.state->running;
            one.waitingPromptTokens = engine.managed.state->waitingPromptTokens;
        }
        if (engine.managed.isDrained || !engine.managed.state || engine.orders.block() || engine.orders.isRefused())
            one.state = Roles::EngineState::Down;
        else if (engine.orders.isChanging() || engine.managed.state->phase != Platform::EnginePhase::Serving)
            one.state = Roles::EngineState::Changing;
        if (one.state == Roles::EngineState::Changing && engine.wantedRole)
            one.role = *engine.wantedRole;
        view.engines.push_back(one);
    }
    for (Roles::RoleChange const& change : pool.planner.plan(view)) {
        for (std::pair<std::string const, Engine>& it : pool.engines) {
            if (it.second.managed.id != change.engine)
                continue;
            it.second.wantedRole = change.role;
            ++m_roleChanges;
            Core::logEvent(Core::Severity::Info, Core::Event::RoleDecided, { { "pool", pool.name }, { "engine", it.first }, { "role", std::string(Core::nameOf(Routing::targetRoleNames, change.role)) }, { "gain", std::to_string(change.gain) }, { "prefill_share_now", std::to_string(pool.planner.mix().shareNow()) }, { "prefill_share_average", std::to_string(pool.planner.mix().shareAverage()) } });
        }
    }
}

void AuthorityAgent::pollEngine(Pool& pool, Engine& engine)
{
    std::size_t changing = 0;
    for (std::pair<std::string const, Engine> const& it : pool.engines)
        changing += it.second.orders.isChanging() ? 1 : 0;
    // Whatever is wanted, most of a pool goes on serving; a pool of one or two changes one at a time.
    std::size_t bound = std::clamp<std::size_t>(pool.engines.size() / changingPart, 1, m_roleSettings.maxChanging);
    bool mayStart = changing < bound;
    Clock::time_point now = Clock::now();
    std::optional<Authority::EngineAction> action = engine.orders.poll(now, pool.keeper.mayOrder(now), mayStart, m_weights);
    if (action)
        perform(pool, engine, *action);
}

void AuthorityAgent::perform(Pool& pool, Engine& engine, Authority::EngineAction const& action)
{
    std::string const& name = engine.managed.name;
    switch (action.kind) {
    case Authority::EngineActionKind::Raise:
    case Authority::EngineActionKind::Order:
        Core::logEvent(Core::Severity::Info, Core::Event::OrderSent, { { "pool", pool.name }, { "engine", name }, { "kind", std::string(Core::nameOf(Authority::engineActionKindNames, action.kind)) }, { "order", action.orderId }, { "fencing", std::to_string(action.fencing) }, { "role", action.desired.role ? std::string(Core::nameOf(State::roleNames, *action.desired.role)) : "-" }, { "model", action.desired.model.value_or("-") }, { "version", action.desired.version.value_or("-") } });
        boost::asio::co_spawn(
            m_context, [this, pool = pool.name, name, action, endpoint = engine.managed.endpoint] { return writeOrder(pool, name, action, endpoint); }, Core::logUncaughtException);
        return;
    case Authority::EngineActionKind::Read:
        if (!std::exchange(engine.isReading, true))
            boost::asio::co_spawn(
                m_context, [this, pool = pool.name, name, endpoint = engine.managed.endpoint] { return readState(pool, name, endpoint); }, Core::logUncaughtException);
        return;
    case Authority::EngineActionKind::Close:
    case Authority::EngineActionKind::Open:
        for (KnownDaemon const& daemon : m_daemons) {
            CloseRequest request { name, action.fencing, action.round, std::chrono::duration_cast<std::chrono::milliseconds>(action.timeToLive), action.kind == Authority::EngineActionKind::Open };
            boost::asio::co_spawn(
                m_context, [this, pool = pool.name, name, daemon, request] { return askToClose(pool, name, daemon, request); }, Core::logUncaughtException);
        }
        return;
    }
}

boost::asio::awaitable<void> AuthorityAgent::writeOrder(std::string pool, std::string engine, Authority::EngineAction action, boost::asio::ip::tcp::endpoint endpoint)
{
    std::function<bool()> mayWrite = [this, pool] {
        std::map<std::string, std::unique_ptr<Pool>>::iterator it = m_pools.find(pool);
        return it != m_pools.end() && it->second->keeper.mayOrder(Clock::now());
    };
    Platform::EngineOrder order = toOrder(action);
    Core::Result<Platform::OrderReply> reply = co_await m_engineControl.order(endpoint, order, std::move(mayWrite));
    Authority::OrderOutcome answer = Authority::OrderOutcome::Unknown;
    if (reply.has_value() && reply.value().isAccepted)
        answer = Authority::OrderOutcome::Accepted;
    else if (reply.has_value())
        answer = reply.value().newerFencing > action.fencing ? Authority::OrderOutcome::StaleFencing : Authority::OrderOutcome::Refused;
    std::string why = reply.has_error() ? reply.error().message : "-";
    Core::logEvent(Core::Severity::Info, Core::Event::OrderAnswered, { { "pool", pool }, { "engine", engine }, { "order", action.orderId }, { "answer", reply.has_value() ? (reply.value().isAccepted ? "accepted" : "refused") : "unknown" }, { "error", why } });
    if (Engine* it = findEngine(pool, engine))
        it->orders.recordOrderOutcome(action.orderId, answer, Clock::now());
}

boost::asio::awaitable<void> AuthorityAgent::readState(std::string pool, std::string engine, boost::asio::ip::tcp::endpoint endpoint)
{
    Clock::time_point readAt = Clock::now();
    Core::Result<Platform::EngineState> state = co_await m_engineControl.state(endpoint);
    Engine* it = findEngine(pool, engine);
    if (!it)
        co_return;
    it->isReading = false;
    if (state.has_error())
        it->orders.observeUnreachable(Clock::now());
    else
        it->orders.observe(toAuthority(state.value(), readAt), Clock::now());
}

void AuthorityAgent::observeEngine(std::string const& pool, std::string const& engine, Platform::EngineState const& state, Clock::time_point readAt)
{
    Engine* it = findEngine(pool, engine);
    if (it && it->orders.phase() != Authority::OrderPhase::NoAuthority)
        it->orders.observe(toAuthority(state, readAt), Clock::now());
}

boost::asio::awaitable<void> AuthorityAgent::askToClose(std::string pool, std::string engine, KnownDaemon daemon, CloseRequest request)
{
    CloseReply reply;
    if (daemon.name == m_self.daemon) {
        // Through the same door as everybody else, without the detour over the network.
        handleClose(request, [this, pool, engine, request](CloseReply const& answer) {
            Engine* it = findEngine(pool, engine);
            if (it && answer.isDone && !request.isOpening)
                it->orders.acknowledgeClose({ answer.daemon, answer.incarnation }, request.round, Clock::now());
        });
        co_return;
    }
    std::shared_ptr<Peer::Client> client = m_peers.get(daemon.peerAddress);
    Core::Result<Peer::Reply> answer = co_await Peer::call(*client, closePath, encode(request), peerTimeout);
    if (answer.has_error() || answer.value().status != okStatus)
        co_return;
    Core::Result<CloseReply> decoded = decodeCloseReply(answer.value().body);
    Engine* it = findEngine(pool, engine);
    if (it && decoded.has_value() && decoded.value().isDone && !request.isOpening)
        it->orders.acknowledgeClose({ decoded.value().daemon, decoded.value().incarnation }, request.round, Clock::now());
}

// A former holder can order no more once another process answers at its address, or once its VM has been missing
// from the list for longer than the list's lag. No clock alone proves it.
void AuthorityAgent::gatherEvidence(Pool& pool)
{
    Authority::Lease const* lease = m_leases.fold().find(pool.name);
    if (!lease || !pool.fencing)
        return;
    Clock::time_point now = Clock::now();
    for (Authority::FormerHolder const& former : lease->unsettled) {
        Clock::time_point& askedAt = pool.askedFormer[former.fencing];
        if (askedAt != Clock::time_point() && now - askedAt < evidenceInterval)
            continue;
        askedAt = now;
        std::map<std::string, Clock::time_point>::const_iterator missing = m_missingSince.find(former.holder.daemon);
        bool isGone = missing != m_missingSince.end() && now - missing->second > vmListLag;
        bool isOwnAddress = former.holder.address == m_self.address && former.holder.incarnation != m_self.incarnation;
        if (isGone || isOwnAddress)
            settle(pool, former, isGone ? Authority::Evidence::Gone : Authority::Evidence::Replaced);
        else
            boost::asio::co_spawn(
                m_context, [this, name = pool.name, former] { return askIdentity(name, former); }, Core::logUncaughtException);
    }
}

void AuthorityAgent::settle(Pool& pool, Authority::FormerHolder const& former, Authority::Evidence evidence)
{
    Core::logEvent(Core::Severity::Info, Core::Event::FormerHolderSettled, { { "pool", pool.name }, { "former", former.holder.daemon }, { "evidence", std::string(Core::nameOf(Authority::evidenceNames, evidence)) } });
    m_leases.append(Authority::Settlement { pool.name, *pool.fencing, former.fencing, evidence });
}

boost::asio::awaitable<void> AuthorityAgent::askIdentity(std::string pool, Authority::FormerHolder former)
{
    Core::Result<boost::asio::ip::tcp::endpoint> endpoint = Http::parseEndpoint(former.holder.address);
    if (endpoint.has_error())
        co_return;
    // A connection of its own: who answers on one opened before the claim was read proves nothing.
    Core::Result<std::shared_ptr<Peer::Client>> client = Peer::Client::create(m_context, endpoint.value(), m_peers.settings());
    if (client.has_error())
        co_return;
    Core::Result<Peer::Reply> reply = co_await Peer::call(*client.value(), identityPath, std::string(), peerTimeout);
    std::map<std::string, std::unique_ptr<Pool>>::iterator it = m_pools.find(pool);
    if (it == m_pools.end() || !it->second->fencing)
        co_return;
    bool isReplaced = reply.has_value() && reply.value().status == okStatus && !reply.value().body.empty() && reply.value().body != former.holder.incarnation;
    if (isReplaced)
        settle(*it->second, former, Authority::Evidence::Replaced);
}

}
