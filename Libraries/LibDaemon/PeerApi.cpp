#include <LibCore/UncaughtException.h>
#include <LibDaemon/PeerApi.h>
#include <LibDaemon/PeerMessages.h>
#include <LibDaemon/PeerSink.h>
#include <LibRequest/HttpMapping.h>
#include <boost/asio/co_spawn.hpp>
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
        m_context.context, [this, request = std::move(request), stream = std::move(stream)]() mutable { return serveForwarded(std::move(request), std::move(stream)); }, Core::logUncaughtException);
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
    std::string_view text = forwarded.isCollection ? std::string_view(forwarded.request.target) : forwarded.request.fields.find(Request::ticketHeader).value_or("");
    BOOST_OUTCOME_TRY(Request::Ticket ticket, m_shared.keeper.issuer().verify(text));
    if (!forwarded.isCollection) {
        BOOST_OUTCOME_TRY(m_home.begin(forwarded.request, ticket, m_shared.newRequestId()));
    }
    return ticket;
}

boost::asio::awaitable<void> PeerApi::serveForwarded(Peer::Request request, std::shared_ptr<Peer::ServerStream> stream)
{
    std::shared_ptr<FollowerWatch> watch = std::make_shared<FollowerWatch>(m_context.context.get_executor());
    stream->setOnCanceled([watch] { watch->leave(); });
    PeerSink sink(stream, m_context.context.get_executor());
    Core::Result<ForwardedRequest> forwarded = decodeForwardedRequest(request.body);
    Core::Result<Request::Ticket> ticket = forwarded.has_value() ? begin(forwarded.value()) : Core::Result<Request::Ticket>(forwarded.error());
    if (ticket.has_error()) {
        Request::Finish finish { ticket.error().verdict, ticket.error(), {} };
        co_await sink.finish(std::move(finish));
        co_return;
    }
    co_await m_home.follow(ticket.value().nonce, forwarded.value().from, sink, watch);
}

}
