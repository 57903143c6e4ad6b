#pragma once

#include <LibDaemon/Signal.h>
#include <LibHttp/Client.h>
#include <LibRequest/RequestEvent.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace Daemon {

/// The state of one connection of one attempt, shared by the request's runner and the coroutine that drives the
/// connection. Use from the request's thread only.
struct UpstreamLeg {
    UpstreamLeg(boost::asio::any_io_executor const& executor, Request::Leg number)
        : leg(number)
        , goAhead(executor)
        , connecting(std::make_shared<Http::CancelSlot>())
        , acknowledgementTimer(executor)
        , overdueTimer(executor)
    {
        head.status = 0;
    }

    /// Gives the connection up: whatever it waits for ends.
    void abandon()
    {
        isAbandoned = true;
        acknowledgementTimer.cancel();
        overdueTimer.cancel();
        connecting->trigger();
        goAhead.notify();
        if (exchange)
            exchange->cancel();
    }

    Request::Leg leg;
    Signal goAhead; ///< Notified when the request is to be written.
    std::shared_ptr<Http::CancelSlot> connecting;
    std::unique_ptr<Http::Exchange> exchange;
    boost::asio::steady_timer acknowledgementTimer; ///< Fires if the request may not have arrived at the target's host.
    boost::asio::steady_timer overdueTimer; ///< Fires when the answer to a prompt may be overdue.
    Http::ResponseHead head; ///< Its status is 0 before the response begins.
    bool isAbandoned { false };
};

}
