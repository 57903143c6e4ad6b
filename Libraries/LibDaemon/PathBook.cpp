#include <LibCore/EventLog.h>
#include <LibDaemon/PathBook.h>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

}

void PathBook::setFleet(FleetSnapshot const& fleet)
{
    std::lock_guard lock(m_mutex);
    m_services.clear();
    for (FleetTarget const& target : fleet.targets)
        m_services.emplace(target.key, target.work());
    m_table.setTargets(m_services);
}

void PathBook::note(std::uint64_t targetKey, Routing::PathEvidence evidence)
{
    std::lock_guard lock(m_mutex);
    std::map<std::uint64_t, std::string>::const_iterator service = m_services.find(targetKey);
    if (service == m_services.end())
        return;
    Clock::time_point now = Clock::now();
    m_table.note(targetKey, evidence, now);
    if (evidence != Routing::PathEvidence::Unreachable)
        m_vote.noteAnswered(targetKey, now);
    logIfChanged(service->second, now);
}

std::vector<Routing::PathCounts> PathBook::counts() const
{
    std::lock_guard lock(m_mutex);
    return m_table.allCounts(Clock::now());
}

std::set<std::uint64_t> PathBook::decideUnreachable(std::vector<Routing::PathReport> const& reports, std::size_t live, std::chrono::milliseconds settle)
{
    std::lock_guard lock(m_mutex);
    return m_vote.decide(reports, live, m_table, m_services, settle, Clock::now());
}

void PathBook::notePeerAnswers(std::vector<Routing::OutcomeCounts> const& outcomes)
{
    std::lock_guard lock(m_mutex);
    for (Routing::OutcomeCounts const& it : outcomes) {
        if (it.good > 0)
            m_vote.noteAnswered(it.target, Clock::now());
    }
}

void PathBook::logIfChanged(std::string const& service, Routing::PathTable::Time now)
{
    Routing::PathCounts counts = m_table.counts(service, now);
    bool isCutOff = m_table.isCutOff(counts);
    if (std::exchange(m_cutOff[service], isCutOff) == isCutOff)
        return;
    Core::logEvent(Core::Severity::Warning, Core::Event::PathsChanged, { { "service", service }, { "cut_off", isCutOff ? "yes" : "no" }, { "reached", std::to_string(counts.reached) }, { "failed", std::to_string(counts.failed) } });
}

}
