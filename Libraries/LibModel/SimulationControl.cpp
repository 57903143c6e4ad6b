#include <LibModel/Simulation.h>
#include <LibModel/VirtualTime.h>

// Everything around the requests themselves: reports, counts between entries, role changes, lost engines.

namespace Model {

using Roles::EngineState;
using Routing::TargetRole;

namespace {

constexpr double reportSeconds = 0.1; ///< How often an engine's state is read.
constexpr double peerSeconds = 0.2; ///< How often entries tell each other their counts.
constexpr double planSeconds = 1;

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

void Simulation::deliverNote()
{
    PeerNote note = m_peerNotes.front();
    m_peerNotes.pop_front();
    for (std::size_t to = 0; to < m_entries.size(); ++to) {
        if (to != note.from)
            m_entries[to].loads().count(note.engine, note.counts, m_now);
    }
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
        view.engines.push_back({ i, role, Roles::RoleSet::all(), it.state, m_scenario.changeCostSeconds, it.lastReport.running, it.lastReport.waitingPromptTokens, 1 });
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
        m_gates[job->gate].release(indexOf(*job), m_now);
        bool isAllowed = static_cast<double>(m_figures.retries) < m_settings.retryShare * static_cast<double>(m_accepted);
        if (!isAllowed) {
            close(*job, Outcome::Lost);
            continue;
        }
        ++m_figures.retries;
        ++job->attempts;
        job->isImported = false;
        job->hasFirstToken = false;
        schedule(m_now, Kind::Arrival, indexOf(*job));
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
