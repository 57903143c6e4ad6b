#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Membership {

/// The probes under way, those relayed for others, and which members answer others but not this daemon.
/// Pure; not thread-safe.
class Prober {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// A probe that this daemon started.
    struct Probe {
        std::uint64_t target { 0 };
        std::uint32_t sequence { 0 };
        TimePoint started;
        TimePoint deadline;
        bool isIndirect { false }; ///< Helpers have been asked.
    };

    /// A probe sent on behalf of another member.
    struct Relay {
        std::uint64_t origin { 0 };
        std::uint32_t originSequence { 0 };
        std::uint64_t target { 0 };
        TimePoint deadline;
    };

    /// Starts a probe and returns its sequence.
    std::uint32_t start(std::uint64_t target, TimePoint now, TimePoint deadline);
    /// Starts a probe for another member and returns its sequence; 0 when too many are under way.
    std::uint32_t startRelay(Relay const&);
    /// Ends the probe that `from` itself has answered; returns whether there was one.
    bool acknowledge(std::uint32_t sequence, std::uint64_t from);
    /// Ends the probe of which a helper says that its target has answered.
    bool acknowledgeIndirectly(std::uint32_t sequence, std::uint64_t target);
    /// Ends the relayed probe that `from` has answered and returns it.
    std::optional<Relay> takeRelay(std::uint32_t sequence, std::uint64_t from);
    /// Lets the direct probe of `target` expire now: its address cannot be reached.
    void expireDirect(std::uint64_t target, TimePoint now);
    /// Removes and returns the probes whose deadline has come.
    std::vector<Probe> takeExpired(TimePoint now);
    /// Puts back a probe that helpers now carry on.
    void continueIndirectly(Probe, TimePoint deadline);
    /// Moves all deadlines: this process was paused for so long.
    void postpone(std::chrono::steady_clock::duration);
    bool isProbing(std::uint64_t target) const;
    /// Returns whether the target last answered through helpers only.
    bool isLinkDown(std::uint64_t target) const { return m_linksDown.contains(target); }
    /// Returns the next deadline, or `fallback` when it is earlier.
    TimePoint nextDeadline(TimePoint fallback) const;

private:
    std::uint32_t m_nextSequence { 1 };
    std::unordered_map<std::uint32_t, Probe> m_probes;
    std::unordered_map<std::uint32_t, Relay> m_relays;
    std::unordered_set<std::uint64_t> m_linksDown;
};

}
