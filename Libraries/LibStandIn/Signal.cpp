#include <LibStandIn/Signal.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace StandIn {

namespace {

/// Keeps a timer in the list of waiters for as long as it lives, also when its coroutine is destroyed.
struct Registration {
    Registration(std::list<boost::asio::steady_timer*>& timers, boost::asio::steady_timer& timer)
        : list(timers)
        , position(list.insert(list.end(), &timer))
    {
    }
    ~Registration() { list.erase(position); }
    Registration(Registration const&) = delete;
    Registration& operator=(Registration const&) = delete;

    std::list<boost::asio::steady_timer*>& list;
    std::list<boost::asio::steady_timer*>::iterator position;
};

}

boost::asio::awaitable<void> Signal::wait(Time until)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, until);
    Registration registration(m_waiters, timer);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

void Signal::notifyAll()
{
    for (boost::asio::steady_timer* it : m_waiters)
        it->cancel();
}

}
