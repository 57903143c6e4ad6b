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

void setLiveness(boost::asio::ip::tcp::socket& socket, SocketLiveness const& liveness)
{
    int handle = socket.native_handle();
    if (liveness.unacknowledged.count() > 0)
        setNumber(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(liveness.unacknowledged.count()));
    if (liveness.probeAfter.count() <= 0)
        return;
    setNumber(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setNumber(handle, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(liveness.probeAfter.count()));
    setNumber(handle, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(liveness.probeAfter.count()));
    setNumber(handle, IPPROTO_TCP, TCP_KEEPCNT, liveness.probes);
}

}
