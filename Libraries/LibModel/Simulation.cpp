#include <LibModel/Simulation.h>
#include <algorithm>

namespace Model {

using Roles::EngineState;
using Routing::Phase;
using Routing::TargetRole;

namespace {

constexpr double reportSeconds = 0.1; ///< How often an engine's state is read.
constexpr double peerSeconds = 0.2; ///< How often entries tell each other their counts.
constexpr double peerLatencySeconds = 0.001;
constexpr double planSeconds = 1;
constexpr double cacheEventDelaySeconds = 1;
constexpr double cacheEventLostShare = 0.05;
constexpr double noTargetRetrySeconds = 0.05;

Time::duration duration(double seconds)
{
    return std::chrono::duration_cast<Time::duration>(std::chrono::duration<double>(seconds));
}

double secondsOf(Time time)
{
    return std::chrono::duration<double>(time.time_since_epoch()).count();
}

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

void Simulation::arrive(Job& job)
{
    Entry& entry = entryOf(job);
    Routing::Decision decision = entry.decide(m_router, job, startingPhase(), m_facts, m_now);
    if (job.attempts == 0) {
        Roles::ClassCounts& counts = m_counts[static_cast<std::size_t>(job.promptClass)];
        counts.requests += 1;
        counts.promptTokens += job.promptTokens - job.prefixTokens;
        double wait = decision.waitSeconds;
        if (decision.chosen && decision.role == TargetRole::Prefill)
            wait += entry.decide(m_router, job, Phase::Decode, m_facts, m_now).waitSeconds;
        if (m_settings.admit && decision.chosen && !m_settings.admit(job, wait, m_now))
            return close(job, Outcome::Shed);
    }
    if (!decision.chosen) {
        schedule(m_now + duration(noTargetRetrySeconds), Kind::Arrival, static_cast<std::uint32_t>(&job - m_jobs.data()));
        job.attempts = std::max<std::uint8_t>(job.attempts, 1);
        return;
    }
    m_accepted += job.attempts <= 1 ? 1 : 0;
    job.attempts = std::max<std::uint8_t>(job.attempts, 1);
    dispatch(job, entry, decision, true);
}

void Simulation::dispatch(Job& job, Entry& entry, Routing::Decision const& decision, bool hasPrompt)
{
    entry.sent(job, decision.target, hasPrompt, m_now);
    if (m_settings.tellAtOnceTokens > 0 && job.countedTokens >= m_settings.tellAtOnceTokens) {
        m_peerNotes.push_back({ static_cast<std::size_t>(&entry - m_entries.data()), decision.target, entry.takeCounts(decision.target) });
        schedule(m_now + duration(peerLatencySeconds), Kind::PeerTold);
        ++m_figures.notes;
    }
    m_slots[decision.target].engine.enqueue(job);
    wake(decision.target);
}

void Simulation::deliverNote()
{
    PeerNote note = m_peerNotes.front();
    m_peerNotes.pop_front();
    for (std::size_t to = 0; to < m_entries.size(); ++to) {
        if (to != note.from)
            m_entries[to].loads().count(note.engine, note.counts, m_now);
    }
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
            schedule(m_now + duration(bytes / m_scenario.engine.transferBytesPerSecond), Kind::Transferred, static_cast<std::uint32_t>(it.job - m_jobs.data()));
        } else {
            entry.ended(*it.job, m_now);
            finish(*it.job);
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
        return schedule(m_now + duration(noTargetRetrySeconds), Kind::Transferred, static_cast<std::uint32_t>(&job - m_jobs.data()));
    dispatch(job, entry, decision, false);
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

void Simulation::takeReports()
{
    std::vector<Routing::LoadReport> reports;
    for (Slot& it : m_slots)
        reports.push_back(it.engine.report(m_now));
    m_reports.push_back(std::move(reports));
    schedule(m_now + duration(m_scenario.reportLagSeconds), Kind::ReportDelivered);
    schedule(m_now + duration(reportSeconds), Kind::ReportTaken);
    noteInterval();
}

void Simulation::noteInterval()
{
    std::size_t i = static_cast<std::size_t>(secondsOf(m_now) / Figures::intervalSeconds);
    if (i >= m_figures.intervals.size())
        return;
    m_figures.intervals[i].roles = {};
    for (Slot const& it : m_slots) {
        if (it.state == EngineState::Serving)
            ++m_figures.intervals[i].roles[static_cast<std::size_t>(it.engine.role())];
    }
}

void Simulation::deliverReports()
{
    std::vector<Routing::LoadReport> reports = std::move(m_reports.front());
    m_reports.pop_front();
    for (std::uint32_t i = 0; i < m_slots.size(); ++i) {
        m_slots[i].lastReport = reports[i];
        for (Entry& it : m_entries)
            it.loads().report(i, reports[i]);
    }
}

void Simulation::exchangeCounts()
{
    for (std::size_t from = 0; from < m_entries.size(); ++from) {
        for (std::uint32_t i = 0; i < m_slots.size(); ++i) {
            Routing::LoadCounts counts = m_entries[from].takeCounts(i);
            for (std::size_t to = 0; counts != Routing::LoadCounts() && to < m_entries.size(); ++to) {
                if (to != from)
                    m_entries[to].loads().count(i, counts, m_now);
            }
        }
    }
    schedule(m_now + duration(peerSeconds), Kind::PeerCounts);
}

void Simulation::makePlan()
{
    schedule(m_now + duration(planSeconds), Kind::Plan);
    if (!m_settings.plan)
        return;
    Roles::FleetView view;
    view.windowSeconds = planSeconds;
    view.counts = m_counts;
    m_counts = {};
    for (std::uint32_t i = 0; i < m_slots.size(); ++i) {
        Slot const& it = m_slots[i];
        TargetRole role = it.state == EngineState::Changing ? it.nextRole : it.engine.role();
        view.engines.push_back({ i, role, Roles::RoleSet::all(), it.state, m_scenario.changeCostSeconds, it.lastReport.running, it.lastReport.waitingPromptTokens });
    }
    for (Roles::RoleChange const& it : m_settings.plan(view, secondsOf(m_now)))
        startChange(it);
}

void Simulation::startChange(Roles::RoleChange const& change)
{
    Slot& it = m_slots[change.engine];
    it.state = EngineState::Changing;
    it.nextRole = change.role;
    m_facts[change.engine].isClosed = true;
    ++m_figures.roleChanges;
    if (it.engine.isIdle())
        schedule(m_now + duration(m_scenario.engine.changeSeconds), Kind::Changed, change.engine, it.version);
}

void Simulation::continueChange(std::uint32_t engine)
{
    Slot& it = m_slots[engine];
    it.state = EngineState::Serving;
    it.engine.setRole(it.nextRole);
    m_facts[engine].role = it.nextRole;
    m_facts[engine].isClosed = false;
    for (Entry& entry : m_entries)
        entry.prefixes().forget(engine);
}

void Simulation::loseEngine(std::uint32_t engine)
{
    Slot& it = m_slots[engine];
    std::vector<Job*> jobs;
    it.engine.crash(jobs);
    ++it.version;
    it.state = EngineState::Down;
    m_facts[engine].isClosed = true;
    for (Job* job : jobs) {
        entryOf(*job).ended(*job, m_now);
        bool isAllowed = static_cast<double>(m_figures.retries) < m_settings.retryShare * static_cast<double>(m_accepted);
        if (!isAllowed) {
            close(*job, Outcome::Lost);
            continue;
        }
        ++m_figures.retries;
        ++job->attempts;
        job->isImported = false;
        job->hasFirstToken = false;
        schedule(m_now, Kind::Arrival, static_cast<std::uint32_t>(job - m_jobs.data()));
    }
}

void Simulation::loseZone()
{
    for (std::uint32_t i = 0; i < m_entries.size(); ++i)
        m_isEntryLost[i] = m_entries[i].zone() == 0;
    for (std::uint32_t i = 0; i < m_slots.size(); ++i) {
        if (m_facts[i].zone == 0)
            loseEngine(i);
    }
}

}
