#pragma once

#include <LibModel/EngineSettings.h>
#include <LibModel/Job.h>
#include <LibModel/PrefixCache.h>
#include <array>
#include <deque>
#include <optional>
#include <queue>
#include <vector>

namespace Model {

/// A model engine in virtual time: continuous batching, prompts computed in chunks between the tokens of
/// the running requests, priorities, a prefix cache, roles. It decides nothing that the daemon decides.
class Engine {
public:
    /// What an iteration brought about.
    enum class Happening : std::uint8_t {
        FirstToken,
        PrefillDone, ///< On a prefill engine: the KV cache is ready to be sent.
        Finished,
    };

    struct Event {
        Happening happening;
        Job* job;
    };

    /// Time between tokens that 95 in 100 must keep.
    static constexpr double tokenLimitSeconds = 0.026;

    Engine(EngineSettings const&, Routing::TargetRole);

    Routing::TargetRole role() const { return m_role; }
    void setRole(Routing::TargetRole);

    /// Queues a request, by priority and then by arrival here.
    void enqueue(Job&);

    /// Starts an iteration, unless one is under way or nothing is to be done. Returns when it ends.
    std::optional<Time> start(Time now);

    /// Ends the iteration under way and appends what it brought about. Precondition: it ends at `now`.
    void finish(Time now, std::vector<Event>&);

    /// Returns whether it has no work at all.
    bool isIdle() const { return !m_isIterating && m_waitingCount == 0 && m_prompts.empty() && m_running.empty(); }

    /// Takes all its requests away, as a crash does, and appends them.
    void crash(std::vector<Job*>&);

    Routing::LoadReport report(Time now) const;

    PrefixCache& cache() { return m_cache; }

private:
    struct Running {
        std::uint64_t lastIteration;
        std::uint64_t order;
        Job* job;
        bool operator>(Running const& other) const { return std::pair(lastIteration, order) > std::pair(other.lastIteration, other.order); }
    };

    static constexpr std::size_t priorities = 10;

    void admit();
    Job* nextWaiting();
    std::uint32_t planChunks();
    void finishPrompts(Time now, std::vector<Event>&);
    void run(Job&, std::uint32_t tokensLeft);
    static std::uint32_t reserved(Job const& job) { return job.promptTokens + job.outputTokens; }

    EngineSettings m_settings;
    Routing::TargetRole m_role;
    PrefixCache m_cache;
    std::array<std::deque<Job*>, priorities> m_waiting;
    std::size_t m_waitingCount { 0 };
    std::uint64_t m_waitingPromptTokens { 0 }; ///< Of queued and admitted prompts.
    std::uint64_t m_promptTokensAdmitted { 0 };
    std::uint32_t m_chunk { 0 }; ///< Prompt tokens of the iteration under way.
    std::deque<Job*> m_prompts; ///< Admitted, their prompts not yet done.
    std::vector<Job*> m_imported; ///< Running, their first token still to come here.
    std::priority_queue<Running, std::vector<Running>, std::greater<>> m_running;
    std::uint32_t m_kvUsed { 0 };
    std::uint32_t m_runningTokens { 0 }; ///< Resident tokens of running requests.
    std::uint64_t m_iteration { 0 };
    std::uint64_t m_slowIterations { 0 };
    std::uint64_t m_order { 0 };
    bool m_isIterating { false };
    double m_duration { 0 };
};

}
