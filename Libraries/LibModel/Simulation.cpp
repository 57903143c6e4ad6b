#include <LibModel/Simulation.h>
#include <LibModel/VirtualTime.h>
#include <algorithm>

namespace Model {

using Roles::EngineState;
using Routing::Phase;
using Routing::TargetRole;

namespace {

constexpr double peerSeconds = 0.2; ///< How often entries tell each other their counts.
constexpr double peerLatencySeconds = 0.001;
constexpr double planSeconds = 1;
constexpr double pokeSeconds = 0.05;
constexpr double cacheEventDelaySeconds = 1;
constexpr double cacheEventLostShare = 0.05;
constexpr double noTargetRetrySeconds = 0.05;

}

double firstTokenLimitSeconds(Job const& job, EngineSettings const& engine)
{
    return 0.89 + job.promptTokens * engine.secondsPerPromptToken;
}

Simulation::Simulation(Scenario const& scenario, RunSettings settings)
    : m_scenario(scenario)
    , m_settings(std::move(settings))
    , m_router(Routing::Router::create(m_settings.routing).value())
    , m_jobs(Workload(scenario.workload, scenario.engine, m_settings.seed).draw())
    , m_isEntryLost(scenario.workload.entries, false)
    , m_rng(m_settings.seed ^ 0xC0FFEE)
{
    for (std::uint32_t i = 0; i < scenario.workload.engines; ++i) {
        TargetRole role = i < m_settings.roles.size() ? m_settings.roles[i] : TargetRole::Mixed;
        m_slots.push_back({ Engine(scenario.engine, role) });
        m_facts.push_back({ role, false, i % scenario.zones });
        m_slots[i].engine.cache().setHook([this, i](std::uint64_t hash, bool isStored) {
            if (static_cast<double>(m_rng() >> 11) * 0x1.0p-53 < cacheEventLostShare)
                return;
            m_cacheNotes.push_back({ i, hash, isStored });
            schedule(m_now + duration(cacheEventDelaySeconds), Kind::CacheEvent);
        });
    }
    for (std::uint32_t i = 0; i < scenario.workload.entries; ++i)
        m_entries.emplace_back(i % scenario.zones, m_slots.size(), m_settings.seed * 1000 + i);
    for (std::uint32_t i = 0; i < scenario.workload.entries; ++i)
        m_gates.emplace_back(m_slots.size(), m_settings.gate, makeHooks(i));
    m_figures.intervals.resize(static_cast<std::size_t>(scenario.workload.seconds / Figures::intervalSeconds) + 1);
    m_figures.seconds = scenario.workload.seconds - Figures::warmUpSeconds;
    m_open = m_jobs.size();
}

void Simulation::schedule(Time time, Kind kind, std::uint32_t index, std::uint32_t version)
{
    m_events.push({ time, m_order++, kind, index, version });
}

Figures Simulation::run()
{
    for (std::uint32_t i = 0; i < m_jobs.size(); ++i)
        schedule(m_jobs[i].arrival, Kind::Arrival, i);
    schedule(Time {}, Kind::ReportTaken);
    schedule(Time {} + duration(peerSeconds), Kind::PeerCounts);
    schedule(Time {} + duration(planSeconds), Kind::Plan);
    if (m_settings.isFair)
        schedule(Time {} + duration(pokeSeconds), Kind::GatesPoked);
    if (m_scenario.engineLostAt)
        schedule(Time {} + duration(*m_scenario.engineLostAt), Kind::EngineLost, m_scenario.workload.engines - 1);
    if (m_scenario.zoneLostAt)
        schedule(Time {} + duration(*m_scenario.zoneLostAt), Kind::ZoneLost);
    Time limit = Time {} + duration(m_scenario.workload.seconds + 120);
    while (!m_events.empty() && m_open > 0) {
        Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        if (m_now > limit)
            break;
        handle(event);
    }
    for (Job& it : m_jobs) {
        if (it.outcome == Outcome::Open)
            close(it, Outcome::Lost);
    }
    return m_figures;
}

void Simulation::handle(Event const& event)
{
    switch (event.kind) {
    case Kind::Arrival:
        return arrive(m_jobs[event.index]);
    case Kind::IterationEnd:
        if (event.version == m_slots[event.index].version)
            endIteration(event.index);
        return;
    case Kind::Transferred:
        return placeOutput(m_jobs[event.index]);
    case Kind::ReportTaken:
        return takeReports();
    case Kind::ReportDelivered:
        return deliverReports();
    case Kind::CacheEvent: {
        CacheNote note = m_cacheNotes.front();
        m_cacheNotes.pop_front();
        for (Entry& it : m_entries)
            note.isStored ? it.prefixes().stored(note.hash, note.engine) : it.prefixes().evicted(note.hash, note.engine);
        return;
    }
    case Kind::PeerCounts:
        return exchangeCounts();
    case Kind::PeerTold:
        return deliverNote();
    case Kind::Plan:
        return makePlan();
    case Kind::Changed:
        if (event.version == m_slots[event.index].version)
            continueChange(event.index);
        return;
    case Kind::EngineLost:
        return loseEngine(event.index);
    case Kind::ZoneLost:
        return loseZone();
    case Kind::GatesPoked:
        for (Gate& it : m_gates)
            it.poke(m_now);
        return schedule(m_now + duration(pokeSeconds), Kind::GatesPoked);
    }
}

Entry& Simulation::entryOf(Job const& job)
{
    // A caller whose entry is lost connects to the next one.
    std::size_t i = job.entry;
    while (m_isEntryLost[i])
        i = (i + 1) % m_entries.size();
    return m_entries[i];
}

Phase Simulation::startingPhase() const
{
    auto canDecode = [](EngineFacts const& it) { return !it.isClosed && it.role != TargetRole::Prefill; };
    return std::any_of(m_facts.begin(), m_facts.end(), canDecode) ? Phase::WholeOrPrefill : Phase::Whole;
}

bool Simulation::isCounted(Job const& job) const
{
    return secondsOf(job.arrival) >= Figures::warmUpSeconds;
}

// The check on arrival: the wait for the prompt, and for a slot where the output goes elsewhere.
bool Simulation::isInTime(Job const& job, Entry& entry, Routing::Decision const& decision)
{
    if (!m_settings.admit || !decision.chosen)
        return true;
    double wait = decision.waitSeconds + secondsOf(m_now) - secondsOf(job.arrival);
    if (decision.role == TargetRole::Prefill)
        wait += entry.decide(m_router, job, Phase::Decode, m_facts, m_now).waitSeconds;
    return m_settings.admit(job, wait, m_now);
}

void Simulation::arrive(Job& job)
{
    if (job.attempts == 0) {
        Roles::ClassCounts& counts = m_counts[static_cast<std::size_t>(job.promptClass)];
        counts.requests += 1;
        counts.promptTokens += job.promptTokens - job.prefixTokens;
        if (m_settings.isFair)
            return enterGate(job);
    }
    Entry& entry = entryOf(job);
    Routing::Decision decision = entry.decide(m_router, job, startingPhase(), m_facts, m_now);
    if (job.attempts == 0 && !isInTime(job, entry, decision))
        return close(job, Outcome::Shed);
    if (!decision.chosen) {
        schedule(m_now + duration(noTargetRetrySeconds), Kind::Arrival, indexOf(job));
        job.attempts = std::max<std::uint8_t>(job.attempts, 1);
        return;
    }
    accept(job, decision.target);
}

void Simulation::accept(Job& job, std::uint32_t engine)
{
    m_accepted += job.attempts <= 1 ? 1 : 0;
    job.attempts = std::max<std::uint8_t>(job.attempts, 1);
    dispatch(job, entryOf(job), engine, true);
}

void Simulation::enterGate(Job& job)
{
    job.gate = static_cast<std::uint32_t>(&entryOf(job) - m_entries.data());
    m_gates[job.gate].enter(indexOf(job), job, m_now);
}

std::optional<std::uint32_t> Simulation::placeFor(Job const& job, Entry& entry)
{
    Routing::Decision decision = entry.decide(m_router, job, startingPhase(), m_facts, m_now);
    if (!decision.chosen || !isInTime(job, entry, decision))
        return std::nullopt;
    return decision.target;
}

Gate::Hooks Simulation::makeHooks(std::uint32_t entry)
{
    Gate::Hooks hooks;
    hooks.place = [this, entry](std::uint32_t job) { return placeFor(m_jobs[job], m_entries[entry]); };
    hooks.grant = [this](std::uint32_t job, std::uint32_t engine) { accept(m_jobs[job], engine); };
    hooks.refuse = [this](std::uint32_t job) { close(m_jobs[job], Outcome::Shed); };
    return hooks;
}

void Simulation::dispatch(Job& job, Entry& entry, std::uint32_t engine, bool hasPrompt)
{
    entry.sent(job, engine, hasPrompt, m_now);
    if (m_settings.tellAtOnceTokens > 0 && job.countedTokens >= m_settings.tellAtOnceTokens) {
        m_peerNotes.push_back({ static_cast<std::size_t>(&entry - m_entries.data()), engine, entry.takeCounts(engine) });
        schedule(m_now + duration(peerLatencySeconds), Kind::PeerTold);
        ++m_figures.notes;
    }
    m_slots[engine].engine.enqueue(job);
    wake(engine);
}

void Simulation::wake(std::uint32_t engine)
{
    if (std::optional<Time> end = m_slots[engine].engine.start(m_now))
        schedule(*end, Kind::IterationEnd, engine, m_slots[engine].version);
}

void Simulation::endIteration(std::uint32_t engine)
{
    m_happenings.clear();
    m_slots[engine].engine.finish(m_now, m_happenings);
    for (Engine::Event const& it : m_happenings) {
        Entry& entry = entryOf(*it.job);
        if (it.happening == Engine::Happening::FirstToken) {
            entry.prefilled(*it.job, m_now);
        } else if (it.happening == Engine::Happening::PrefillDone) {
            entry.ended(*it.job, m_now);
            it.job->isImported = true;
            double bytes = it.job->promptTokens * m_scenario.engine.kvBytesPerToken;
            schedule(m_now + duration(bytes / m_scenario.engine.transferBytesPerSecond), Kind::Transferred, indexOf(*it.job));
        } else {
            entry.ended(*it.job, m_now);
            finish(*it.job);
            m_gates[it.job->gate].release(indexOf(*it.job), m_now);
        }
    }
    wake(engine);
    if (m_slots[engine].state == EngineState::Changing && m_slots[engine].engine.isIdle())
        schedule(m_now + duration(m_scenario.engine.changeSeconds), Kind::Changed, engine, m_slots[engine].version);
}

void Simulation::placeOutput(Job& job)
{
    Entry& entry = entryOf(job);
    Routing::Decision decision = entry.decide(m_router, job, Phase::Decode, m_facts, m_now);
    if (!decision.chosen)
        return schedule(m_now + duration(noTargetRetrySeconds), Kind::Transferred, indexOf(job));
    dispatch(job, entry, decision.target, false);
}

void Simulation::finish(Job& job)
{
    Roles::ClassCounts& counts = m_counts[static_cast<std::size_t>(job.promptClass)];
    counts.endedRequests += 1;
    counts.outputTokens += job.outputTokens;
    m_figures.promptTokens += job.promptTokens;
    m_figures.cachedTokens += job.cachedTokens;
    double first = secondsOf(job.firstToken) - secondsOf(job.arrival);
    bool isLate = first > firstTokenLimitSeconds(job, m_scenario.engine);
    // 95 in 100: of n tokens, n / 20 rounded up may come late.
    bool isSlow = job.slowTokens > (job.outputTokens + 19) / 20;
    close(job, isLate ? Outcome::LateFirst : (isSlow ? Outcome::Slow : Outcome::Good));
}

void Simulation::close(Job& job, Outcome outcome)
{
    job.outcome = outcome;
    --m_open;
    Interval& interval = m_figures.intervals[static_cast<std::size_t>(secondsOf(job.arrival) / Figures::intervalSeconds)];
    ++interval.offered;
    interval.good += outcome == Outcome::Good ? 1 : 0;
    interval.longPrompts += job.promptClass == Roles::PromptClass::Long ? 1 : 0;
    if (!isCounted(job))
        return;
    auto tally = [outcome](Tally& it) {
        ++it.offered;
        it.good += outcome == Outcome::Good ? 1 : 0;
        it.lateFirst += outcome == Outcome::LateFirst ? 1 : 0;
        it.slow += outcome == Outcome::Slow ? 1 : 0;
        it.shed += outcome == Outcome::Shed ? 1 : 0;
        it.lost += outcome == Outcome::Lost ? 1 : 0;
    };
    tally(m_figures.all);
    tally(m_figures.byClass[static_cast<std::size_t>(job.promptClass)]);
    tally(m_figures.byPriority[job.priority]);
    if (job.organisation == 0)
        tally(m_figures.flooding);
}

}
