#pragma once

#include <LibCore/Verdict.h>
#include <LibRouting/Decision.h>
#include <array>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <string>

namespace Daemon {

/// Values that are read at the moment when metrics are asked for.
struct MetricsSample {
    std::uint64_t configOffset { 0 };
    std::size_t openRequests { 0 };
    std::uint64_t keptAnswerBytes { 0 };
    std::size_t rememberedTickets { 0 };
    std::size_t blockedChanges { 0 };
    std::uint64_t roleChanges { 0 };
};

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

    /// Returns all metrics in the text exposition format.
    std::string text(MetricsSample const&);

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    std::array<std::array<prometheus::Counter*, 2>, Core::verdictNames.size()> m_finished {};
    std::array<prometheus::Counter*, Routing::reasonNames.size()> m_decisions {};
    prometheus::Counter* m_retries;
    prometheus::Family<prometheus::Gauge>& m_values;
};

}
