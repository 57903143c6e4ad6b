#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Daemon {

/// Lets one coroutine wait until another on the same thread calls it. A notification that comes before the
/// wait is kept; several count as one. Use from the executor's thread only.
class Signal {
public:
    explicit Signal(boost::asio::any_io_executor const& executor)
        : m_timer(executor, boost::asio::steady_timer::time_point::max())
    {
    }

    /// Ends the present wait, or the next one.
    void notify();

    /// Waits for a notification. Precondition: nobody else waits.
    boost::asio::awaitable<void> wait();

private:
    boost::asio::steady_timer m_timer;
    bool m_isNotified { false };
};

}
