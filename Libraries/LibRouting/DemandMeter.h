#pragma once

#include <chrono>
#include <map>
#include <string>

namespace Routing {

/// The average load that requests to a service place on its engines over several seconds.
struct EngineDemand {
    double promptEngines { 0 }; ///< Prompt seconds per second: the number of engines kept busy by prompts alone.
    double outputs { 0 }; ///< Outputs that are generated concurrently.
    double kvTokens { 0 }; ///< KV cache tokens held by those outputs.

    EngineDemand& operator+=(EngineDemand const&);
    bool operator==(EngineDemand const&) const = default;
};

/// Measures the demand that arrives at one daemon, whether or not it is served. The work of a request is estimated on
/// arrival, so demand is known seconds before long outputs fill the engines. Performs no I/O. Not thread-safe.
class DemandMeter {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Time constant of the averages. An engine finishes its long outputs before it changes roles, which takes about ten
    /// seconds, so a role change cannot follow faster swings in demand.
    static constexpr std::chrono::seconds window { 10 };

    /// Records the work of one request, as engine seconds, batch slot seconds and token seconds.
    void note(std::string const& service, EngineDemand const& work, Time now);

    /// Returns the demand on a service. Precondition: `now` does not go back.
    EngineDemand demand(std::string const& service, Time now) const;

    /// Returns the recent mean prompt time of the service, in seconds; 0 before the first prompt.
    double meanPrompt(std::string const& service) const;

private:
    struct Sums {
        EngineDemand work; ///< Decayed to `at`.
        double prompts { 0 }; ///< Number of requests with prompts, decayed the same way.
        Time since;
        Time at;
    };

    std::map<std::string, Sums> m_sums;
};

}
