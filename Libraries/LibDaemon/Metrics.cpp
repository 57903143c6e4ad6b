#include <LibDaemon/Metrics.h>
#include <prometheus/text_serializer.h>

namespace Daemon {

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_retries(&prometheus::BuildCounter().Name("currantvale_retries_total").Help("Attempts after a request's first.").Register(*m_registry).Add({}))
    , m_values(prometheus::BuildGauge().Name("currantvale_state").Help("The daemon's state now.").Register(*m_registry))
{
    prometheus::Family<prometheus::Counter>& finished = prometheus::BuildCounter().Name("currantvale_requests_finished_total").Help("Final answers by verdict.").Register(*m_registry);
    for (std::pair<Core::Verdict, std::string_view> const& it : Core::verdictNames) {
        std::string verdict(it.second);
        m_finished[static_cast<std::size_t>(it.first)] = { &finished.Add({ { "verdict", verdict }, { "error", "no" } }), &finished.Add({ { "verdict", verdict }, { "error", "yes" } }) };
    }
    prometheus::Family<prometheus::Counter>& decisions = prometheus::BuildCounter().Name("currantvale_route_decisions_total").Help("Routing decisions by reason.").Register(*m_registry);
    for (std::pair<Routing::Reason, std::string_view> const& it : Routing::reasonNames)
        m_decisions[static_cast<std::size_t>(it.first)] = &decisions.Add({ { "reason", std::string(it.second) } });
}

void Metrics::countFinished(Core::Verdict verdict, bool hasError)
{
    m_finished[static_cast<std::size_t>(verdict)][hasError ? 1 : 0]->Increment();
}

void Metrics::countDecision(Routing::Reason reason)
{
    m_decisions[static_cast<std::size_t>(reason)]->Increment();
}

void Metrics::countRetry()
{
    m_retries->Increment();
}

std::string Metrics::text(MetricsSample const& sample)
{
    m_values.Add({ { "of", "config_offset" } }).Set(static_cast<double>(sample.configOffset));
    m_values.Add({ { "of", "open_requests" } }).Set(static_cast<double>(sample.openRequests));
    m_values.Add({ { "of", "kept_answer_bytes" } }).Set(static_cast<double>(sample.keptAnswerBytes));
    m_values.Add({ { "of", "remembered_tickets" } }).Set(static_cast<double>(sample.rememberedTickets));
    m_values.Add({ { "of", "blocked_changes" } }).Set(static_cast<double>(sample.blockedChanges));
    m_values.Add({ { "of", "role_changes" } }).Set(static_cast<double>(sample.roleChanges));
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

}
