#include <LibRouting/PathVote.h>
#include <algorithm>

namespace Routing {

void PathVote::noteAnswered(std::uint64_t target, Time now)
{
    std::map<std::uint64_t, Votes>::iterator it = m_votes.find(target);
    if (it != m_votes.end())
        it->second.answeredAt = now;
}

std::set<std::uint64_t> PathVote::decide(std::vector<PathReport> const& reports, std::size_t live, PathTable const& paths, std::map<std::uint64_t, std::string> const& services, std::chrono::milliseconds settle, Time now)
{
    std::map<std::string, std::size_t> cutOff; // Daemons, by service.
    for (PathReport const& report : reports) {
        for (PathCounts const& counts : report.counts)
            cutOff[counts.service] += paths.isCutOff(counts) ? 1 : 0;
    }
    std::map<std::uint64_t, std::size_t> votes;
    for (PathReport const& report : reports) {
        std::set<std::string> silenced;
        for (PathCounts const& counts : report.counts) {
            if (paths.isCutOff(counts) && cutOff[counts.service] < live)
                silenced.insert(counts.service);
        }
        for (std::uint64_t target : report.unreachable) {
            std::map<std::uint64_t, std::string>::const_iterator service = services.find(target);
            if (service != services.end() && !silenced.contains(service->second))
                ++votes[target];
        }
    }
    std::erase_if(m_votes, [&](std::pair<std::uint64_t const, Votes> const& it) { return !votes.contains(it.first); });
    std::set<std::uint64_t> decided;
    for (std::pair<std::uint64_t const, std::size_t> const& it : votes) {
        Votes const& cast = m_votes.try_emplace(it.first, Votes { now, {} }).first->second;
        std::size_t cut = cutOff[services.at(it.first)];
        std::size_t voters = cut < live ? live - cut : live;
        bool answersOthers = cast.answeredAt - cast.firstAt > settle;
        if (it.second >= std::max(minVotes, voters / voteDivisor) && !answersOthers)
            decided.insert(it.first);
    }
    return decided;
}

}
