#pragma once

#include <LibDaemon/AnswerSinks.h>
#include <LibDaemon/CallerShared.h>
#include <LibDaemon/HomeForwarder.h>
#include <LibDaemon/RequestRunner.h>
#include <LibDaemon/TicketHome.h>
#include <LibDaemon/TrafficContext.h>
#include <LibHttp/Server.h>

namespace Daemon {

/// The callers' HTTP interface on one traffic thread (docs/callers.md). Use from that thread only.
class CallerApi {
public:
    /// Preconditions: both outlive the object.
    CallerApi(TrafficContext&, CallerShared&);

    CallerShared& shared() { return m_shared; }

    /// Serves one request.
    boost::asio::awaitable<void> handle(Http::Request&, Http::ResponseWriter&);

private:
    boost::asio::awaitable<bool> admit(Http::Request&, Http::ResponseWriter&);
    boost::asio::awaitable<void> serveWork(Http::Request&, Http::ResponseWriter&);
    boost::asio::awaitable<void> runDirect(Work, Http::ResponseWriter&);
    boost::asio::awaitable<void> serveTicket(std::string ticket, std::string requestId, Http::Request const&, Http::ResponseWriter&);
    boost::asio::awaitable<void> collect(Http::Request const&, Http::ResponseWriter&);
    boost::asio::awaitable<void> follow(Request::TicketNonce, Request::AnswerOffset, CallerSink&, Http::ResponseWriter&);
    boost::asio::awaitable<void> forward(ForwardedRequest, Request::Ticket const&, std::chrono::milliseconds timeout, CallerSink&, Http::ResponseWriter&);
    boost::asio::awaitable<void> sendError(Core::Error, std::string requestId, bool isRepeatable, Http::ResponseWriter&, bool isRelayed = false);

    bool isHome(Request::Ticket const&) const;
    Http::Response entries() const;
    Http::Response models() const;

    TrafficContext& m_context;
    CallerShared& m_shared;
    TicketHome m_home;
};

}
