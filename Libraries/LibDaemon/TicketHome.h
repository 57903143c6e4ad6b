#pragma once

#include <LibDaemon/AnswerSink.h>
#include <LibDaemon/CallerShared.h>
#include <LibDaemon/Signal.h>
#include <LibDaemon/TrafficContext.h>
#include <LibDaemon/Work.h>
#include <LibRequest/Ticket.h>
#include <memory>

namespace Daemon {

/// Tells a coroutine that follows an answer that nobody reads it any more. Use from one thread only.
struct FollowerWatch {
    explicit FollowerWatch(boost::asio::any_io_executor const& executor)
        : signal(executor)
    {
    }

    void leave()
    {
        isGone = true;
        signal.notify();
    }

    Signal signal;
    bool isGone { false };
};

/// Runs requests with tickets of this daemon, once each, and reads their kept answers. Use from the traffic thread
/// only.
class TicketHome {
public:
    /// Preconditions: both outlive the object.
    TicketHome(TrafficContext&, CallerShared&);

    /// Runs the request unless its ticket was sent before; its answer is then kept, also when it is an error. The ticket
    /// is looked up before anything else, so that a repeat of what has run is never judged by newer rules.
    /// Precondition: the ticket passed `verify`. Errors: as `Request::OnceTable::begin`.
    Core::Result<void> begin(Http::Request const&, Request::Ticket const&, std::string requestId);

    /// Hands a kept answer to the sink from `offset` on, as it grows, to its end. As the position of a piece the sink
    /// gets the byte offset behind it.
    boost::asio::awaitable<void> follow(Request::TicketNonce, Request::AnswerOffset, AnswerSink&, std::shared_ptr<FollowerWatch>);

private:
    Core::Result<void> run(Http::Request const&, Request::Ticket const&, std::string requestId);

    TrafficContext& m_context;
    CallerShared& m_shared;
};

}
