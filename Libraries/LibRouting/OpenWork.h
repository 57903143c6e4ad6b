#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Routing {

/// Work that was sent to a target and has not ended.
struct TargetWork {
    double prefillSeconds { 0 }; ///< Of prompts that are computed apart from their output.
    std::uint32_t requests { 0 }; ///< Whole requests and outputs: each takes a slot.
    std::uint64_t kvTokens { 0 }; ///< That those requests will hold at their end.

    bool operator==(TargetWork const&) const = default;
    TargetWork& operator+=(TargetWork const&);
};

/// The open work of one target, as daemons tell each other. `target` is the same number at every daemon.
struct TargetShare {
    std::uint64_t target { 0 };
    TargetWork work;
};

/// The open work at each target: what this daemon sent, and what its peers last said that they had sent. A target's own
/// report lags by more than a prompt takes, so daemons add up what they know for sure. Not thread-safe.
class OpenWork {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// What a peer said counts for this long: ten of its reports.
    static constexpr std::chrono::milliseconds peerLifetime { 1'000 };

    /// Notes work that this daemon sent, and its end.
    void begin(std::uint64_t target, TargetWork const&);
    void end(std::uint64_t target, TargetWork const&);

    /// Replaces what a peer said before.
    void setPeer(std::string const& peer, std::vector<TargetShare> const&, Time now);

    /// Returns this daemon's own open work, of targets that have some.
    std::vector<TargetShare> own() const;

    /// Returns the open work of all daemons at a target.
    TargetWork total(std::uint64_t target, Time now) const;

private:
    struct Peer {
        Time saidAt;
        std::unordered_map<std::uint64_t, TargetWork> work;
    };

    std::unordered_map<std::uint64_t, TargetWork> m_own;
    std::map<std::string, Peer> m_peers;
};

}
