#pragma once

#include <LibCore/Result.h>
#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace Routing {

/// One block in a prompt's chain of prefixes: the hash of the prompt's first `tokens` tokens.
struct PrefixBlock {
    std::uint64_t hash { 0 }; ///< Never 0.
    std::uint32_t tokens { 0 };
};

/// A shared part of prompts that a target has computed, as exchanged between daemons. Both values are the same at every daemon.
struct HeldPart {
    std::uint64_t hash { 0 }; ///< Hash of the chain up to the part's end.
    std::uint64_t target { 0 };

    bool operator==(HeldPart const&) const = default;
};

/// A target assumed to hold the KV cache of a prompt's first `tokens` tokens.
struct PrefixMatch {
    std::uint32_t target { 0 };
    std::uint32_t tokens { 0 };
};

/// Which targets are assumed to hold which prefixes: a bounded, set-associative table with LRU eviction.
/// It is approximate: engines' cache events arrive late and with gaps, so prompts routed by this daemon
/// count as stored immediately, and a missed eviction event costs one slow prefill.
/// Allocates only on creation. Not thread-safe: needs a single owner or a lock.
class PrefixIndex {
public:
    /// Creates an index for at least `capacity` prefixes (32 bytes each). Fails with `BadInput` when it is 0.
    static Core::Result<PrefixIndex> create(std::size_t capacity);

    /// Records that a prompt with this chain was routed to `target`, which will hold all its prefixes.
    void routed(std::span<PrefixBlock const> chain, std::uint32_t target);

    /// Records a cache event: the engine stored this prefix.
    void stored(std::uint64_t hash, std::uint32_t target);

    /// Records a cache event: the engine evicted this prefix.
    void evicted(std::uint64_t hash, std::uint32_t target);

    /// Removes all prefixes of a target, for example after a gap in its cache events or a new incarnation. Takes linear time.
    void forget(std::uint32_t target);

    /// Writes the targets that hold a prefix of this prompt, longest prefix first, each once. Returns their number.
    std::size_t match(std::span<PrefixBlock const> chain, std::span<PrefixMatch> matches) const;

private:
    static constexpr std::size_t ways = 8;
    static constexpr std::size_t holdersPerPrefix = 4;
    static constexpr std::uint32_t noTarget = UINT32_MAX;

    struct Entry {
        std::uint64_t hash { 0 };
        std::uint32_t lastUse { 0 };
        std::array<std::uint32_t, holdersPerPrefix> targets { noTarget, noTarget, noTarget, noTarget };
    };

    explicit PrefixIndex(std::size_t sets)
        : m_entries(sets * ways)
    {
    }

    std::span<Entry> setOf(std::uint64_t hash);
    Entry const* find(std::uint64_t hash) const;
    Entry& findOrReplace(std::uint64_t hash);

    std::vector<Entry> m_entries;
    std::uint32_t m_useCount { 0 };
};

}
