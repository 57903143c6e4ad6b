#include <LibHttp/SocketLiveness.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Http {

namespace {

void setNumber(int handle, int level, int option, int value)
{
    // Best effort: without the option the kernel's own, longer times hold.
    static_cast<void>(::setsockopt(handle, level, option, &value, sizeof(value)));
}

}

std::shared_ptr<SilenceWatch> watchLiveness(boost::asio::ip::tcp::socket& socket, SocketLiveness const& liveness, SilenceHooks hooks)
{
    int handle = socket.native_handle();
    if (liveness.probeAfter.count() > 0) {
        setNumber(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
        setNumber(handle, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(liveness.probeAfter.count()));
        setNumber(handle, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(liveness.probeAfter.count()));
        setNumber(handle, IPPROTO_TCP, TCP_KEEPCNT, liveness.probes);
    }
    if (liveness.unacknowledged.count() <= 0)
        return nullptr;
    return SilenceWatch::create(socket, { liveness.unacknowledged, liveness.probeAfter, liveness.probes }, std::move(hooks));
}

void breakOff(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ec; // A socket that has failed is broken off already.
    socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ec);
}

}
