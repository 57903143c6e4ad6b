#pragma once

#include <LibCore/EnumNames.h>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Routing {

/// To how many of a service's targets a daemon could and could not make its last connection lately.
struct PathCounts {
    std::string service;
    std::uint32_t reached { 0 };
    std::uint32_t failed { 0 };

    bool operator==(PathCounts const&) const = default;
};

/// What shows whether the network carries this daemon's packets to a target.
enum class PathEvidence : std::uint8_t {
    Connected, ///< A new connection was made.
    Answered, ///< The target answered, perhaps on a connection that had been open for long.
    Unreachable, ///< A new connection could not be made.
};

inline constexpr Core::EnumNames<PathEvidence, 3> pathEvidenceNames { {
    { PathEvidence::Connected, "connected" },
    { PathEvidence::Answered, "answered" },
    { PathEvidence::Unreachable, "unreachable" },
} };

struct PathTableSettings {
    /// A daemon of a large site sends a few requests per second, so that a shorter time would forget each success before the next.
    std::chrono::milliseconds successLifetime { 1'000 };
    /// Failures are probed again long before.
    std::chrono::milliseconds failureLifetime { 10'000 };
    /// One unreachable target has probably ended; two at once are more likely to share a broken path.
    std::uint32_t minFailed { 2 };
    /// A daemon that reaches less of what it tries than this is cut off: its peers serve its callers better.
    double minShare { 0.5 };
    std::chrono::milliseconds probeInterval { 250 }; ///< Between two probes of the same target.
    std::size_t probesAtOnce { 4 }; ///< Per service, so that probes of a large service don't crowd out its requests.
};

/// Tracks which targets this daemon can connect to, to tell a broken path from targets that have ended. A target that was not
/// tried counts neither way. Performs no I/O. Not thread-safe.
class PathTable {
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit PathTable(PathTableSettings const& settings = {})
        : m_settings(settings)
    {
    }

    /// Sets the service of each listed target and forgets all other targets.
    void setTargets(std::map<std::uint64_t, std::string> const& services);

    /// Records evidence on a listed target; that on any other is ignored. An answer does not outweigh a failure to connect,
    /// because connections that were open before may outlive a path that takes no new ones.
    void note(std::uint64_t target, PathEvidence, Time now);

    /// Returns the counts of a service.
    PathCounts counts(std::string const& service, Time now) const;

    /// Returns the counts of all services with evidence.
    std::vector<PathCounts> allCounts(Time now) const;

    /// Returns the part of the tried targets that was reached, from 0 to 1; 1 if none was tried.
    static double shareOf(PathCounts const&);

    /// Whether a daemon with these counts is cut off from the service. `minFailed` of a service with fewer targets is their number.
    bool isCutOff(PathCounts const&) const;

    /// Whether the last connection to a target failed.
    bool isFailed(std::uint64_t target, Time now) const;

    /// Whether a target was reached lately.
    bool isReached(std::uint64_t target, Time now) const;

    /// Whether any evidence is a failure, current or not.
    bool hasFailures() const;

    /// Returns the targets to probe now, and notes that they are being probed. Targets are probed while fewer of their service
    /// are reached than `minShare`, those that failed first.
    std::vector<std::uint64_t> takeProbes(Time now);

private:
    struct Path {
        bool isFailed { false };
        Time notedAt; ///< Zero if there is no evidence.
        Time probedAt;
    };

    /// Only of targets with evidence, which are few at a large site.
    using Paths = std::unordered_map<std::uint64_t, Path>;

    struct Service {
        std::vector<std::uint64_t> targets; ///< All that are listed.
        Paths paths;
    };

    bool isCurrent(Path const&, Time now) const;
    std::optional<Path> find(std::uint64_t target) const;
    PathCounts counts(std::string const& name, Service const&, Time now) const;

    PathTableSettings m_settings;
    std::unordered_map<std::uint64_t, std::string> m_serviceOf; ///< By target key.
    std::map<std::string, Service> m_services;
};

}
