#include <LibDaemon/Metrics.h>
#include <prometheus/text_serializer.h>

namespace Daemon {

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_retries(&prometheus::BuildCounter().Name("currantvale_retries_total").Help("Attempts after a request's first.").Register(*m_registry).Add({}))
    , m_relays(&prometheus::BuildCounter().Name("currantvale_relays_total").Help("Requests passed on to a peer because this daemon could not reach their targets.").Register(*m_registry).Add({}))
    , m_overduePrompts(&prometheus::BuildCounter().Name("currantvale_overdue_prompts_total").Help("Prompts whose answer was overdue at their target.").Register(*m_registry).Add({}))
    , m_malformedEvents(&prometheus::BuildCounter().Name("currantvale_malformed_events_total").Help("Streams that were broken off because of an event that cannot be passed on.").Register(*m_registry).Add({}))
    , m_wholeRuns(&prometheus::BuildCounter().Name("currantvale_whole_runs_total").Help("Requests whose prompt was left to the target that generates the output, after another had failed to compute it.").Register(*m_registry).Add({}))
    , m_values(prometheus::BuildGauge().Name("currantvale_state").Help("The daemon's state now.").Register(*m_registry))
    , m_rateLimits(prometheus::BuildGauge().Name("currantvale_target_rate_limit").Help("Requests per second that a target accepts from all daemons together, as it states.").Register(*m_registry))
    , m_paces(prometheus::BuildGauge().Name("currantvale_target_time_factor").Help("Time that a target takes for a kind of work, relative to the answers of its service on average.").Register(*m_registry))
    , m_paths(prometheus::BuildGauge().Name("currantvale_target_paths").Help("Targets of a service by whether the last connection to them, made lately, succeeded.").Register(*m_registry))
{
    prometheus::Family<prometheus::Counter>& finished = prometheus::BuildCounter().Name("currantvale_requests_finished_total").Help("Final answers by verdict.").Register(*m_registry);
    for (std::pair<Core::Verdict, std::string_view> const& it : Core::verdictNames) {
        std::string verdict(it.second);
        m_finished[static_cast<std::size_t>(it.first)] = { &finished.Add({ { "verdict", verdict }, { "error", "no" } }), &finished.Add({ { "verdict", verdict }, { "error", "yes" } }) };
    }
    prometheus::Family<prometheus::Counter>& decisions = prometheus::BuildCounter().Name("currantvale_route_decisions_total").Help("Routing decisions by reason.").Register(*m_registry);
    for (std::pair<Routing::Reason, std::string_view> const& it : Routing::reasonNames)
        m_decisions[static_cast<std::size_t>(it.first)] = &decisions.Add({ { "reason", std::string(it.second) } });
    addTimes();
    addCounters();
}

void Metrics::addTimes()
{
    prometheus::Family<prometheus::Histogram>& times = prometheus::BuildHistogram().Name("currantvale_seconds").Help("Times that requests spend.").Register(*m_registry);
    prometheus::Histogram::BucketBoundaries buckets { 0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1, 1.5, 2, 3, 5, 10 };
    for (std::pair<TimeOf, std::string_view> const& it : timeNames)
        m_times[static_cast<std::size_t>(it.first)] = &times.Add({ { "of", std::string(it.second) } }, buckets);
}

void Metrics::addCounters()
{
    prometheus::Family<prometheus::Counter>& errors = prometheus::BuildCounter().Name("currantvale_errors_total").Help("Requests that were refused or failed, by the error's code.").Register(*m_registry);
    for (std::pair<Core::ErrorCode, std::string_view> const& it : Core::errorCodeNames)
        m_errors[static_cast<std::size_t>(it.first)] = &errors.Add({ { "code", std::string(it.second) } });
    prometheus::Family<prometheus::Counter>& outcomes = prometheus::BuildCounter().Name("currantvale_target_outcomes_total").Help("How sends to targets ended.").Register(*m_registry);
    for (std::pair<Routing::TargetOutcome, std::string_view> const& it : Routing::targetOutcomeNames)
        m_outcomes[static_cast<std::size_t>(it.first)] = &outcomes.Add({ { "outcome", std::string(it.second) } });
    prometheus::Family<prometheus::Counter>& connections = prometheus::BuildCounter().Name("currantvale_target_connections_total").Help("Exchanges with targets, by whether their connection was kept or new.").Register(*m_registry);
    prometheus::Family<prometheus::Counter>& storeCalls = prometheus::BuildCounter().Name("currantvale_store_calls_total").Help("Calls to the platform's store, by their reason.").Register(*m_registry);
    for (std::pair<Fleet::StoreCallReason, std::string_view> const& it : Fleet::storeCallReasonNames)
        m_storeCalls[static_cast<std::size_t>(it.first)] = &storeCalls.Add({ { "reason", std::string(it.second) } });
    prometheus::Family<prometheus::Counter>& callersLeft = prometheus::BuildCounter().Name("currantvale_callers_left_total").Help("Callers who closed the connection before the final answer, by how far the request had come.").Register(*m_registry);
    for (std::pair<CallerLeftAt, std::string_view> const& it : callerLeftNames)
        m_callersLeft[static_cast<std::size_t>(it.first)] = &callersLeft.Add({ { "step", std::string(it.second) } });
    prometheus::Family<prometheus::Counter>& ends = prometheus::BuildCounter().Name("currantvale_connections_ended_total").Help("Callers' connections that ended, by the reason and by whether something that was sent on them got no answer.").Register(*m_registry);
    for (std::pair<Http::ConnectionEndReason, std::string_view> const& it : Http::connectionEndReasonNames) {
        std::string reason(it.second);
        m_connectionEnds[static_cast<std::size_t>(it.first)] = { &ends.Add({ { "reason", reason }, { "unanswered", "no" } }), &ends.Add({ { "reason", reason }, { "unanswered", "yes" } }) };
    }
    prometheus::Family<prometheus::Counter>& continued = prometheus::BuildCounter().Name("currantvale_streams_continued_total").Help("Streams that were sent to a further target to go on there, by the answer that they go on in.").Register(*m_registry);
    for (std::pair<ContinuedIn, std::string_view> const& it : continuedInNames)
        m_continued[static_cast<std::size_t>(it.first)] = &continued.Add({ { "in", std::string(it.second) } });
    prometheus::Family<prometheus::Counter>& refused = prometheus::BuildCounter().Name("currantvale_streams_refused_total").Help("Streams that had begun and did not go on, by the reason.").Register(*m_registry);
    for (std::pair<StreamRefusal, std::string_view> const& it : streamRefusalNames)
        m_refusedStreams[static_cast<std::size_t>(it.first)] = &refused.Add({ { "reason", std::string(it.second) } });
    m_connections = { &connections.Add({ { "kept", "no" } }), &connections.Add({ { "kept", "yes" } }) };
}

void Metrics::observe(TimeOf of, std::chrono::nanoseconds time)
{
    m_times[static_cast<std::size_t>(of)]->Observe(std::chrono::duration<double>(time).count());
}

void Metrics::countError(Core::ErrorCode code)
{
    m_errors[static_cast<std::size_t>(code)]->Increment();
}

void Metrics::countOutcome(Routing::TargetOutcome outcome)
{
    m_outcomes[static_cast<std::size_t>(outcome)]->Increment();
}

void Metrics::countStoreCall(Fleet::StoreCallReason reason)
{
    m_storeCalls[static_cast<std::size_t>(reason)]->Increment();
}

void Metrics::countCallerLeft(CallerLeftAt step)
{
    m_callersLeft[static_cast<std::size_t>(step)]->Increment();
}

void Metrics::countConnectionEnd(Http::ConnectionEnd const& end)
{
    m_connectionEnds[static_cast<std::size_t>(end.reason)][end.isUnanswered() ? 1 : 0]->Increment();
}

void Metrics::countConnection(bool isKept)
{
    m_connections[isKept ? 1 : 0]->Increment();
}

void Metrics::countFinished(Core::Verdict verdict, bool hasError)
{
    m_finished[static_cast<std::size_t>(verdict)][hasError ? 1 : 0]->Increment();
}

void Metrics::countDecision(Routing::Reason reason)
{
    m_decisions[static_cast<std::size_t>(reason)]->Increment();
}

void Metrics::countContinued(ContinuedIn where)
{
    m_continued[static_cast<std::size_t>(where)]->Increment();
}

void Metrics::countRefusedStream(StreamRefusal reason)
{
    m_refusedStreams[static_cast<std::size_t>(reason)]->Increment();
}

void Metrics::countOverduePrompt()
{
    m_overduePrompts->Increment();
}

void Metrics::countMalformedEvent()
{
    m_malformedEvents->Increment();
}

void Metrics::countWholeRun()
{
    m_wholeRuns->Increment();
}

void Metrics::countRelay()
{
    m_relays->Increment();
}

void Metrics::countRetry()
{
    m_retries->Increment();
}

// A target whose limit has ended has no value any more.
void Metrics::setRateLimits(std::map<std::string, double> const& limits)
{
    std::lock_guard lock(m_gaugesMutex);
    std::erase_if(m_rateLimitsByTarget, [&](std::pair<std::string const, prometheus::Gauge*> const& it) {
        bool isEnded = !limits.contains(it.first);
        if (isEnded)
            m_rateLimits.Remove(it.second);
        return isEnded;
    });
    for (std::pair<std::string const, double> const& it : limits) {
        prometheus::Gauge*& gauge = m_rateLimitsByTarget[it.first];
        if (!gauge)
            gauge = &m_rateLimits.Add({ { "target", it.first } });
        gauge->Set(it.second);
    }
}

// A target without recent answers has no value any more.
void Metrics::setPaces(std::map<std::pair<std::string, std::string>, double> const& paces)
{
    using Entry = std::pair<std::pair<std::string, std::string> const, prometheus::Gauge*>;
    std::lock_guard lock(m_gaugesMutex);
    std::erase_if(m_pacesByTarget, [&](Entry const& it) {
        bool isEnded = !paces.contains(it.first);
        if (isEnded)
            m_paces.Remove(it.second);
        return isEnded;
    });
    for (std::pair<std::pair<std::string, std::string> const, double> const& it : paces) {
        prometheus::Gauge*& gauge = m_pacesByTarget[it.first];
        if (!gauge)
            gauge = &m_paces.Add({ { "target", it.first.first }, { "kind", it.first.second } });
        gauge->Set(it.second);
    }
}

// A service without recent evidence has neither.
void Metrics::setPaths(std::vector<Routing::PathCounts> const& paths)
{
    std::lock_guard lock(m_gaugesMutex);
    std::map<std::string, Routing::PathCounts> byService;
    for (std::string const& service : m_services)
        byService.emplace(service, Routing::PathCounts {});
    for (Routing::PathCounts const& it : paths) {
        byService[it.service] = it;
        m_services.insert(it.service);
    }
    for (std::pair<std::string const, Routing::PathCounts> const& it : byService) {
        m_paths.Add({ { "service", it.first }, { "path", "reached" } }).Set(it.second.reached);
        m_paths.Add({ { "service", it.first }, { "path", "failed" } }).Set(it.second.failed);
    }
}

std::string Metrics::text(MetricsSample const& sample)
{
    m_values.Add({ { "of", "config_offset" } }).Set(static_cast<double>(sample.configOffset));
    m_values.Add({ { "of", "open_requests" } }).Set(static_cast<double>(sample.openRequests));
    m_values.Add({ { "of", "kept_answer_bytes" } }).Set(static_cast<double>(sample.keptAnswerBytes));
    m_values.Add({ { "of", "remembered_tickets" } }).Set(static_cast<double>(sample.rememberedTickets));
    m_values.Add({ { "of", "blocked_changes" } }).Set(static_cast<double>(sample.blockedChanges));
    m_values.Add({ { "of", "role_changes" } }).Set(static_cast<double>(sample.roleChanges));
    m_values.Add({ { "of", "config_version" } }).Set(static_cast<double>(sample.configVersion));
    m_values.Add({ { "of", "store_read_age_seconds" } }).Set(std::chrono::duration<double>(sample.storeReadAge).count());
    m_values.Add({ { "of", "target_list_age_seconds" } }).Set(std::chrono::duration<double>(sample.targetListAge).count());
    m_values.Add({ { "of", "held_answer_bytes" } }).Set(static_cast<double>(sample.heldAnswerBytes));
    m_values.Add({ { "of", "slow_readers_cut" } }).Set(static_cast<double>(sample.slowReadersCut));
    m_values.Add({ { "of", "request_memory_limit_bytes" } }).Set(static_cast<double>(sample.memory.limitBytes));
    m_values.Add({ { "of", "arriving_request_bytes" } }).Set(static_cast<double>(sample.memory.arrivingBytes));
    m_values.Add({ { "of", "whole_request_bytes" } }).Set(static_cast<double>(sample.memory.wholeBytes));
    m_values.Add({ { "of", "request_memory_refusals" } }).Set(static_cast<double>(sample.memory.refusals));
    m_values.Add({ { "of", "request_memory_revocations" } }).Set(static_cast<double>(sample.memory.revocations));
    m_values.Add({ { "of", "unsent_record_bytes" } }).Set(static_cast<double>(sample.unsentRecordBytes));
    m_values.Add({ { "of", "live_daemons" } }).Set(static_cast<double>(sample.liveDaemons));
    m_values.Add({ { "of", "open_targets" } }).Set(static_cast<double>(sample.openTargets));
    m_values.Add({ { "of", "closed_targets" } }).Set(static_cast<double>(sample.closedTargets));
    m_values.Add({ { "of", "may_order" } }).Set(sample.mayOrder ? 1 : 0);
    m_values.Add({ { "of", "suspected_requests" } }).Set(static_cast<double>(sample.suspectedRequests));
    m_values.Add({ { "of", "quarantined_requests" } }).Set(static_cast<double>(sample.quarantinedRequests));
    m_values.Add({ { "of", "log_lines_left_out" } }).Set(static_cast<double>(sample.linesLeftOut));
    m_values.Add({ { "of", "has_duties" } }).Set(sample.hasDuties ? 1 : 0);
    m_values.Add({ { "of", "usage_reports_decided" } }).Set(static_cast<double>(sample.usageDecided));
    m_values.Add({ { "of", "usage_reports_accepted" } }).Set(static_cast<double>(sample.usageReported));
    m_values.Add({ { "of", "usage_reports_missed" } }).Set(static_cast<double>(sample.usageMissed));
    m_values.Add({ { "of", "engine_orders" } }).Set(static_cast<double>(sample.engineOrders));
    m_values.Add({ { "of", "engines_wanted" } }).Set(sample.enginesWanted);
    m_values.Add({ { "of", "engines_serving" } }).Set(sample.enginesServing);
    setRateLimits(sample.targetRateLimits);
    setPaces(sample.targetPaces);
    setPaths(sample.paths);
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

}
