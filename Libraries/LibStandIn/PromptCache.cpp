#include <LibStandIn/PromptCache.h>

#include <xxhash.h>

namespace StandIn {

PromptCache::PromptCache(std::uint64_t capacityTokens, std::chrono::milliseconds lag)
    : m_capacityBlocks(capacityTokens / tokensPerBlock)
    , m_lag(lag)
{
}

std::uint64_t PromptCache::use(std::string_view prompt, Time now)
{
    std::uint64_t hits = 0;
    std::uint64_t prefix = 0;
    bool isHit = true;
    for (std::size_t end = bytesPerBlock; end <= prompt.size(); end += bytesPerBlock) {
        prefix = XXH3_64bits_withSeed(prompt.data() + end - bytesPerBlock, bytesPerBlock, prefix);
        auto it = m_blocks.find(prefix);
        isHit = isHit && it != m_blocks.end();
        if (isHit)
            hits += tokensPerBlock;
        if (it != m_blocks.end())
            m_recent.splice(m_recent.begin(), m_recent, it->second);
        else
            store(prefix, now);
    }
    return hits;
}

void PromptCache::store(std::uint64_t prefix, Time now)
{
    if (m_capacityBlocks == 0)
        return;
    if (m_blocks.size() >= m_capacityBlocks) {
        std::uint64_t oldest = m_recent.back();
        m_blocks.erase(oldest);
        m_recent.pop_back();
        publish(false, oldest, now);
    }
    m_recent.push_front(prefix);
    m_blocks[prefix] = m_recent.begin();
    publish(true, prefix, now);
}

void PromptCache::publish(bool isStored, std::uint64_t prefix, Time now)
{
    m_events.push_back({ m_nextEvent++, isStored, prefix, now });
    if (m_events.size() > keptEvents)
        m_events.pop_front();
}

std::vector<CacheEvent> PromptCache::events(std::uint64_t from, Time now) const
{
    std::vector<CacheEvent> shown;
    for (CacheEvent const& it : m_events) {
        if (it.offset >= from && it.since + m_lag <= now)
            shown.push_back(it);
    }
    return shown;
}

std::uint64_t PromptCache::nextEvent(Time now) const
{
    std::uint64_t next = firstEvent();
    for (CacheEvent const& it : m_events) {
        if (it.since + m_lag <= now)
            next = it.offset + 1;
    }
    return next;
}

}
