#pragma once

#include <LibCore/Result.h>
#include <LibStandIn/EngineControl.h>
#include <LibStandIn/Faults.h>
#include <LibStandIn/PromptCache.h>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace StandIn {

/// What a stand-in engine is started with.
struct EngineSettings {
    std::string name { "engine" };
    EngineConfiguration configuration;
    bool checksFencing { false };
    double prefillTokensPerSecond { 20000 }; ///< Of the whole engine.
    double decodeTokensPerSecond { 2000 }; ///< Of the whole engine, shared by the running requests.
    double streamTokensPerSecond { 200 }; ///< The most that one request gets.
    std::uint64_t maximumRunning { 32 };
    std::uint64_t kvCapacityTokens { 200000 };
    std::chrono::milliseconds changeTime { 2000 };
    std::chrono::milliseconds loadLag { 100 };
};

/// One request as it reaches an engine.
struct EngineRequest {
    std::string id {}; ///< Unique per attempt.
    std::string prompt {};
    std::uint64_t maximumTokens { 16 };
    unsigned priority { 5 }; ///< 0 first, 9 last.
    std::string model {}; ///< Empty: any.
    bool isChat { false }; ///< How the answer is written, kept for who resumes it.
    bool isPrefillOnly { false };
    bool hasImportedCache { false };
};

/// How far a request has come.
struct EngineStream {
    std::uint64_t seed { 0 }; ///< Of the answer, see `answerToken`.
    std::string model {};
    bool isChat { false };
    std::uint64_t promptTokens { 0 };
    std::uint64_t maximumTokens { 0 };
    std::uint64_t tokens { 0 }; ///< Produced so far.
    bool isPrefilled { false };
    bool isPrefillOnly { false };
    bool isFinished { false }; ///< The whole answer is there.
    bool isCanceled { false };

    bool hasEnded() const { return isFinished || isCanceled; }
};

/// What cancelling a request found.
enum class CancelOutcome : std::uint8_t { Canceled,
    Finished,
    Unknown };

/// What an engine reports of its load.
struct EngineLoad {
    std::uint64_t running { 0 };
    std::uint64_t waiting { 0 };
    std::uint64_t waitingPromptTokens { 0 };
    std::uint64_t kvUsedTokens { 0 };
    std::chrono::steady_clock::time_point since {};
};

/// The state of a stand-in model engine: continuous batching approximated by token rates. Prompts are
/// prefilled one by one, the running requests decode together; when both have work, each gets half of
/// the engine. Not thread-safe. Times handed in never go back.
class EngineCore {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// How many ended requests, and ids cancelled before they arrived, are remembered.
    static constexpr std::size_t keptEnded = 20000;

    /// Errors: BadInput names the setting that is out of range.
    static Core::Result<EngineCore> create(EngineSettings, Time now);

    /// Takes a request. Errors, all of them certain that nothing was run: Unavailable when the engine is
    /// not serving, its role or model differ, or the id was cancelled; Conflict for an id seen before.
    Core::Result<void> start(EngineRequest const&, Time now);

    /// Makes all progress due by `now`.
    void advance(Time now);

    /// When `advance` can next make a token or change a phase; nothing when idle.
    std::optional<Time> nextDeadline() const;

    /// Returns a request's state, or null when it is unknown. Valid until the next change of this object.
    EngineStream const* find(std::string const& id) const;

    /// Cancels a request; an unknown id is refused should it arrive later.
    CancelOutcome cancel(std::string const& id, Time now);

    /// Takes an order, see `EngineControl::order`.
    Core::Result<void> order(EngineOrder const&, Time now);

    /// Keeps a finished prefill's cache for import elsewhere and returns its handle.
    /// Precondition: `id` is a finished prefill-only request.
    std::string exportCache(std::string const& id);
    /// Returns the prompt tokens behind a handle, or nothing.
    std::optional<std::uint64_t> exportedTokens(std::string const& handle) const;

    /// The load as it was one lag before `now`.
    EngineLoad reportedLoad(Time now);
    /// The load now.
    EngineLoad currentLoad() const;
    /// How many requests were taken since the start.
    std::uint64_t started() const { return m_arrivals; }

    EngineSettings const& settings() const { return m_settings; }
    EngineControl& control() { return m_control; }
    EngineControl const& control() const { return m_control; }
    PromptCache const& cache() const { return m_cache; }
    Faults& faults() { return m_faults; }

    /// Called with each request that gained tokens or ended.
    std::function<void(std::string const& id)> onProgress;

private:
    struct Running {
        std::string id {};
        double remainingPrefill { 0 };
        double tokens { 0 };
        std::uint64_t kvTokens { 0 };
    };
    struct Rates {
        double prefill { 0 }; ///< Of the first request that still prefills.
        double decode { 0 }; ///< Of each request that decodes.
    };

    EngineCore(EngineSettings, Time now);
    Core::Result<void> checkTakes(EngineRequest const&) const;
    void admit(Time now);
    Rates rates() const;
    Running* currentPrefill();
    Running const* currentPrefill() const;
    double secondsToChange(Rates) const;
    void progress(double seconds);
    void finishDue(Time now);
    void end(std::string const& id);
    void recordLoad(Time now);
    bool isIdle() const { return m_running.empty() && m_waiting.empty(); }

    EngineSettings m_settings;
    EngineControl m_control;
    PromptCache m_cache;
    Faults m_faults;
    Time m_now;
    std::uint64_t m_arrivals { 0 };
    std::map<std::pair<unsigned, std::uint64_t>, EngineRequest> m_waiting; ///< By priority, then arrival.
    std::uint64_t m_waitingPromptTokens { 0 };
    std::vector<Running> m_running;
    std::uint64_t m_kvUsedTokens { 0 };
    std::unordered_map<std::string, EngineStream> m_streams;
    std::deque<std::string> m_ended; ///< Oldest first, to bound `m_streams`.
    std::unordered_set<std::string> m_canceledEarly;
    std::deque<std::string> m_canceledEarlyOrder;
    std::map<std::string, std::uint64_t> m_exported;
    std::deque<EngineLoad> m_loads;
};

}
