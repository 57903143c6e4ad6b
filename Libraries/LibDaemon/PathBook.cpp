#include <LibCore/EventLog.h>
#include <LibDaemon/PathBook.h>
#include <algorithm>

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
    m_hasFailures = m_table.hasFailures();
    if (evidence != Routing::PathEvidence::Unreachable)
        m_vote.noteAnswered(targetKey, now);
    logIfChanged(service->second, now);
}

std::vector<Routing::PathCounts> PathBook::counts() const
{
    std::lock_guard lock(m_mutex);
    return m_table.allCounts(Clock::now());
}

bool PathBook::isImpaired() const
{
    if (!m_hasFailures)
        return false;
    std::vector<Routing::PathCounts> all = counts();
    return std::any_of(all.begin(), all.end(), [](Routing::PathCounts const& it) { return it.failed > it.reached; });
}

bool PathBook::isCutOff() const
{
    return isCutOff(counts());
}

bool PathBook::isCutOff(std::vector<Routing::PathCounts> const& counts) const
{
    std::lock_guard lock(m_mutex);
    return std::any_of(counts.begin(), counts.end(), [this](Routing::PathCounts const& it) { return m_table.isCutOff(it); });
}

bool PathBook::isReached(std::uint64_t targetKey) const
{
    std::lock_guard lock(m_mutex);
    return m_table.isReached(targetKey, Clock::now());
}

bool PathBook::isClosed(std::uint64_t targetKey) const
{
    if (!m_hasFailures)
        return false;
    std::lock_guard lock(m_mutex);
    Clock::time_point now = Clock::now();
    if (!m_table.isFailed(targetKey, now))
        return false;
    return m_table.isCutOff(m_table.counts(m_services.at(targetKey), now));
}

std::vector<std::uint64_t> PathBook::takeProbes()
{
    if (!m_hasFailures)
        return {};
    std::lock_guard lock(m_mutex);
    return m_table.takeProbes(Clock::now());
}

void PathBook::setPeers(std::vector<RelayPeer> peers)
{
    std::lock_guard lock(m_mutex);
    m_peers = std::move(peers);
}

std::optional<RelayPeer> PathBook::beginRelay(std::string const& service, RelayNeed const& need)
{
    std::lock_guard lock(m_mutex);
    Routing::PathCounts own = m_table.counts(service, Clock::now());
    bool isNeeded = need.isRetry ? own.failed > own.reached : m_table.isCutOff(own);
    if (!isNeeded)
        return std::nullopt;
    std::uniform_real_distribution<double> draw(0, 1);
    if (!need.isRetry && draw(m_random) < Routing::PathTable::shareOf(own))
        return std::nullopt;
    std::vector<RelayPeer const*> candidates;
    for (RelayPeer const& peer : m_peers) {
        if (mayServe(peer, service, need))
            candidates.push_back(&peer);
    }
    RelayPeer const* peer = lessBusy(candidates);
    if (!peer)
        return std::nullopt;
    ++m_open[peer->name];
    return *peer;
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

void PathBook::endRelay(std::string const& peer)
{
    std::lock_guard lock(m_mutex);
    std::map<std::string, std::size_t>::iterator it = m_open.find(peer);
    if (it != m_open.end() && --it->second == 0)
        m_open.erase(it);
}

bool PathBook::mayServe(RelayPeer const& peer, std::string const& service, RelayNeed const& need) const
{
    std::map<std::string, std::size_t>::const_iterator open = m_open.find(peer.name);
    if (open != m_open.end() && open->second >= maxOpenPerPeer)
        return false;
    if (need.goesOn && !peer.keepsReleases)
        return false;
    bool isCutOff = std::any_of(peer.paths.begin(), peer.paths.end(), [&](Routing::PathCounts const& it) { return it.service == service && m_table.isCutOff(it); });
    return !isCutOff && std::find(need.excluded.begin(), need.excluded.end(), peer.name) == need.excluded.end();
}

// Of two peers at random the one with fewer relayed requests of this daemon, so that daemons without a common view spread theirs.
RelayPeer const* PathBook::lessBusy(std::vector<RelayPeer const*> const& candidates)
{
    if (candidates.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
    RelayPeer const* first = candidates[draw(m_random)];
    RelayPeer const* second = candidates[draw(m_random)];
    auto const rank = [this](RelayPeer const& it) {
        std::map<std::string, std::size_t>::const_iterator open = m_open.find(it.name);
        return std::pair(open == m_open.end() ? 0 : open->second, !it.isInSameZone);
    };
    return rank(*second) < rank(*first) ? second : first;
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
