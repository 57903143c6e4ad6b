#include <LibHttp/SilenceWatch.h>
#include <LibHttp/SocketQueue.h>
#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace Http {

namespace {

constexpr int checksPerLimit = 8;
constexpr std::chrono::milliseconds leastInterval { 10 };

}

std::shared_ptr<SilenceWatch> SilenceWatch::create(boost::asio::ip::tcp::socket& socket, SilenceLimits const& limits, std::function<void()> onSilent)
{
    return std::shared_ptr<SilenceWatch>(new SilenceWatch(socket, limits, std::move(onSilent)));
}

SilenceWatch::SilenceWatch(boost::asio::ip::tcp::socket& socket, SilenceLimits const& limits, std::function<void()> onSilent)
    : m_socket(socket)
    , m_timer(socket.get_executor())
    , m_limits(limits)
    , m_interval(std::max(limits.unacknowledged / checksPerLimit, leastInterval))
    , m_detector(limits.unacknowledged)
    , m_onSilent(std::move(onSilent))
{
    kernelTimes() == KernelTimes::Told ? takeFromKernel() : leaveToKernel();
}

void SilenceWatch::leaveToKernel()
{
    limitUnacknowledged(m_socket, m_limits.unacknowledged);
    m_isLeftToKernel = true;
}

void SilenceWatch::takeFromKernel()
{
    if (std::exchange(m_isLeftToKernel, false))
        limitUnacknowledged(m_socket, std::chrono::milliseconds(0));
    // Best effort, as all options.
    if (m_limits.idleProbes > 0)
        static_cast<void>(::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_KEEPCNT, &m_limits.idleProbes, sizeof(m_limits.idleProbes)));
}

void SilenceWatch::beginWrite()
{
    ++m_writes;
    if (kernelTimes() == KernelTimes::Missing)
        return;
    m_detector.noteWrite(std::chrono::steady_clock::now());
    if (!std::exchange(m_isChecking, true))
        checkLater();
}

void SilenceWatch::endWrite()
{
    --m_writes;
}

void SilenceWatch::checkLater()
{
    m_timer.expires_after(m_interval);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
        std::shared_ptr<SilenceWatch> self = weak.lock();
        if (self && !ec)
            self->check();
    });
}

void SilenceWatch::check()
{
    m_isChecking = false;
    if (!m_socket.is_open() || !m_onSilent)
        return;
    std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    std::optional<TransmitState> state = transmitStateOf(m_socket);
    if (!state)
        return;
    noteSettledState(*state);
    if (kernelTimes() == KernelTimes::Missing)
        return;
    if (kernelTimes() == KernelTimes::Told && m_isLeftToKernel)
        takeFromKernel();
    if (m_detector.isSilent(*state, now)) {
        std::exchange(m_onSilent, nullptr)();
        return;
    }
    if (state->isWaiting() || m_writes > 0) {
        m_isChecking = true;
        checkLater();
    }
}

}
