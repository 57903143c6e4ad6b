#include <LibDaemon/Signal.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Daemon {

void Signal::notify()
{
    m_isNotified = true;
    m_timer.cancel();
}

boost::asio::awaitable<void> Signal::wait()
{
    while (!m_isNotified) {
        boost::system::error_code ec;
        co_await m_timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
    m_isNotified = false;
}

}
