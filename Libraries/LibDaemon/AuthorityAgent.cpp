#include <LibCore/EventLog.h>
#include <LibDaemon/AuthorityPool.h>
#include <LibDaemon/MixCounter.h>
#include <algorithm>
#include <boost/asio/post.hpp>
#include <xxhash.h>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

constexpr std::chrono::milliseconds pollInterval { 200 };
constexpr std::chrono::seconds releaseTimeout { 5 };
constexpr std::uint32_t mostCandidates = 3;
constexpr double weightLoadsPerMinute = 30;
constexpr double weightBurst = 3;

std::uint64_t hashOf(std::string const& first, std::string const& second)
{
    return XXH3_64bits_withSeed(second.data(), second.size(), XXH3_64bits(first.data(), first.size()));
}

}

AuthorityAgent::AuthorityAgent(boost::asio::io_context& context, Platform::LogService& log, Platform::EngineControl& engines, Peer::Clients& peers, Authority::Holder self, std::chrono::milliseconds retryDelay, Roles::Settings const& roles, Hooks hooks)
    : m_context(context)
    , m_engineControl(engines)
    , m_peers(peers)
    , m_self(std::move(self))
    , m_roleSettings(roles)
    , m_hooks(std::move(hooks))
    , m_leases(context, log, retryDelay, [this](std::vector<std::string> const& pools) {
        for (std::string const& pool : pools) {
            std::map<std::string, std::unique_ptr<Pool>>::iterator it = m_pools.find(pool);
            if (it != m_pools.end())
                it->second->keeper.observe(m_leases.fold().find(pool), Clock::now());
        }
    })
    , m_timer(context)
    , m_weights(weightLoadsPerMinute, weightBurst, Clock::now())
{
}

AuthorityAgent::~AuthorityAgent() = default;

void AuthorityAgent::start()
{
    m_leases.start();
    poll();
}

void AuthorityAgent::stop()
{
    m_isStopped = true;
    m_leases.stop();
    m_timer.cancel();
}

void AuthorityAgent::release(std::function<void()> onDone)
{
    m_isReleasing = true;
    m_onReleased = std::move(onDone);
    m_releaseLimit = Clock::now() + releaseTimeout;
    for (std::pair<std::string const, std::unique_ptr<Pool>> const& it : m_pools)
        it.second->keeper.release();
}

void AuthorityAgent::setFleet(std::map<std::string, std::vector<ManagedEngine>> enginesByPool, std::vector<KnownDaemon> daemons, std::set<std::string> listedVms)
{
    m_daemons = std::move(daemons);
    for (std::string const& name : m_listedVms) {
        if (!listedVms.contains(name))
            m_missingSince.emplace(name, Clock::now());
    }
    for (std::string const& name : listedVms)
        m_missingSince.erase(name);
    m_listedVms = std::move(listedVms);
    std::erase_if(m_pools, [&](std::pair<std::string const, std::unique_ptr<Pool>> const& it) { return !enginesByPool.contains(it.first); });
    for (std::pair<std::string const, std::vector<ManagedEngine>>& it : enginesByPool) {
        std::unique_ptr<Pool>& pool = m_pools[it.first];
        if (!pool) {
            Core::Result<Roles::Planner> planner = Roles::Planner::create(m_roleSettings);
            pool = std::make_unique<Pool>(it.first, Authority::LeaseSettings(), m_self, hashOf(m_self.incarnation, it.first), planner.value());
            pool->keeper.observe(m_leases.fold().find(it.first), Clock::now());
        }
        std::set<std::string> names;
        for (ManagedEngine& managed : it.second) {
            names.insert(managed.name);
            std::map<std::string, Engine>::iterator engine = pool->engines.try_emplace(managed.name, Authority::OrderSettings()).first;
            engine->second.managed = std::move(managed);
        }
        std::erase_if(pool->engines, [&](std::pair<std::string const, Engine> const& engine) { return !names.contains(engine.first); });
    }
}

// The candidates of a pool are ordered by a hash, so that pools spread over the daemons without a word.
std::uint32_t AuthorityAgent::rankOf(std::string const& pool) const
{
    std::uint64_t own = hashOf(pool, m_self.daemon);
    std::uint32_t rank = 0;
    for (KnownDaemon const& daemon : m_daemons) {
        if (daemon.takesWork && hashOf(pool, daemon.name) < own)
            ++rank;
    }
    return rank;
}

void AuthorityAgent::poll()
{
    if (m_isStopped)
        return;
    for (std::pair<std::string const, std::unique_ptr<Pool>> const& it : m_pools)
        pollPool(*it.second);
    bool isHeld = std::any_of(m_pools.begin(), m_pools.end(), [](std::pair<std::string const, std::unique_ptr<Pool>> const& it) { return it.second->keeper.fencing().has_value(); });
    if (m_onReleased && (!isHeld || Clock::now() >= m_releaseLimit))
        std::exchange(m_onReleased, nullptr)();
    m_timer.expires_after(pollInterval);
    m_timer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            poll();
    });
}

void AuthorityAgent::pollPool(Pool& pool)
{
    if (!m_leases.isCaughtUp())
        return;
    pollLease(pool);
    updateAuthority(pool);
    if (!pool.fencing)
        return;
    gatherEvidence(pool);
    plan(pool);
    for (std::pair<std::string const, Engine>& it : pool.engines) {
        applyWish(pool, it.second);
        it.second.orders.setRouters(routers());
        pollEngine(pool, it.second);
        noteBlock(pool, it.second);
    }
}

void AuthorityAgent::pollLease(Pool& pool)
{
    std::uint32_t rank = rankOf(pool.name);
    pool.keeper.setCandidate(!m_isReleasing && rank < mostCandidates, rank);
    bool hasUnanswered = std::any_of(pool.engines.begin(), pool.engines.end(), [](std::pair<std::string const, Engine> const& it) { return it.second.orders.hasUnansweredOrder(); });
    std::optional<Authority::LeaseRecord> record = pool.keeper.poll(Clock::now(), hasUnanswered);
    if (record) {
        if (std::holds_alternative<Authority::Claim>(*record))
            Core::logEvent(Core::Severity::Info, Core::Event::LeaseClaimed, { { "pool", pool.name }, { "rank", std::to_string(rank) } });
        m_leases.append(*record);
    }
    Authority::KeeperPhase phase = pool.keeper.phase(Clock::now());
    if (std::exchange(pool.loggedPhase, phase) == phase)
        return;
    bool isHolding = phase == Authority::KeeperPhase::Holding;
    Core::logEvent(Core::Severity::Info, isHolding ? Core::Event::LeaseGained : Core::Event::LeaseLost, { { "pool", pool.name }, { "phase", std::string(Core::nameOf(Authority::keeperPhaseNames, phase)) }, { "fencing", pool.keeper.fencing() ? std::to_string(*pool.keeper.fencing()) : "-" } });
}

// Tells the engines' machines what the lease's fold says of this daemon's authority.
void AuthorityAgent::updateAuthority(Pool& pool)
{
    std::optional<std::uint64_t> fencing = pool.keeper.fencing();
    Authority::Lease const* lease = m_leases.fold().find(pool.name);
    std::vector<Authority::FormerHolder> unsettled = lease ? lease->unsettled : std::vector<Authority::FormerHolder>();
    bool isNew = std::exchange(pool.fencing, fencing) != fencing;
    for (std::pair<std::string const, Engine>& it : pool.engines) {
        Engine& engine = it.second;
        if (!fencing) {
            if (isNew)
                engine.orders.loseAuthority();
            continue;
        }
        bool isFresh = engine.orders.phase() == Authority::OrderPhase::NoAuthority && !engine.orders.isRefused();
        if (isNew || isFresh)
            engine.orders.gainAuthority(*fencing, engine.managed.checksFencing, unsettled);
        engine.orders.setUnsettled(unsettled);
    }
    if (isNew)
        pool.askedFormer.clear();
}

void AuthorityAgent::applyWish(Pool&, Engine& engine)
{
    Authority::DesiredEngineState wish;
    State::GroupDecision const& decision = engine.managed.decision;
    if (!engine.managed.isDrained) {
        wish.model = decision.model;
        wish.adapter = decision.adapter;
        wish.version = decision.version;
        if (engine.wantedRole) {
            std::optional<State::Role> role = Core::valueOf(State::roleNames, Core::nameOf(Routing::targetRoleNames, *engine.wantedRole));
            // What the operators allow now goes before what was planned before.
            if (role && decision.roles.contains(*role))
                wish.role = role;
        }
    }
    engine.orders.setDesiredState(wish);
}

std::vector<Authority::Router> AuthorityAgent::routers() const
{
    std::vector<Authority::Router> routers;
    for (KnownDaemon const& daemon : m_daemons)
        routers.push_back({ daemon.name, daemon.incarnation });
    return routers;
}

AuthorityAgent::Engine* AuthorityAgent::findEngine(std::string const& pool, std::string const& name)
{
    std::map<std::string, std::unique_ptr<Pool>>::iterator it = m_pools.find(pool);
    if (it == m_pools.end())
        return nullptr;
    std::map<std::string, Engine>::iterator engine = it->second->engines.find(name);
    return engine == it->second->engines.end() ? nullptr : &engine->second;
}

void AuthorityAgent::takeMix(MixReport const& report)
{
    std::map<std::string, std::unique_ptr<Pool>>::iterator it = m_pools.find(report.pool);
    if (it == m_pools.end())
        return;
    add(it->second->counts, report.counts);
}

void AuthorityAgent::handleClose(CloseRequest const& request, std::function<void(CloseReply)> reply)
{
    CloseReply answer { m_self.daemon, m_self.incarnation, false };
    if (request.isOpening)
        answer.isDone = m_closed.open(request.engine, request.fencing, request.round);
    else
        answer.isDone = m_closed.close(request.engine, request.fencing, request.round, Clock::now(), request.timeToLive);
    if (!answer.isDone) {
        reply(std::move(answer));
        return;
    }
    Core::logEvent(Core::Severity::Info, request.isOpening ? Core::Event::EngineOpened : Core::Event::EngineClosed, { { "engine", request.engine }, { "fencing", std::to_string(request.fencing) }, { "round", std::to_string(request.round) } });
    // Later, since publishing comes back through setFleet, which replaces what the caller may be going through.
    boost::asio::post(m_context, [this, answer = std::move(answer), reply = std::move(reply)] {
        m_hooks.closeHere([answer, reply] { reply(answer); });
    });
}

bool AuthorityAgent::isClosed(std::string const& engine) const
{
    return m_closed.isClosed(engine, Clock::now());
}

std::optional<boost::asio::ip::tcp::endpoint> AuthorityAgent::holderAddress(std::string const& pool) const
{
    Authority::Lease const* lease = m_leases.fold().find(pool);
    if (!lease || lease->isReleased)
        return std::nullopt;
    Core::Result<boost::asio::ip::tcp::endpoint> address = Http::parseEndpoint(lease->holder.address);
    if (address.has_error())
        return std::nullopt;
    return address.value();
}

std::vector<LeaseStatus> AuthorityAgent::leaseStatus() const
{
    std::vector<LeaseStatus> status;
    for (std::pair<std::string const, std::unique_ptr<Pool>> const& it : m_pools) {
        Authority::Lease const* lease = m_leases.fold().find(it.first);
        LeaseStatus one { it.first, lease && !lease->isReleased ? lease->holder.daemon : "", lease ? lease->fencing : 0, {} };
        one.phase = std::string(Core::nameOf(Authority::keeperPhaseNames, it.second->keeper.phase(Clock::now())));
        status.push_back(std::move(one));
    }
    return status;
}

std::vector<BlockedStatus> AuthorityAgent::blocked() const
{
    std::vector<BlockedStatus> blocked;
    for (std::pair<std::string const, std::unique_ptr<Pool>> const& pool : m_pools) {
        for (std::pair<std::string const, Engine> const& it : pool.second->engines) {
            std::optional<Authority::Block> const& block = it.second.orders.block();
            if (!block)
                continue;
            std::string why(Core::nameOf(Authority::blockReasonNames, block->reason));
            for (std::string const& name : block->names)
                why += " " + name;
            blocked.push_back({ "engine " + it.first, std::move(why) });
        }
    }
    return blocked;
}

void AuthorityAgent::noteBlock(Pool const& pool, Engine& engine)
{
    std::optional<Authority::Block> const& block = engine.orders.block();
    if (block == engine.loggedBlock)
        return;
    engine.loggedBlock = block;
    if (!block) {
        Core::logEvent(Core::Severity::Info, Core::Event::ChangeUnblocked, { { "pool", pool.name }, { "engine", engine.managed.name } });
        return;
    }
    std::string names;
    for (std::string const& name : block->names)
        names += (names.empty() ? "" : ",") + name;
    // That requests are still running is the ordinary course of a drain.
    bool isOrdinary = block->reason == Authority::BlockReason::RequestsRunning || block->reason == Authority::BlockReason::ChangeBudget;
    Core::logEvent(isOrdinary ? Core::Severity::Info : Core::Severity::Warning, Core::Event::ChangeBlocked, { { "pool", pool.name }, { "engine", engine.managed.name }, { "reason", std::string(Core::nameOf(Authority::blockReasonNames, block->reason)) }, { "daemons", names } });
}

}
