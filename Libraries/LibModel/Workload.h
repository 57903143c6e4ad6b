#pragma once

#include <LibModel/EngineSettings.h>
#include <LibModel/Job.h>
#include <functional>
#include <random>

namespace Model {

/// Range of a token count; drawn evenly.
struct TokenRange {
    std::uint32_t least;
    std::uint32_t most;
    double mean() const { return (least + static_cast<double>(most)) / 2; }
};

/// What one class of a user's requests looks like.
struct ClassShape {
    TokenRange prompt; ///< Beside the organisation's prefix.
    TokenRange output;
};

/// What a user's callers send.
struct WorkloadSettings {
    std::array<ClassShape, 2> classes; ///< Indexed by Roles::PromptClass.
    std::uint32_t prefixTokens { 1000 };
    std::uint32_t organisations { 200 };
    std::uint32_t entries { 8 };
    std::uint32_t engines { 9 };
    double seconds { 1200 };
    std::function<double(double)> longShare; ///< Share of the work that is long prompts, by time.
    std::function<double(double)> load; ///< Offered work as a share of what all engines can do, by time.
    bool hasFlood { false }; ///< Organisation 0 alone adds as much again in the middle third.
};

/// Draws the requests of a run: Poisson arrivals whose rates follow the mix, organisations by Zipf's law.
/// The same seed gives the same requests whatever the policies under test.
class Workload {
public:
    Workload(WorkloadSettings const&, EngineSettings const&, std::uint64_t seed);

    /// All requests in the order of their arrival.
    std::vector<Job> draw();

    /// Mean engine-seconds of a request: its own prompt (prefix cached) and its output at full batch.
    double workSeconds(Roles::PromptClass) const;

    /// Output tokens a second of one engine at its full batch.
    double decodeRate() const;

    /// The true demand at a time, known to the oracle alone.
    Roles::Demand demand(double seconds) const;

private:
    std::uint32_t drawFrom(TokenRange const&);
    double drawUnit();
    void drawJob(Job&, Roles::PromptClass);

    WorkloadSettings m_settings;
    EngineSettings m_engine;
    std::mt19937_64 m_rng;
    std::vector<double> m_organisationShares; ///< Cumulated.
};

}
