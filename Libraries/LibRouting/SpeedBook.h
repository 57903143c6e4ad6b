#pragma once

#include <LibRouting/PromptSpeed.h>
#include <LibRouting/TargetRole.h>
#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace Routing {

/// Engine speed of one service, as learned by a daemon.
struct ServiceSpeed {
    PromptCost promptCost;
    std::uint32_t prompts { 0 }; ///< Number of prompts it was learned from; 0: not learned.
    double eventSeconds { 0 }; ///< Time between two events of a stream at engines that are not overloaded; 0: not learned.

    bool operator==(ServiceSpeed const&) const = default;
};

/// Learns engine speeds from the requests that daemons send: speeds are not configured, differ between engines of one
/// service, and an engine may become slow. Until a daemon has enough samples, it uses the estimates of its peers. Performs
/// no I/O. Not thread-safe.
class SpeedBook {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Records a prompt that a target computed, without known concurrent prompts.
    void notePrompt(std::string const& service, std::uint64_t target, PromptTime const&);

    /// Records the time between two events of a stream from a target.
    void noteEventGap(std::string const& service, std::uint64_t target, double seconds);

    /// Records how long a request of this daemon was open at a target in that role.
    void noteOpenTime(std::string const& service, TargetRole, double seconds);

    /// Returns the mean time that requests stay open at targets in that role; 0: not learned.
    double openSeconds(std::string const& service, TargetRole) const;

    /// Returns the engine speed of a service, from this daemon's own requests or else from its peers'.
    ServiceSpeed speed(std::string const& service, Time now) const;

    /// Returns a target's time relative to others of its service, for prompts and for stream events.
    double promptFactor(std::uint64_t target) const;
    double eventFactor(std::uint64_t target) const;

    /// Returns the estimate from this daemon's own requests, to be sent to its peers.
    ServiceSpeed own(std::string const& service) const;

    /// Replaces the previous estimate of a peer.
    void setPeer(std::string const& service, std::string const& peer, ServiceSpeed const&, Time now);

    /// Removes targets that are not in `keys`.
    template <typename Keys>
    void keepTargets(Keys const& keys)
    {
        std::erase_if(m_targets, [&keys](std::pair<std::uint64_t const, TargetSpeed> const& it) { return !keys.contains(it.first); });
    }

    /// From this many own prompts on, peers' estimates are ignored: the own estimate is then within about 10 %.
    static constexpr std::uint32_t minOwnPrompts = 30;

private:
    struct TargetSpeed {
        double promptFactor { 1 };
        double eventFactor { 1 };
    };

    struct PeerEstimate {
        ServiceSpeed speed;
        Time at;
    };

    struct Service {
        PromptSpeed prompts;
        double eventSeconds { 0 };
        std::array<double, targetRoleNames.size()> openSeconds {}; ///< By role.
        std::map<std::string, PeerEstimate> peers;
    };

    std::map<std::string, Service> m_services;
    std::unordered_map<std::uint64_t, TargetSpeed> m_targets;
};

}
