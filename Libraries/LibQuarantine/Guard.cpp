#include <LibQuarantine/Guard.h>

namespace Quarantine {

namespace {

// After this many ends a request runs only once at a time: the next end may refuse it.
constexpr std::size_t endsToRunExclusively = 2;

}

Guard::Disposition Guard::disposition(WorkKey const& key) const
{
    std::lock_guard lock(m_mutex);
    if (m_suspects.isRefused(key))
        return isPartKey(key) && m_suspects.isTied(key) ? Disposition::Exclusive : Disposition::Refused;
    return m_suspects.ends(key) >= endsToRunExclusively ? Disposition::Exclusive : Disposition::Open;
}

bool Guard::isOpen(WorkKey const& key) const
{
    std::lock_guard lock(m_mutex);
    return m_runs.isOpen(key);
}

std::set<std::uint64_t> Guard::targetsOfOtherSuspects(WorkKey const& key) const
{
    std::lock_guard lock(m_mutex);
    if (m_suspects.ends(key) == 0)
        return {};
    return m_runs.targetsWithOthers(key, [this](WorkKey const& other) { return m_suspects.ends(other) > 0; });
}

RunTable::Id Guard::begin(WorkKey const& key, SuspectTarget const& target, Time now)
{
    std::lock_guard lock(m_mutex);
    return m_runs.begin(key, target, now);
}

RunTable::Id Guard::beginPart(WorkKey const& part, SuspectTarget const& target, Time now)
{
    std::lock_guard lock(m_mutex);
    return m_runs.begin(part, target, now, RunKind::Part);
}

// The target may have ended since it wrote what was read here, so that nothing follows for its other runs.
bool Guard::noteBegun(RunTable::Id id, Time now)
{
    std::lock_guard lock(m_mutex);
    WorkKey part = m_runs.at(id).key;
    m_runs.finish(id);
    m_sound.note(part, now);
    return noteSurvived(part, now);
}

// Precondition: the mutex is held.
bool Guard::noteSurvived(WorkKey const& key, Time now)
{
    if (!m_suspects.noteSurvived(key, now))
        return false;
    m_suspects.addNews({ key, std::nullopt, now, now }, now);
    return true;
}

void Guard::finish(RunTable::Id id)
{
    std::lock_guard lock(m_mutex);
    m_runs.finish(id);
}

bool Guard::finishSuccessfully(RunTable::Id id, Time now)
{
    std::lock_guard lock(m_mutex);
    WorkKey key = m_runs.at(id).key;
    m_runs.finishSuccessfully(id, now);
    return noteSurvived(key, now);
}

Guard::ConnectionLoss Guard::noteConnectionLost(RunTable::Id id, Time now)
{
    std::lock_guard lock(m_mutex);
    std::uint64_t incarnation = m_runs.at(id).target.incarnation;
    RunTable::BreakAction after = m_runs.noteConnectionLost(id, now);
    if (after == RunTable::BreakAction::TargetEnded)
        return { false, noteOwnEnds(incarnation, now) };
    return { after == RunTable::BreakAction::Probe, {} };
}

std::vector<Finding> Guard::noteEnded(std::uint64_t incarnation, Time now)
{
    std::lock_guard lock(m_mutex);
    return noteOwnEnds(incarnation, now);
}

// Precondition: the mutex is held.
std::vector<Finding> Guard::noteOwnEnds(std::uint64_t incarnation, Time now)
{
    std::vector<Finding> findings;
    for (std::pair<WorkKey, TargetEnd> const& it : m_runs.noteEnded(incarnation, now)) {
        if (m_sound.contains(it.first, now))
            continue;
        std::optional<Finding> finding = m_suspects.noteEnd(it.first, it.second);
        if (!finding)
            continue;
        m_suspects.addNews({ it.first, it.second.target, it.second.begunAt, it.second.at }, now);
        findings.push_back(std::move(*finding));
    }
    return findings;
}

void Guard::noteAlive(std::uint64_t incarnation, Time asOf)
{
    std::lock_guard lock(m_mutex);
    m_runs.noteAlive(incarnation, asOf);
}

void Guard::noteUnknown(std::uint64_t incarnation)
{
    std::lock_guard lock(m_mutex);
    m_runs.noteUnknown(incarnation);
}

std::vector<Finding> Guard::merge(std::vector<SuspectNews> const& news, Time now)
{
    std::lock_guard lock(m_mutex);
    std::vector<Finding> findings;
    for (SuspectNews const& it : news) {
        if (!it.ended) {
            m_suspects.noteSurvived(it.key, it.at);
            continue;
        }
        // A peer that has not seen the part begin an answer learns that this daemon has.
        if (m_sound.contains(it.key, now)) {
            if (m_sound.takeTelling(it.key, now))
                m_suspects.addNews({ it.key, std::nullopt, it.at, it.at }, now);
            continue;
        }
        if (std::optional<Finding> finding = m_suspects.noteEnd(it.key, { *it.ended, it.begunAt, it.at }))
            findings.push_back(std::move(*finding));
    }
    return findings;
}

void Guard::setReleases(std::map<std::string, std::set<std::string>> releases)
{
    std::lock_guard lock(m_mutex);
    if (m_suspects.setReleases(std::move(releases)))
        m_sound.clear();
}

std::vector<SuspectNews> Guard::news(Time now, std::chrono::milliseconds lifetime, Time listedAsOf)
{
    std::lock_guard lock(m_mutex);
    m_runs.expire(now, listedAsOf);
    return m_suspects.news(now, lifetime);
}

std::uint64_t Guard::digest() const
{
    std::lock_guard lock(m_mutex);
    return m_suspects.digest();
}

std::vector<Suspect> Guard::suspects() const
{
    std::lock_guard lock(m_mutex);
    return m_suspects.suspects();
}

std::optional<Suspect> Guard::suspect(WorkKey const& key) const
{
    std::lock_guard lock(m_mutex);
    return m_suspects.suspect(key);
}

std::size_t Guard::suspectedCount() const
{
    std::lock_guard lock(m_mutex);
    return m_suspects.suspectedCount();
}

std::size_t Guard::refusedCount() const
{
    std::lock_guard lock(m_mutex);
    return m_suspects.refusedCount();
}

}
