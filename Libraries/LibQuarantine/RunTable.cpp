#include <LibQuarantine/RunTable.h>
#include <algorithm>

namespace Quarantine {

RunTable::Id RunTable::begin(WorkKey const& key, SuspectTarget const& target, Time now, RunKind kind)
{
    m_open.emplace(++m_lastId, Run { key, target, now, kind });
    return m_lastId;
}

void RunTable::finish(Id id)
{
    m_open.erase(id);
}

RunTable::BreakAction RunTable::noteConnectionLost(Id id, Time now)
{
    std::unordered_map<Id, Run>::iterator it = m_open.find(id);
    if (it == m_open.end())
        return BreakAction::None;
    Run run = std::move(it->second);
    m_open.erase(it);
    std::uint64_t incarnation = run.target.incarnation;
    std::map<std::uint64_t, Time>::const_iterator ended = m_ended.find(incarnation);
    bool hasEnded = ended != m_ended.end() && run.begunAt <= ended->second;
    m_broken[incarnation].push_back({ std::move(run), now });
    if (hasEnded)
        return BreakAction::TargetEnded;
    return m_pendingProbes.insert(incarnation).second ? BreakAction::Probe : BreakAction::None;
}

std::vector<std::pair<WorkKey, TargetEnd>> RunTable::noteEnded(std::uint64_t incarnation, Time now)
{
    m_pendingProbes.erase(incarnation);
    std::vector<BrokenRun> broken;
    std::map<std::uint64_t, std::vector<BrokenRun>>::iterator it = m_broken.find(incarnation);
    if (it != m_broken.end()) {
        broken = std::move(it->second);
        m_broken.erase(it);
    }
    m_ended[incarnation] = now;
    std::vector<std::pair<WorkKey, TargetEnd>> ends;
    for (BrokenRun& one : broken)
        ends.emplace_back(one.run.key, TargetEnd { std::move(one.run.target), one.run.begunAt, one.at });
    return ends;
}

void RunTable::finishSuccessfully(Id id, Time now)
{
    Run const& run = m_open.at(id);
    noteAlive(run.target.incarnation, now, run.begunAt);
    // What broke before was the target's trouble or the network's, also where the target is found to have ended only later.
    for (std::pair<std::uint64_t const, std::vector<BrokenRun>>& it : m_broken)
        std::erase_if(it.second, [&](BrokenRun const& one) { return one.run.key == run.key && one.at <= now; });
    m_open.erase(id);
}

void RunTable::noteAlive(std::uint64_t incarnation, Time asOf, Time since)
{
    m_pendingProbes.erase(incarnation);
    std::map<std::uint64_t, std::vector<BrokenRun>>::iterator it = m_broken.find(incarnation);
    if (it != m_broken.end())
        std::erase_if(it->second, [&](BrokenRun const& one) { return one.at >= since && one.at <= asOf; });
}

void RunTable::expire(Time now, Time listedAsOf)
{
    std::size_t count = 0;
    for (std::pair<std::uint64_t const, std::vector<BrokenRun>> const& it : m_broken)
        count += it.second.size();
    Time knownUntil = count > m_settings.maxBrokenRuns ? now : std::min(now, listedAsOf);
    for (std::pair<std::uint64_t const, std::vector<BrokenRun>>& it : m_broken)
        std::erase_if(it.second, [&](BrokenRun const& one) { return knownUntil - one.at > m_settings.brokenRunRetention; });
    std::erase_if(m_broken, [](std::pair<std::uint64_t const, std::vector<BrokenRun>> const& it) { return it.second.empty(); });
    std::erase_if(m_ended, [&](std::pair<std::uint64_t const, Time> const& it) { return now - it.second > m_settings.endedTargetRetention; });
}

std::set<std::uint64_t> RunTable::targetsWithOthers(WorkKey const& key, std::function<bool(WorkKey const&)> const& matches) const
{
    std::set<std::uint64_t> targets;
    for (std::pair<Id const, Run> const& it : m_open) {
        if (it.second.kind == RunKind::Request && it.second.key != key && matches(it.second.key))
            targets.insert(it.second.target.incarnation);
    }
    return targets;
}

bool RunTable::isOpen(WorkKey const& key) const
{
    return std::any_of(m_open.begin(), m_open.end(), [&](std::pair<Id const, Run> const& it) { return it.second.key == key; });
}

}
