#include <LibHttp/SocketQueue.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Http {

std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket& socket)
{
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

std::size_t unreadBytes(boost::asio::ip::tcp::socket const& socket)
{
    boost::system::error_code ec;
    std::size_t n = socket.available(ec);
    return ec ? 0 : n;
}

std::size_t acceptQueueLength(boost::asio::ip::tcp::acceptor& acceptor)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    // Of a listening socket the kernel tells the length of its queue in this field.
    return ::getsockopt(acceptor.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 ? info.tcpi_unacked : 0;
}

bool hasHungUp(boost::asio::ip::tcp::socket& socket)
{
    pollfd state { socket.native_handle(), 0, 0 };
    return ::poll(&state, 1, 0) < 0 || (state.revents & (POLLHUP | POLLERR | POLLNVAL)) != 0;
}

void limitUnacknowledged(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds time)
{
    int value = static_cast<int>(time.count());
    // Best effort: without the option the kernel's own, longer times hold.
    static_cast<void>(::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value)));
}

void closeOrAbort(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ec; // Without the option the connection closes in the ordinary way.
    // An end of the connection is sent again if it is lost, a reset is not.
    if (unacknowledgedBytes(socket) > 0)
        socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

}
