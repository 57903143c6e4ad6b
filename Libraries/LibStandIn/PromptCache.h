#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace StandIn {

/// One change of the prompt cache, as engines publish it.
struct CacheEvent {
    std::uint64_t offset { 0 };
    bool isStored { false }; ///< Stored, else evicted.
    std::uint64_t prefix { 0 }; ///< The hash of all text up to the block's end.
    std::chrono::steady_clock::time_point since;
};

/// The prefixes of prompts that an engine holds: blocks of a fixed size, least recently used evicted first.
/// Not thread-safe.
class PromptCache {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Bytes of text in one block, and tokens as the stand-ins count them.
    static constexpr std::size_t bytesPerBlock = 256;
    static constexpr std::uint64_t tokensPerBlock = 64;
    /// How many events are kept for readers: who reads later sees a gap.
    static constexpr std::size_t keptEvents = 4096;

    /// Creates a cache of `capacityTokens`; events show `lag` late.
    PromptCache(std::uint64_t capacityTokens, std::chrono::milliseconds lag);

    /// Looks a prompt up and stores its blocks. Returns how many of its tokens were already there.
    std::uint64_t use(std::string_view prompt, Time now);

    /// Returns the events from offset `from` on that show by `now`.
    std::vector<CacheEvent> events(std::uint64_t from, Time now) const;
    /// The oldest offset kept.
    std::uint64_t firstEvent() const { return m_nextEvent - m_events.size(); }
    /// The offset after the last event that shows by `now`.
    std::uint64_t nextEvent(Time now) const;

private:
    void store(std::uint64_t prefix, Time now);
    void publish(bool isStored, std::uint64_t prefix, Time now);

    std::uint64_t m_capacityBlocks;
    std::chrono::milliseconds m_lag;
    std::list<std::uint64_t> m_recent; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::deque<CacheEvent> m_events;
    std::uint64_t m_nextEvent { 0 };
};

}
