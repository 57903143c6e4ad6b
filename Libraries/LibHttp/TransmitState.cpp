#include <LibHttp/SocketQueue.h>
#include <LibHttp/TransmitState.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Http {

std::optional<TransmitState> transmitStateOf(boost::asio::ip::tcp::socket& socket)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    bool isKnown = ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && size == sizeof(info);
    // The kernel estimates a timeout for each connection that was opened.
    if (!isKnown || info.tcpi_rto == 0)
        return std::nullopt;
    TransmitState state;
    state.isInFlight = info.tcpi_unacked > 0;
    state.isWindowClosed = !state.isInFlight && unacknowledgedBytes(socket) > 0;
    state.unansweredProbes = info.tcpi_probes;
    state.retransmissions = info.tcpi_total_retrans;
    state.sinceAcknowledgement = std::chrono::milliseconds(info.tcpi_last_ack_recv);
    state.sinceReceived = std::chrono::milliseconds(info.tcpi_last_data_recv);
    return state;
}

}
