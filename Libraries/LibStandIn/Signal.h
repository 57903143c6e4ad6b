#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <list>

namespace StandIn {

/// Lets coroutines of one thread wait until something changes. Not thread-safe; must outlive its waiters.
class Signal {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Waits for the next `notifyAll`, but not past `until`.
    boost::asio::awaitable<void> wait(Time until);

    /// Wakes all who wait.
    void notifyAll();

    bool hasWaiters() const { return !m_waiters.empty(); }

private:
    std::list<boost::asio::steady_timer*> m_waiters;
};

}
