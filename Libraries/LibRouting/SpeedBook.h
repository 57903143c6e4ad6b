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

/// What engines of one service take, as a daemon has learnt it.
struct ServiceSpeed {
    PromptCost promptCost;
    std::uint32_t prompts { 0 }; ///< That it was learnt from; 0: not learnt.
    double eventSeconds { 0 }; ///< Between two events of a stream, of engines that are not crowded; 0: not learnt.

    bool operator==(ServiceSpeed const&) const = default;
};

/// How fast engines are, learnt from the requests that daemons send: nobody declares it, it differs between engines of one
/// service, and an engine may turn slow. Until a daemon has seen enough itself it goes by what its peers have learnt. Pure
/// and not thread-safe.
class SpeedBook {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Notes a prompt that was computed at a target, alone as far as is known.
    void notePrompt(std::string const& service, std::uint64_t target, PromptTime const&);

    /// Notes the time between two events of a stream from a target.
    void noteEventGap(std::string const& service, std::uint64_t target, double seconds);

    /// Notes how long a request of this daemon was open at a target in that role.
    void noteOpenTime(std::string const& service, TargetRole, double seconds);

    /// Returns how long requests stay open at targets in that role; 0: not learnt.
    double openSeconds(std::string const& service, TargetRole) const;

    /// Returns what engines of a service take, from this daemon's own requests or else from its peers'.
    ServiceSpeed speed(std::string const& service, Time now) const;

    /// Returns how many times as long as others of its service a target takes: for prompts, and for events of streams.
    double promptFactor(std::uint64_t target) const;
    double eventFactor(std::uint64_t target) const;

    /// What this daemon has learnt itself, for its peers.
    ServiceSpeed own(std::string const& service) const;

    /// Takes what a peer has learnt, in place of what it said before.
    void takePeer(std::string const& service, std::string const& peer, ServiceSpeed const&, Time now);

    /// Forgets targets that are not among these.
    template <typename Keys>
    void keepTargets(Keys const& keys)
    {
        std::erase_if(m_targets, [&keys](std::pair<std::uint64_t const, TargetSpeed> const& it) { return !keys.contains(it.first); });
    }

    /// A daemon's own prompts count alone from this many on: the estimate is then within some 10 in 100.
    static constexpr std::uint32_t enoughPrompts = 30;

private:
    struct TargetSpeed {
        double promptFactor { 1 };
        double eventFactor { 1 };
    };

    struct Said {
        ServiceSpeed speed;
        Time at;
    };

    struct Service {
        PromptSpeed prompts;
        double eventSeconds { 0 };
        std::array<double, targetRoleNames.size()> openSeconds {}; ///< By role.
        std::map<std::string, Said> peers;
    };

    std::map<std::string, Service> m_services;
    std::unordered_map<std::uint64_t, TargetSpeed> m_targets;
};

}
