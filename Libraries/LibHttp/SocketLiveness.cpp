#include <LibHttp/SocketLiveness.h>
#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Http {

namespace {

void setNumber(int handle, int level, int option, int value)
{
    // Best effort: without the option the kernel's own, longer times hold.
    static_cast<void>(::setsockopt(handle, level, option, &value, sizeof(value)));
}

// With TCP_USER_TIMEOUT the kernel ends a connection at the first probe behind that time, whatever TCP_KEEPCNT says.
int probesWithin(SocketLiveness const& liveness)
{
    if (liveness.unacknowledged.count() <= 0)
        return liveness.probes;
    std::chrono::seconds time = std::chrono::ceil<std::chrono::seconds>(liveness.unacknowledged);
    int intervals = static_cast<int>((time + liveness.probeAfter - std::chrono::seconds(1)) / liveness.probeAfter);
    return std::clamp(intervals - 1, 1, std::max(liveness.probes, 1));
}

}

std::shared_ptr<SilenceWatch> watchLiveness(boost::asio::ip::tcp::socket& socket, SocketLiveness const& liveness, std::function<void()> onSilent)
{
    int handle = socket.native_handle();
    if (liveness.probeAfter.count() > 0) {
        setNumber(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
        setNumber(handle, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(liveness.probeAfter.count()));
        setNumber(handle, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(liveness.probeAfter.count()));
        setNumber(handle, IPPROTO_TCP, TCP_KEEPCNT, probesWithin(liveness));
    }
    if (liveness.unacknowledged.count() <= 0)
        return nullptr;
    std::shared_ptr<SilenceWatch> watch = SilenceWatch::create(socket, liveness.unacknowledged, std::move(onSilent));
    if (!watch)
        setNumber(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(liveness.unacknowledged.count()));
    return watch;
}

void breakOff(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ec; // A socket that has failed is broken off already.
    socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ec);
}

}
