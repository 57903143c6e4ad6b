#include "SplitSite.h"

#include <algorithm>

namespace Roles {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds tickInterval = 100ms;
constexpr std::chrono::milliseconds gainTimeout = 1'500ms;
constexpr std::chrono::milliseconds stepBackTime = 6'000ms;
constexpr std::chrono::milliseconds silentAfter = 1'000ms;
constexpr std::chrono::milliseconds switchTime = 2'000ms;
constexpr std::chrono::milliseconds longestCut = 5'000ms;
// Within this a planner may not have heard of what an engine does.
constexpr std::chrono::milliseconds newsTime = 500ms;

TargetRole otherOf(TargetRole role)
{
    return role == TargetRole::Prefill ? TargetRole::Decode : TargetRole::Prefill;
}

}

struct SplitSite::Engine {
    std::uint64_t key { 0 };
    TargetRole role { TargetRole::Prefill };
    std::optional<TargetRole> nextRole;
    std::uint64_t accepted { 0 };
    bool isLeaving { false };
    std::optional<Time> disturbedAtLastOrder; ///< When the site had last been disturbed as its order was sent.

    bool isServing() const { return !nextRole && !isLeaving; }
};

struct SplitSite::Daemon {
    int name { 0 };
    std::uint64_t id { 0 };
    Authority::StoreLease lease;
    Authority::ClaimTimes claimTimes;
    SplitOrders orders;
    std::optional<Time> diedAt;
    bool isGaining { false };
    Time barredUntil;
    Time cutUntil;
};

SplitSite::SplitSite(SplitSiteSettings const& settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_now(Time(1'000s))
    , m_disturbedAt(m_now)
{
    for (std::size_t n = 0; n < settings.engines; ++n)
        addEngine(std::uniform_int_distribution(0, 1)(m_random) == 0 ? TargetRole::Prefill : TargetRole::Decode);
    for (std::size_t n = 0; n < settings.daemons; ++n)
        addDaemon(static_cast<int>(n));
}

SplitSite::~SplitSite() = default;

void SplitSite::after(std::chrono::milliseconds duration, std::function<void()> run)
{
    m_events.push({ m_now + duration, ++m_eventCount, std::move(run) });
}

std::chrono::milliseconds SplitSite::delay(int most)
{
    return std::chrono::milliseconds(std::uniform_int_distribution(1, most)(m_random));
}

void SplitSite::addEngine(TargetRole role)
{
    Engine engine;
    engine.key = ++m_lastId;
    engine.role = role;
    m_engines.emplace(engine.key, engine);
}

void SplitSite::addDaemon(int name)
{
    Authority::StoreLeaseSettings lease;
    lease.isFenced = m_settings.isFenced;
    std::uint64_t id = ++m_lastId;
    m_daemons[name] = std::make_unique<Daemon>(Daemon { name, id, Authority::StoreLease(lease, { std::to_string(name), id }, m_now), {}, SplitOrders(), {}, false, {}, {} });
    after(delay(100), [this, id] {
        if (Daemon* daemon = daemonOf(id))
            tick(*daemon);
    });
}

SplitSite::Daemon* SplitSite::daemonOf(std::uint64_t id)
{
    for (std::pair<int const, std::unique_ptr<Daemon>> const& it : m_daemons) {
        if (it.second->id == id && !it.second->diedAt)
            return it.second.get();
    }
    return nullptr;
}

SplitSite::Engine* SplitSite::engineOf(std::uint64_t key)
{
    std::map<std::uint64_t, Engine>::iterator it = m_engines.find(key);
    return it == m_engines.end() ? nullptr : &it->second;
}

// Of the daemons that the others take for alive and that can get the lease, the one that claimed it last, or the first.
SplitSite::Daemon* SplitSite::planner()
{
    Daemon* first = nullptr;
    for (std::pair<int const, std::unique_ptr<Daemon>> const& it : m_daemons) {
        bool isTakenForDead = it.second->diedAt && m_now - *it.second->diedAt >= silentAfter;
        if (isTakenForDead || m_now < it.second->barredUntil)
            continue;
        bool isHolder = first && it.second->lease.fencing() && it.second->lease.fencing() > first->lease.fencing();
        if (!first || isHolder)
            first = it.second.get();
    }
    return first;
}

std::size_t SplitSite::serving(TargetRole role) const
{
    return static_cast<std::size_t>(std::count_if(m_engines.begin(), m_engines.end(), [role](std::pair<std::uint64_t const, Engine> const& it) { return it.second.isServing() && it.second.role == role; }));
}

// An engine is listed in its former role while it changes; those that live daemons have ordered are known to all.
std::vector<EngineView> SplitSite::views(Daemon const& self) const
{
    std::vector<EngineView> engines;
    for (std::pair<std::uint64_t const, Engine> const& it : m_engines) {
        EngineView view;
        view.engine = static_cast<std::uint32_t>(engines.size());
        view.key = it.first;
        view.role = it.second.role;
        view.allowed = RoleSet().with(TargetRole::Prefill).with(TargetRole::Decode);
        view.isLeaving = it.second.isLeaving;
        if (it.second.isLeaving)
            view.state = EngineState::Down;
        for (std::pair<int const, std::unique_ptr<Daemon>> const& daemon : m_daemons) {
            std::optional<TargetRole> role = daemon.second->diedAt ? std::nullopt : daemon.second->orders.nextRole(it.first);
            if (&self == daemon.second.get() || !role || *role == view.role || it.second.isLeaving)
                continue;
            view.role = *role;
            view.state = EngineState::Changing;
        }
        engines.push_back(view);
    }
    return engines;
}

void SplitSite::tick(Daemon& daemon)
{
    for (std::pair<int const, std::unique_ptr<Daemon>> const& it : m_daemons) {
        if (!it.second->diedAt && it.second->lease.fencing())
            daemon.claimTimes.note(*it.second->lease.fencing() + 1, m_now);
    }
    std::vector<EngineView> engines = views(daemon);
    daemon.orders.settle(engines, m_now);
    bool mayOrder = daemon.lease.mayOrder(m_now);
    if (planner() == &daemon || mayOrder) {
        for (SplitStep const& step : daemon.orders.plan(engines, {}, mayOrder, m_now)) {
            if (step.action == SplitAction::GainLease) {
                bool isHeld = daemon.lease.opensAt() && m_now < *daemon.lease.opensAt();
                if (!isHeld && !std::exchange(daemon.isGaining, true))
                    gain(daemon.id, m_now + gainTimeout);
            } else if (step.action == SplitAction::ReadState) {
                read(daemon.id, engines[step.change.engine].key);
            } else {
                order(daemon.id, engines[step.change.engine].key, step);
            }
        }
    } else {
        daemon.orders.observe(engines, {}, m_now);
    }
    after(tickInterval, [this, id = daemon.id] {
        if (Daemon* self = daemonOf(id))
            tick(*self);
    });
}

void SplitSite::gain(std::uint64_t id, Time giveUpAt)
{
    after(delay(), [this, id, giveUpAt] {
        Daemon* daemon = daemonOf(id);
        if (!daemon)
            return;
        if (m_now >= giveUpAt) {
            daemon->isGaining = false;
            daemon->barredUntil = m_now + stepBackTime;
            return;
        }
        if (m_now < daemon->cutUntil) {
            gain(id, giveUpAt);
            return;
        }
        daemon->lease.observe(m_claims.empty() ? std::nullopt : std::optional(m_claims.back()), m_claims.size(), m_now, m_claims.empty() ? std::nullopt : daemon->claimTimes.madeBy(m_claims.back().offset));
        std::optional<Authority::StoreLeaseAppend> append = daemon->lease.poll(true, m_now);
        bool isHeld = m_now < *daemon->lease.opensAt();
        if (!append) {
            if (isHeld && m_settings.isFenced)
                daemon->barredUntil = *daemon->lease.opensAt();
            daemon->isGaining = !daemon->lease.mayOrder(m_now) && !isHeld;
            if (daemon->isGaining)
                after(50ms, [this, id, giveUpAt] { gain(id, giveUpAt); });
            return;
        }
        after(delay(), [this, id, giveUpAt, append] {
            Daemon* holder = daemonOf(id);
            if (!holder)
                return;
            if (append->expectedNext != m_claims.size()) {
                holder->lease.claimFailed();
                gain(id, giveUpAt);
                return;
            }
            m_claims.push_back({ m_claims.size(), { std::to_string(holder->name), holder->id } });
            holder->lease.claimAppended(m_claims.back().offset);
            holder->isGaining = false;
            if (holder->lease.isSuccessor())
                holder->orders.noteTakeover();
        });
    });
}

void SplitSite::read(std::uint64_t id, std::uint64_t key)
{
    after(delay(), [this, id, key] {
        Daemon* daemon = daemonOf(id);
        Engine const* engine = engineOf(key);
        if (!daemon)
            return;
        if (!engine || engine->isLeaving)
            after(1s, [this, id, key] {
                if (Daemon* self = daemonOf(id))
                    self->orders.noteReadiness(key, EngineReadiness::Unavailable, 0, m_now);
            });
        else
            daemon->orders.noteReadiness(key, engine->nextRole ? EngineReadiness::Changing : EngineReadiness::Ready, engine->accepted, m_now);
    });
}

void SplitSite::order(std::uint64_t id, std::uint64_t key, SplitStep const& step)
{
    daemonOf(id)->lease.recordOrder(m_now);
    // What happens while the order is on its way is news to its sender.
    after(delay(), [this, id, key, step, disturbedAt = m_disturbedAt] {
        Engine* engine = engineOf(key);
        bool isAccepted = engine && !engine->nextRole && engine->accepted == step.acceptedOrders;
        if (isAccepted)
            carryOut(*engine, step.change.role, disturbedAt);
        if (Daemon* daemon = daemonOf(id))
            daemon->orders.noteAnswer(key, isAccepted ? OrderAnswer::Accepted : engine ? OrderAnswer::Refused
                                                                                       : OrderAnswer::Unknown,
                m_now);
    });
}

void SplitSite::carryOut(Engine& engine, TargetRole role, Time disturbedAt)
{
    ++m_orderCount;
    bool isNews = m_now - m_disturbedAt < newsTime;
    bool isLast = engine.isServing() && serving(engine.role) == 1;
    std::string name = "engine " + std::to_string(engine.key) + " to " + std::string(Core::nameOf(Routing::targetRoleNames, role)) + " at " + std::to_string((m_now - Time(1'000s)) / 1ms);
    if (isLast && serving(otherOf(engine.role)) > 0 && !isNews)
        m_problems.push_back("the last that served its role: " + name);
    if (engine.disturbedAtLastOrder == disturbedAt)
        m_problems.push_back("ordered twice while nothing else changed: " + name);
    engine.disturbedAtLastOrder = disturbedAt;
    ++engine.accepted;
    engine.nextRole = role;
    after(switchTime + delay(500), [this, key = engine.key] {
        Engine* changed = engineOf(key);
        if (!changed || !changed->nextRole)
            return;
        changed->role = *changed->nextRole;
        changed->nextRole.reset();
    });
}

void SplitSite::disturb(Disturbance kind, std::size_t which)
{
    m_disturbedAt = m_now;
    std::map<std::uint64_t, Engine>::iterator engine = m_engines.begin();
    if (!m_engines.empty())
        std::advance(engine, static_cast<std::ptrdiff_t>(which % m_engines.size()));
    bool isEngine = kind == Disturbance::EngineLeaves || kind == Disturbance::EngineDies;
    if (isEngine && engine == m_engines.end())
        return;
    Daemon* first = planner();
    if (kind == Disturbance::EngineLeaves)
        engine->second.isLeaving = true;
    else if (kind == Disturbance::EngineDies)
        m_engines.erase(engine);
    else if (kind == Disturbance::EngineComes)
        addEngine(which % 2 == 0 ? TargetRole::Prefill : TargetRole::Decode);
    else if (kind == Disturbance::FirstDaemonStarts)
        addDaemon(m_daemons.begin()->first - 1);
    else if (kind == Disturbance::HolderDies && first && m_daemons.size() > 1)
        first->diedAt = first->diedAt.value_or(m_now);
    else if (kind == Disturbance::DaemonIsCut && first)
        first->cutUntil = m_now + delay(static_cast<int>(longestCut.count()));
}

void SplitSite::run(std::chrono::milliseconds duration)
{
    Time until = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= until) {
        Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.run();
    }
    m_now = until;
}

std::vector<std::string> SplitSite::problems() const
{
    std::vector<std::string> problems = m_problems;
    std::size_t usable = serving(TargetRole::Prefill) + serving(TargetRole::Decode);
    bool isAnyAlive = std::any_of(m_daemons.begin(), m_daemons.end(), [](std::pair<int const, std::unique_ptr<Daemon>> const& it) { return !it.second->diedAt; });
    if (isAnyAlive && usable > 1 && (serving(TargetRole::Prefill) == 0 || serving(TargetRole::Decode) == 0))
        problems.emplace_back("a role is empty in the end");
    return problems;
}

}
