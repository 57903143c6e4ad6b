#include <LibQuarantine/CatchUp.h>
#include <algorithm>
#include <vector>

namespace Quarantine {

void CatchUp::notePeerDigest(std::string const& peer, std::optional<std::uint64_t> digest, std::uint64_t ownDigest, Time now)
{
    if (!digest) {
        m_peers.erase(peer);
        return;
    }
    PeerState& state = m_peers[peer];
    state.digest = *digest;
    state.at = now;
    m_isCaughtUp = m_isCaughtUp || *digest == ownDigest;
}

std::optional<std::string> CatchUp::peerToQuery(std::uint64_t ownDigest, std::chrono::milliseconds gracePeriod, std::chrono::milliseconds peerTimeout, Time now)
{
    std::erase_if(m_peers, [&](std::pair<std::string const, PeerState> const& it) { return now - it.second.at > peerTimeout; });
    if (!m_initialDelayFraction)
        m_initialDelayFraction = std::uniform_real_distribution<double>(0, 1)(m_random);
    std::chrono::milliseconds fullDelay = std::max(gracePeriod, m_settings.gracePeriod);
    // Spreads the first queries of daemons that start together; small fleets, with short beacon intervals, need no spread.
    std::chrono::milliseconds spread = std::max(std::chrono::milliseconds(0), gracePeriod - m_settings.unspreadGracePeriod);
    std::chrono::milliseconds firstDelay = std::chrono::duration_cast<std::chrono::milliseconds>(spread * *m_initialDelayFraction);
    std::vector<std::string const*> differing;
    for (std::pair<std::string const, PeerState>& it : m_peers) {
        PeerState& state = it.second;
        if (state.digest == ownDigest) {
            state.differsSince.reset();
            continue;
        }
        state.differsSince = state.differsSince.value_or(now);
        if (now - *state.differsSince >= (m_isCaughtUp ? fullDelay : firstDelay))
            differing.push_back(&it.first);
    }
    if (differing.empty() || m_isQueryPending || now < m_nextQueryAt)
        return std::nullopt;
    m_isQueryPending = true;
    return *differing[std::uniform_int_distribution<std::size_t>(0, differing.size() - 1)(m_random)];
}

void CatchUp::noteReply(bool hasReplied, bool hasChanged, Time now)
{
    m_isQueryPending = false;
    m_isCaughtUp = m_isCaughtUp || hasReplied;
    // Back off after no reply or one without changes: the peer may itself be behind.
    m_interval = hasChanged ? m_settings.minInterval : std::min(m_interval * 2, m_settings.maxInterval);
    m_nextQueryAt = now + m_interval;
}

}
