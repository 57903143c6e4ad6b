#include <LibModel/PrefixCache.h>

namespace Model {

bool PrefixCache::use(std::uint64_t hash)
{
    auto it = m_positions.find(hash);
    if (it == m_positions.end())
        return false;
    m_prefixes.splice(m_prefixes.begin(), m_prefixes, it->second);
    return true;
}

void PrefixCache::store(std::uint64_t hash, std::uint32_t tokens)
{
    if (tokens > m_capacityTokens || use(hash))
        return;
    while (m_usedTokens + tokens > m_capacityTokens) {
        Prefix oldest = m_prefixes.back();
        m_prefixes.pop_back();
        m_positions.erase(oldest.hash);
        m_usedTokens -= oldest.tokens;
        if (m_hook)
            m_hook(oldest.hash, false);
    }
    m_prefixes.push_front({ hash, tokens });
    m_positions[hash] = m_prefixes.begin();
    m_usedTokens += tokens;
    if (m_hook)
        m_hook(hash, true);
}

void PrefixCache::clear()
{
    m_prefixes.clear();
    m_positions.clear();
    m_usedTokens = 0;
}

}
