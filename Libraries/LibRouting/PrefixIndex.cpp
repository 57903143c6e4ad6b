#include <LibRouting/PrefixIndex.h>
#include <algorithm>

namespace Routing {

Core::Result<PrefixIndex> PrefixIndex::create(std::size_t capacity)
{
    if (capacity == 0)
        return Core::fail(Core::ErrorCode::BadInput, "A prefix index needs a capacity of at least 1.");
    return PrefixIndex((capacity + ways - 1) / ways);
}

std::span<PrefixIndex::Entry> PrefixIndex::setOf(std::uint64_t hash)
{
    std::size_t set = hash % (m_entries.size() / ways);
    return std::span(m_entries).subspan(set * ways, ways);
}

PrefixIndex::Entry const* PrefixIndex::find(std::uint64_t hash) const
{
    std::size_t first = (hash % (m_entries.size() / ways)) * ways;
    for (std::size_t i = first; i < first + ways; ++i) {
        if (m_entries[i].hash == hash)
            return &m_entries[i];
    }
    return nullptr;
}

PrefixIndex::Entry& PrefixIndex::findOrReplace(std::uint64_t hash)
{
    std::span<Entry> set = setOf(hash);
    Entry* oldest = &set.front();
    for (Entry& entry : set) {
        if (entry.hash == hash)
            return entry;
        if (entry.hash == 0 || (oldest->hash != 0 && entry.lastUse < oldest->lastUse))
            oldest = &entry;
    }
    *oldest = Entry {};
    oldest->hash = hash;
    return *oldest;
}

void PrefixIndex::routed(std::span<PrefixBlock const> chain, std::uint32_t target)
{
    for (PrefixBlock const& block : chain)
        stored(block.hash, target);
}

void PrefixIndex::stored(std::uint64_t hash, std::uint32_t target)
{
    Entry& entry = findOrReplace(hash);
    entry.lastUse = ++m_useCount;
    // Ordered by recency: the newest holder is first, and the oldest is dropped.
    auto it = std::find(entry.targets.begin(), entry.targets.end(), target);
    if (it == entry.targets.end())
        it = std::prev(entry.targets.end());
    std::move_backward(entry.targets.begin(), it, std::next(it));
    entry.targets.front() = target;
}

void PrefixIndex::evicted(std::uint64_t hash, std::uint32_t target)
{
    for (Entry& entry : setOf(hash)) {
        if (entry.hash != hash)
            continue;
        auto end = std::remove(entry.targets.begin(), entry.targets.end(), target);
        std::fill(end, entry.targets.end(), noTarget);
    }
}

void PrefixIndex::forget(std::uint32_t target)
{
    for (Entry& entry : m_entries) {
        auto end = std::remove(entry.targets.begin(), entry.targets.end(), target);
        std::fill(end, entry.targets.end(), noTarget);
    }
}

std::size_t PrefixIndex::match(std::span<PrefixBlock const> chain, std::span<PrefixMatch> matches) const
{
    std::size_t n = 0;
    for (auto block = chain.rbegin(); block != chain.rend() && n < matches.size(); ++block) {
        Entry const* entry = find(block->hash);
        if (!entry)
            continue;
        for (std::uint32_t target : entry->targets) {
            if (target == noTarget || n == matches.size())
                break;
            auto isSame = [target](PrefixMatch const& it) { return it.target == target; };
            if (std::none_of(matches.begin(), matches.begin() + static_cast<std::ptrdiff_t>(n), isSame))
                matches[n++] = { target, block->tokens };
        }
    }
    return n;
}

}
