#include <LibDaemon/PeerApi.h>
#include <LibDaemon/PeerMessages.h>
#include <LibDaemon/PeerSink.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace Daemon {

namespace {

constexpr std::string_view forwardPath = "/v1/forward";

}

PeerApi::PeerApi(TrafficContext& context, CallerShared& shared, ControlMessageHook controlMessage)
    : m_context(context)
    , m_shared(shared)
    , m_home(context, shared)
    , m_controlMessage(std::move(controlMessage))
{
}

void PeerApi::handle(Peer::Request request, std::shared_ptr<Peer::ServerStream> stream)
{
    if (request.path != forwardPath) {
        serveControl(std::move(request), std::move(stream));
        return;
    }
    boost::asio::co_spawn(
        m_context.context, [this, request = std::move(request), stream = std::move(stream)]() mutable { return serveForwarded(std::move(request), std::move(stream)); }, boost::asio::detached);
}

void PeerApi::serveControl(Peer::Request request, std::shared_ptr<Peer::ServerStream> stream)
{
    boost::asio::any_io_executor executor = m_context.context.get_executor();
    m_controlMessage(std::move(request), [executor, stream = std::move(stream)](int status, std::string body) {
        boost::asio::post(executor, [stream, status, body = std::move(body)] {
            if (!stream->isOpen())
                return;
            stream->sendHead(status);
            if (!body.empty())
                stream->send(body);
            stream->end();
        });
    });
}

Core::Result<Request::Ticket> PeerApi::begin(ForwardedRequest const& forwarded)
{
    WorkLimits limits { m_context.settings.callers.defaultDeadline, m_context.settings.callers.longestDeadline };
    BOOST_OUTCOME_TRY(Work work, parseWork(forwarded.request, m_context.fleet->view->config(), limits, m_shared.newRequestId()));
    if (!work.ticket)
        return Core::fail(Core::ErrorCode::BadInput, "a forwarded request has no ticket");
    BOOST_OUTCOME_TRY(Request::Ticket ticket, m_shared.keeper.issuer().verify(*work.ticket));
    BOOST_OUTCOME_TRY(m_home.begin(std::move(work), ticket, forwarded.request));
    return ticket;
}

boost::asio::awaitable<void> PeerApi::serveForwarded(Peer::Request request, std::shared_ptr<Peer::ServerStream> stream)
{
    std::shared_ptr<FollowerWatch> watch = std::make_shared<FollowerWatch>(m_context.context.get_executor());
    stream->setOnCanceled([watch] { watch->leave(); });
    PeerSink sink(stream, m_context.context.get_executor());
    Core::Result<ForwardedRequest> forwarded = decodeForwardedRequest(request.body);
    Core::Result<Request::Ticket> ticket = Core::makeError(Core::ErrorCode::Corrupt, "a forwarded request cannot be decoded");
    if (forwarded.has_value() && !m_context.fleet->isReady)
        ticket = Core::makeUncertainError(Core::ErrorCode::Unavailable, "the ticket's home has not read the configuration yet");
    else if (forwarded.has_value())
        ticket = forwarded.value().isCollection ? m_shared.keeper.issuer().verify(forwarded.value().request.target) : begin(forwarded.value());
    if (ticket.has_error()) {
        Request::Finish finish { ticket.error().verdict, ticket.error(), {} };
        co_await sink.finish(std::move(finish));
        co_return;
    }
    co_await m_home.follow(ticket.value().nonce, forwarded.value().from, sink, watch);
}

}
