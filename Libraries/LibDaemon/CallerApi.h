#pragma once

#include <LibDaemon/AnswerKeeper.h>
#include <LibDaemon/RequestRunner.h>
#include <LibDaemon/TrafficContext.h>
#include <LibHttp/Server.h>
#include <atomic>

namespace Daemon {

/// What the caller-facing handlers of all threads share with the control thread.
struct CallerShared {
    std::string name;
    std::string requestIdPrefix; ///< Unique to this process.
    AnswerKeeper& keeper;
    std::atomic<bool> isLeaving { false };
    std::atomic<std::uint64_t> nextRequest { 1 };
};

/// The callers' HTTP interface on one traffic thread (docs/callers.md). Use from that thread only.
class CallerApi {
public:
    /// Preconditions: both outlive the object.
    CallerApi(TrafficContext&, CallerShared&);

    /// Serves one request.
    boost::asio::awaitable<void> handle(Http::Request&, Http::ResponseWriter&);

private:
    boost::asio::awaitable<void> serveWork(Http::Request&, Http::ResponseWriter&);
    boost::asio::awaitable<void> runDirect(Work, std::vector<std::uint32_t> allowed, Http::ResponseWriter&);
    boost::asio::awaitable<void> serveTicket(Work, Http::Request const&, Http::ResponseWriter&);
    boost::asio::awaitable<void> collect(Http::Request const&, Http::ResponseWriter&);
    boost::asio::awaitable<void> follow(Request::TicketNonce, Request::AnswerOffset, std::string requestId, Http::ResponseWriter&);
    boost::asio::awaitable<void> sendError(Core::Error, std::string requestId, bool isRepeatable, Http::ResponseWriter&);

    Core::Result<std::vector<std::uint32_t>> allowedTargets(Work const&) const;
    Http::Response entries() const;
    Http::Response models() const;
    std::string newRequestId();

    TrafficContext& m_context;
    CallerShared& m_shared;
};

}
