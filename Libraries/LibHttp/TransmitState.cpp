#include <LibHttp/SocketQueue.h>
#include <LibHttp/TransmitState.h>
#include <atomic>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Http {

namespace {

constexpr int mostStatesWithoutTimes = 8;

std::atomic<KernelTimes> seenKernelTimes { KernelTimes::Unknown };
std::atomic<int> statesWithoutTimes { 0 };

bool hasTimes(TransmitState const& state)
{
    return state.sinceAcknowledgement.count() > 0 || state.sinceSent.count() > 0 || state.sinceReceived.count() > 0;
}

}

KernelTimes kernelTimes()
{
    return seenKernelTimes;
}

void noteSettledState(TransmitState const& state)
{
    bool isDecided = kernelTimes() != KernelTimes::Unknown || hasTimes(state) || ++statesWithoutTimes < mostStatesWithoutTimes;
    if (!isDecided)
        seenKernelTimes = KernelTimes::Missing;
}

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
    state.roundTrip = std::chrono::ceil<std::chrono::milliseconds>(std::chrono::microseconds(info.tcpi_rtt));
    state.sinceAcknowledgement = std::chrono::milliseconds(info.tcpi_last_ack_recv);
    state.sinceSent = std::chrono::milliseconds(info.tcpi_last_data_sent);
    state.sinceReceived = std::chrono::milliseconds(info.tcpi_last_data_recv);
    if (kernelTimes() != KernelTimes::Told && hasTimes(state))
        seenKernelTimes = KernelTimes::Told;
    return state;
}

}
