#include <LibHttp/StreamConnect.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Http {

boost::asio::awaitable<boost::system::error_code> connectStream(boost::beast::tcp_stream& stream, boost::asio::ip::tcp::endpoint endpoint, std::optional<boost::asio::ip::address> local, std::chrono::milliseconds timeout)
{
    boost::system::error_code ec;
    if (local) {
        boost::asio::ip::tcp::endpoint from(*local, 0);
        stream.socket().open(from.protocol(), ec);
        if (!ec)
            stream.socket().bind(from, ec);
    }
    if (ec)
        co_return ec;
    stream.expires_after(timeout);
    co_await stream.async_connect(endpoint, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    co_return ec;
}

}
