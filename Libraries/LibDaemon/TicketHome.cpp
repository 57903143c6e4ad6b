#include <LibCore/UncaughtException.h>
#include <LibDaemon/AnswerSinks.h>
#include <LibDaemon/Eligibility.h>
#include <LibDaemon/RequestRunner.h>
#include <LibDaemon/TicketHome.h>
#include <LibRequest/Fingerprint.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

namespace Daemon {

TicketHome::TicketHome(TrafficContext& context, CallerShared& shared)
    : m_context(context)
    , m_shared(shared)
{
}

Core::Result<void> TicketHome::begin(Http::Request const& request, Request::Ticket const& ticket, std::string requestId)
{
    Request::Fingerprint fingerprint = Request::fingerprintOf(request.method, request.target, request.body);
    std::string organisation(request.fields.find(organisationHeader).value_or(anonymousOrganisation));
    BOOST_OUTCOME_TRY(Request::OnceDecision decision, m_shared.keeper.begin(ticket, fingerprint, organisation));
    if (decision != Request::OnceDecision::Run)
        return Core::ok();
    Core::Result<void> started = run(request, ticket, std::move(requestId));
    if (started.has_error())
        m_shared.keeper.finish(ticket.nonce, Request::AnswerEnd { Core::Verdict::NotRun, started.error() });
    return Core::ok();
}

// Precondition: nothing has run under the ticket. Errors are not run.
Core::Result<void> TicketHome::run(Http::Request const& request, Request::Ticket const& ticket, std::string requestId)
{
    if (!m_context.fleet->isReady)
        return Core::fail(Core::ErrorCode::Unavailable, "this daemon has not read the configuration yet");
    WorkLimits limits { m_context.settings.callers.defaultDeadline, m_context.settings.callers.longestDeadline, m_context.settings.callers.keys };
    BOOST_OUTCOME_TRY(Work work, parseWork(request, m_context.fleet->view->config(), limits, std::move(requestId)));
    work.key = workKeyOf(request, work);
    BOOST_OUTCOME_TRY(std::vector<std::uint32_t> eligible, eligibleTargets(*m_context.fleet, work));
    std::shared_ptr<KeeperSink> sink = std::make_shared<KeeperSink>(m_shared.keeper, ticket.nonce);
    std::shared_ptr<RequestRunner> runner = std::make_shared<RequestRunner>(m_context, std::move(work), m_context.fleet, std::move(eligible), sink);
    boost::asio::co_spawn(
        m_context.context, [runner] { return runner->run(); }, Core::logUncaughtException);
    return Core::ok();
}

boost::asio::awaitable<void> TicketHome::follow(Request::TicketNonce nonce, Request::AnswerOffset offset, AnswerSink& sink, std::shared_ptr<FollowerWatch> watch)
{
    bool isHeadSent = false;
    while (!watch->isGone) {
        std::function<void()> wake = [watch, executor = m_context.context.get_executor()] {
            boost::asio::post(executor, [watch] { watch->signal.notify(); });
        };
        Core::Result<KeptPart> kept = m_shared.keeper.read(nonce, offset, std::move(wake));
        if (kept.has_error()) {
            Request::Finish finish { kept.error().verdict, kept.error(), {} };
            co_await sink.finish(std::move(finish));
            co_return;
        }
        if (kept.value().head && !std::exchange(isHeadSent, true))
            co_await sink.head(*kept.value().head);
        Request::AnswerPart part = std::move(kept.value().part);
        bool isEmpty = part.bytes.empty();
        offset = Request::AnswerOffset { Request::AnswerOffset::Unit::Bytes, part.nextByte };
        if (!isEmpty)
            co_await sink.piece(part.nextByte, std::move(part.bytes));
        if (part.end) {
            Request::Finish finish { part.end->verdict, part.end->error, {} };
            co_await sink.finish(std::move(finish));
            co_return;
        }
        if (isEmpty)
            co_await watch->signal.wait();
    }
}

}
