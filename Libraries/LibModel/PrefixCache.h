#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>

namespace Model {

/// An engine's cache of prompt prefixes in limited memory: the least recently used one goes first.
class PrefixCache {
public:
    /// Called for each prefix that is stored (true) or evicted (false).
    using Hook = std::function<void(std::uint64_t hash, bool isStored)>;

    explicit PrefixCache(std::uint32_t capacityTokens)
        : m_capacityTokens(capacityTokens)
    {
    }

    void setHook(Hook hook) { m_hook = std::move(hook); }

    /// Returns whether the prefix is held, and marks it as used.
    bool use(std::uint64_t hash);

    /// Stores a prefix, evicting others as needed.
    void store(std::uint64_t hash, std::uint32_t tokens);

    /// Loses everything, as a change of role does.
    void clear();

private:
    struct Prefix {
        std::uint64_t hash;
        std::uint32_t tokens;
    };

    std::uint32_t m_capacityTokens;
    std::uint32_t m_usedTokens { 0 };
    std::list<Prefix> m_prefixes;
    std::unordered_map<std::uint64_t, std::list<Prefix>::iterator> m_positions;
    Hook m_hook;
};

}
