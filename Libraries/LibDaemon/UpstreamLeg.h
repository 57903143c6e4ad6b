#pragma once

#include <LibDaemon/Signal.h>
#include <LibHttp/Client.h>
#include <LibRequest/RequestEvent.h>
#include <boost/asio/any_io_executor.hpp>
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
    {
    }

    /// Gives the connection up: whatever it waits for ends.
    void abandon()
    {
        isAbandoned = true;
        connecting->trigger();
        goAhead.notify();
        if (exchange)
            exchange->cancel();
    }

    Request::Leg leg;
    Signal goAhead; ///< Notified when the request is to be written.
    std::shared_ptr<Http::CancelSlot> connecting;
    std::unique_ptr<Http::Exchange> exchange;
    Http::ResponseHead head;
    bool isAbandoned { false };
};

}
