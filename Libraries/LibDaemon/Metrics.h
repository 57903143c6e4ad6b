#pragma once

#include <LibCore/Error.h>
#include <LibCore/MemoryBudget.h>
#include <LibCore/Verdict.h>
#include <LibFleet/ReadTurn.h>
#include <LibHttp/ConnectionEnd.h>
#include <LibRouting/Decision.h>
#include <LibRouting/PathTable.h>
#include <LibRouting/TargetHealth.h>
#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <set>
#include <string>
#include <vector>

namespace Daemon {

/// Values that are read at the moment when metrics are asked for.
struct MetricsSample {
    std::uint64_t configOffset { 0 };
    std::size_t openRequests { 0 };
    std::uint64_t keptAnswerBytes { 0 };
    std::uint64_t heldAnswerBytes { 0 }; ///< For callers that have not read them yet; counted with `[limits] held_answer_bytes`.
    std::uint64_t slowReadersCut { 0 };
    Core::MemoryBudget::Usage memory {}; ///< Of requests.
    std::size_t rememberedTickets { 0 };
    std::size_t blockedChanges { 0 };
    std::uint64_t roleChanges { 0 };
    std::uint64_t configVersion { 0 }; ///< Of a configuration that comes whole.
    std::chrono::milliseconds storeReadAge { 0 }; ///< Since the list of targets was last read from the store.
    std::chrono::milliseconds targetListAge { 0 }; ///< How old the list of targets may be, whoever told it.
    std::size_t unsentRecordBytes { 0 }; ///< That wait to be sent to peers.
    std::size_t liveDaemons { 0 }; ///< This one included.
    std::size_t openTargets { 0 }; ///< That may get work, as far as the list says.
    std::size_t closedTargets { 0 };
    bool mayOrder { false }; ///< This daemon holds a lease on some engines.
    std::size_t suspectedRequests { 0 }; ///< That a target ended with, refused ones included.
    std::size_t quarantinedRequests { 0 };
    std::uint64_t linesLeftOut { 0 }; ///< Of the log.
    bool hasDuties { false }; ///< This daemon has the singleton duties.
    std::uint64_t usageDecided { 0 }; ///< Windows, by this process, as the next two.
    std::uint64_t usageReported { 0 };
    std::uint64_t usageMissed { 0 };
    std::uint64_t engineOrders { 0 }; ///< That the platform has accepted from this process.
    std::uint32_t enginesWanted { 0 }; ///< Of all services that this daemon orders engines for, as the next.
    std::uint32_t enginesServing { 0 };
    std::map<std::string, double> targetRateLimits {}; ///< Requests per second, by target name.
    std::map<std::pair<std::string, std::string>, double> targetPaces; ///< Time factors, by target and kind of work.
    std::vector<Routing::PathCounts> paths {}; ///< Of the services whose targets this daemon has tried to reach lately.
};

/// A time that requests spend. Each is a histogram of its own.
enum class TimeOf : std::uint8_t {
    Placement, ///< From asking for a target until one was chosen or refused.
    FirstPiece, ///< From the request until the first piece of its answer went to the caller.
    Request, ///< From the request until its final answer.
    Pause, ///< The longest one between two pieces of a stream.
    Accept, ///< From a connection's last segment until it was accepted, of the oldest one accepted in a turn of the event loop.
};

inline constexpr Core::EnumNames<TimeOf, 5> timeNames { {
    { TimeOf::Placement, "placement" },
    { TimeOf::FirstPiece, "first_piece" },
    { TimeOf::Request, "request" },
    { TimeOf::Pause, "pause" },
    { TimeOf::Accept, "accept" },
} };

/// How far a request had come when its caller closed the connection.
enum class CallerLeftAt : std::uint8_t {
    Unplaced, ///< No target has been asked for.
    Waiting, ///< For a target or a connection to it; nothing of this attempt has been sent.
    Sent, ///< The request or its prompt has been sent to a target.
};

inline constexpr Core::EnumNames<CallerLeftAt, 3> callerLeftNames { {
    { CallerLeftAt::Unplaced, "unplaced" },
    { CallerLeftAt::Waiting, "waiting" },
    { CallerLeftAt::Sent, "sent" },
} };

/// Where a stream goes on at another target than the one that its last delivered event is from.
enum class ContinuedIn : std::uint8_t {
    SameAnswer, ///< In the answer that it began in.
    FurtherAnswer, ///< In the answer to a request with which its caller resumes it.
};

inline constexpr Core::EnumNames<ContinuedIn, 2> continuedInNames { {
    { ContinuedIn::SameAnswer, "same_answer" },
    { ContinuedIn::FurtherAnswer, "further_answer" },
} };

/// Why a stream that has begun does not go on.
enum class StreamRefusal : std::uint8_t {
    Unknown, ///< Nothing says which release began it.
    Unread, ///< The store, which may say so, does not answer.
    NoTarget, ///< No target of that release is left.
};

inline constexpr Core::EnumNames<StreamRefusal, 3> streamRefusalNames { {
    { StreamRefusal::Unknown, "unknown" },
    { StreamRefusal::Unread, "unread" },
    { StreamRefusal::NoTarget, "no_target" },
} };

/// The daemon's metrics (prometheus-cpp), given out as text by the operators' listener. Thread-safe.
class Metrics {
public:
    Metrics();

    /// Notes a request's one final answer.
    void countFinished(Core::Verdict, bool hasError);

    /// Notes a routing decision.
    void countDecision(Routing::Reason);

    /// Notes a further attempt.
    void countRetry();

    /// Counts a request that was passed on to a peer.
    void countRelay();

    /// Counts a prompt whose answer is overdue.
    void countOverduePrompt();

    /// Counts a stream that was broken off because of an event that cannot be passed on.
    void countMalformedEvent();

    /// Counts a request whose prompt is left to the target that generates its output.
    void countWholeRun();

    /// Counts a stream that was sent to a target to go on there.
    void countContinued(ContinuedIn);

    /// Counts a stream that could not go on.
    void countRefusedStream(StreamRefusal);

    /// Notes a time that a request spent.
    void observe(TimeOf, std::chrono::nanoseconds);

    /// Notes a refusal or a failure by its error's code.
    void countError(Core::ErrorCode);

    /// Notes how a send to a target ended.
    void countOutcome(Routing::TargetOutcome);

    /// Notes that an exchange with a target began on a connection that was kept, or on a new one.
    void countConnection(bool isKept);

    /// Counts a caller who closed the connection before the final answer.
    void countCallerLeft(CallerLeftAt);

    /// Counts the end of a caller's connection.
    void countConnectionEnd(Http::ConnectionEnd const&);

    /// Notes a call to the platform's store.
    void countStoreCall(Fleet::StoreCallReason);

    /// Returns all metrics in the text exposition format.
    std::string text(MetricsSample const&);

private:
    void setPaths(std::vector<Routing::PathCounts> const&);
    void setRateLimits(std::map<std::string, double> const&);
    void setPaces(std::map<std::pair<std::string, std::string>, double> const&);
    void addTimes();
    void addCounters();

    std::shared_ptr<prometheus::Registry> m_registry;
    std::array<std::array<prometheus::Counter*, 2>, Core::verdictNames.size()> m_finished {};
    std::array<prometheus::Counter*, Routing::reasonNames.size()> m_decisions {};
    std::array<prometheus::Histogram*, timeNames.size()> m_times {};
    std::array<prometheus::Counter*, Core::errorCodeNames.size()> m_errors {};
    std::array<prometheus::Counter*, Routing::targetOutcomeNames.size()> m_outcomes {};
    std::array<prometheus::Counter*, 2> m_connections {};
    std::array<prometheus::Counter*, callerLeftNames.size()> m_callersLeft {};
    std::array<std::array<prometheus::Counter*, 2>, Http::connectionEndReasonNames.size()> m_connectionEnds {};
    std::array<prometheus::Counter*, Fleet::storeCallReasonNames.size()> m_storeCalls {};
    std::array<prometheus::Counter*, continuedInNames.size()> m_continued {};
    std::array<prometheus::Counter*, streamRefusalNames.size()> m_refusedStreams {};
    prometheus::Counter* m_retries;
    prometheus::Counter* m_relays;
    prometheus::Counter* m_overduePrompts;
    prometheus::Counter* m_malformedEvents;
    prometheus::Counter* m_wholeRuns;
    prometheus::Family<prometheus::Gauge>& m_values;
    prometheus::Family<prometheus::Gauge>& m_rateLimits;
    prometheus::Family<prometheus::Gauge>& m_paces;
    prometheus::Family<prometheus::Gauge>& m_paths;
    std::map<std::string, prometheus::Gauge*> m_rateLimitsByTarget;
    std::map<std::pair<std::string, std::string>, prometheus::Gauge*> m_pacesByTarget;
    std::set<std::string> m_services; ///< That paths were reported of.
    std::mutex m_gaugesMutex;
};

}
