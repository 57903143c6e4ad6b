#include <LibRouting/OpenWork.h>
#include <algorithm>

namespace Routing {

TargetWork& TargetWork::operator+=(TargetWork const& other)
{
    prefillSeconds += other.prefillSeconds;
    requests += other.requests;
    kvTokens += other.kvTokens;
    return *this;
}

void OpenWork::begin(std::uint64_t target, TargetWork const& work)
{
    m_own[target] += work;
}

void OpenWork::end(std::uint64_t target, TargetWork const& work)
{
    std::unordered_map<std::uint64_t, TargetWork>::iterator it = m_own.find(target);
    if (it == m_own.end())
        return;
    TargetWork& open = it->second;
    open.prefillSeconds = std::max(0.0, open.prefillSeconds - work.prefillSeconds);
    open.requests -= std::min(open.requests, work.requests);
    open.kvTokens -= std::min(open.kvTokens, work.kvTokens);
    // Sums of fractions fall a little short of nothing.
    constexpr double nothing = 1e-6;
    if (open.requests == 0 && open.prefillSeconds < nothing)
        m_own.erase(it);
}

void OpenWork::setPeer(std::string const& peer, std::vector<TargetShare> const& shares, Time now)
{
    std::erase_if(m_peers, [now](std::pair<std::string const, Peer> const& it) { return now - it.second.saidAt > peerLifetime; });
    Peer& said = m_peers[peer];
    said.saidAt = now;
    said.work.clear();
    for (TargetShare const& share : shares)
        said.work[share.target] += share.work;
}

std::vector<TargetShare> OpenWork::own() const
{
    std::vector<TargetShare> shares;
    for (std::pair<std::uint64_t const, TargetWork> const& it : m_own)
        shares.push_back({ it.first, it.second });
    return shares;
}

TargetWork OpenWork::total(std::uint64_t target, Time now) const
{
    TargetWork sum;
    std::unordered_map<std::uint64_t, TargetWork>::const_iterator own = m_own.find(target);
    if (own != m_own.end())
        sum += own->second;
    for (std::pair<std::string const, Peer> const& peer : m_peers) {
        std::unordered_map<std::uint64_t, TargetWork>::const_iterator it = peer.second.work.find(target);
        if (it != peer.second.work.end() && now - peer.second.saidAt <= peerLifetime)
            sum += it->second;
    }
    return sum;
}

}
