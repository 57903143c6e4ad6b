#include <LibQuarantine/CatchUp.h>
#include <algorithm>
#include <vector>

namespace Quarantine {

void CatchUp::hear(std::string const& peer, std::optional<std::uint64_t> digest, std::uint64_t ownDigest, Time now)
{
    if (!digest) {
        m_heard.erase(peer);
        return;
    }
    Heard& heard = m_heard[peer];
    heard.digest = *digest;
    heard.at = now;
    m_isCaughtUp = m_isCaughtUp || *digest == ownDigest;
}

std::optional<std::string> CatchUp::whomToAsk(std::uint64_t ownDigest, std::chrono::milliseconds patience, std::chrono::milliseconds silentAfter, Time now)
{
    std::erase_if(m_heard, [&](std::pair<std::string const, Heard> const& it) { return now - it.second.at > silentAfter; });
    if (!m_firstPart)
        m_firstPart = std::uniform_real_distribution<double>(0, 1)(m_random);
    std::chrono::milliseconds whole = std::max(patience, m_settings.patience);
    // Few daemons may ask one at a moment.
    std::chrono::milliseconds spread = std::max(std::chrono::milliseconds(0), patience - m_settings.unspreadPatience);
    std::chrono::milliseconds first = std::chrono::duration_cast<std::chrono::milliseconds>(spread * *m_firstPart);
    std::vector<std::string const*> differing;
    for (std::pair<std::string const, Heard>& it : m_heard) {
        Heard& heard = it.second;
        if (heard.digest == ownDigest) {
            heard.differsSince.reset();
            continue;
        }
        heard.differsSince = heard.differsSince.value_or(now);
        if (now - *heard.differsSince >= (m_isCaughtUp ? whole : first))
            differing.push_back(&it.first);
    }
    if (differing.empty() || m_isAsking || now < m_nextQuestion)
        return std::nullopt;
    m_isAsking = true;
    return *differing[std::uniform_int_distribution<std::size_t>(0, differing.size() - 1)(m_random)];
}

void CatchUp::noteAnswer(bool isAnswered, bool isNews, Time now)
{
    m_isAsking = false;
    m_isCaughtUp = m_isCaughtUp || isAnswered;
    // A peer that does not answer is passed over until it is heard again; one that has nothing new may be behind itself.
    m_interval = isNews ? m_settings.leastInterval : std::min(m_interval * 2, m_settings.longestInterval);
    m_nextQuestion = now + m_interval;
}

}
