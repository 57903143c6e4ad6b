#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Membership {

/// Tracks probes in flight, probes relayed for other members, and members that only answer indirect probes.
/// Performs no I/O and reads no clock. Not thread-safe.
class Prober {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// A probe that this daemon started.
    struct Probe {
        std::uint64_t target { 0 };
        std::uint32_t sequence { 0 };
        TimePoint started;
        TimePoint deadline;
        bool isIndirect { false }; ///< Whether other members have been asked to probe the target.
    };

    /// A probe sent on behalf of another member.
    struct Relay {
        std::uint64_t origin { 0 };
        std::uint32_t originSequence { 0 };
        std::uint64_t target { 0 };
        TimePoint deadline;
    };

    /// Starts a probe and returns its sequence number.
    std::uint32_t start(std::uint64_t target, TimePoint now, TimePoint deadline);
    /// Starts a probe for another member and returns its sequence number, or 0 when too many are in flight.
    std::uint32_t startRelay(Relay const&);
    /// Completes the probe that `from` has answered directly. Returns whether there was one.
    bool acknowledge(std::uint32_t sequence, std::uint64_t from);
    /// Completes a probe whose target has answered a helper. Returns whether there was one.
    bool acknowledgeIndirectly(std::uint32_t sequence, std::uint64_t target);
    /// Removes and returns the relayed probe that `from` has answered.
    std::optional<Relay> takeRelay(std::uint32_t sequence, std::uint64_t from);
    /// Expires the direct probe of `target` at once, since its address is unreachable.
    void expireDirect(std::uint64_t target, TimePoint now);
    /// Removes and returns the probes whose deadline has passed.
    std::vector<Probe> takeExpired(TimePoint now);
    /// Adds an expired direct probe again as an indirect one with a new deadline.
    void continueIndirectly(Probe, TimePoint deadline);
    /// Moves the start times and deadlines of own probes by the time for which this process was paused.
    void postpone(std::chrono::steady_clock::duration);
    bool isProbing(std::uint64_t target) const;
    /// Returns whether the last answer of the target arrived through a helper.
    bool isLinkDown(std::uint64_t target) const { return m_linksDown.contains(target); }
    /// Returns the earliest deadline of the own probes, or `fallback` if that is earlier.
    TimePoint nextDeadline(TimePoint fallback) const;

private:
    std::uint32_t m_nextSequence { 1 };
    std::unordered_map<std::uint32_t, Probe> m_probes;
    std::unordered_map<std::uint32_t, Relay> m_relays;
    std::unordered_set<std::uint64_t> m_linksDown;
};

}
