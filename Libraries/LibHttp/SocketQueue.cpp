#include <LibHttp/SocketQueue.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace Http {

std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket& socket)
{
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
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
