#include <LibRouting/OpenWork.h>
#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

constexpr double microsecondsPerSecond = 1e6;
constexpr double millisecondsPerSecond = 1e3;

}

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
    // Rounding errors leave a small remainder above zero.
    constexpr double roundingError = 1e-6;
    if (open.requests == 0 && open.prefillSeconds < roundingError)
        m_own.erase(it);
}

void OpenWork::setPeer(std::string const& peer, std::vector<TargetShare> const& shares, Time now, std::chrono::milliseconds lifetime)
{
    expire(now);
    Peer& report = m_peers[peer];
    m_expiries.erase({ report.until, peer });
    add(report, -1);
    if (m_epoch == Time())
        m_epoch = now;
    report = { now, now + lifetime, shares };
    add(report, 1);
    m_expiries.emplace(report.until, peer);
}

void OpenWork::add(Peer const& peer, int sign)
{
    std::int64_t reportedAt = sinceEpoch(peer.reportedAt);
    for (TargetShare const& share : peer.shares) {
        Sum& sum = m_peerSums[share.target];
        std::int64_t prefill = sign * std::llround(share.work.prefillSeconds * microsecondsPerSecond);
        std::int64_t requests = sign * static_cast<std::int64_t>(share.work.requests);
        sum.prefillMicroseconds += prefill;
        sum.prefillMoment += prefill * reportedAt;
        sum.requests += requests;
        sum.requestMoment += requests * reportedAt;
        sum.kvTokens += sign * static_cast<std::int64_t>(share.work.kvTokens);
        if (sum.isZero())
            m_peerSums.erase(share.target);
    }
}

void OpenWork::expire(Time now)
{
    while (!m_expiries.empty() && m_expiries.begin()->first < now) {
        std::unordered_map<std::string, Peer>::iterator peer = m_peers.find(m_expiries.begin()->second);
        add(peer->second, -1);
        m_peers.erase(peer);
        m_expiries.erase(m_expiries.begin());
    }
}

std::vector<TargetShare> OpenWork::own() const
{
    std::vector<TargetShare> shares;
    for (std::pair<std::uint64_t const, TargetWork> const& it : m_own)
        shares.push_back({ it.first, it.second });
    return shares;
}

TargetWork OpenWork::total(std::uint64_t target, Time now)
{
    expire(now);
    TargetWork sum;
    std::unordered_map<std::uint64_t, TargetWork>::const_iterator own = m_own.find(target);
    if (own != m_own.end())
        sum += own->second;
    std::unordered_map<std::uint64_t, Sum>::const_iterator peers = m_peerSums.find(target);
    if (peers != m_peerSums.end()) {
        sum.prefillSeconds += static_cast<double>(peers->second.prefillMicroseconds) / microsecondsPerSecond;
        sum.requests += static_cast<std::uint32_t>(peers->second.requests);
        sum.kvTokens += static_cast<std::uint64_t>(peers->second.kvTokens);
    }
    return sum;
}

AgeWeightedWork OpenWork::ageWeighted(std::uint64_t target, Time now)
{
    expire(now);
    std::unordered_map<std::uint64_t, Sum>::const_iterator peers = m_peerSums.find(target);
    if (peers == m_peerSums.end())
        return {};
    Sum const& sum = peers->second;
    std::int64_t time = sinceEpoch(now);
    double prefill = static_cast<double>(sum.prefillMicroseconds * time - sum.prefillMoment) / microsecondsPerSecond / millisecondsPerSecond;
    return { prefill, static_cast<double>(sum.requests * time - sum.requestMoment) / millisecondsPerSecond };
}

}
