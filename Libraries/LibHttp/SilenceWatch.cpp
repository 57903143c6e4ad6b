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
// The most that TCP_KEEPCNT takes: with any interval of seconds longer than a request lasts.
constexpr int mostProbes = 127;

}

std::shared_ptr<SilenceWatch> SilenceWatch::create(boost::asio::ip::tcp::socket& socket, SilenceLimits const& limits, SilenceHooks hooks)
{
    return std::shared_ptr<SilenceWatch>(new SilenceWatch(socket, limits, std::move(hooks)));
}

SilenceWatch::SilenceWatch(boost::asio::ip::tcp::socket& socket, SilenceLimits const& limits, SilenceHooks hooks)
    : m_socket(socket)
    , m_timer(socket.get_executor())
    , m_limits(limits)
    , m_interval(std::max(limits.unacknowledged / checksPerLimit, leastInterval))
    , m_detector(limits.unacknowledged)
    , m_hooks(std::move(hooks))
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
    limitProbes();
}

void SilenceWatch::limitProbes()
{
    if (m_isLeftToKernel || m_limits.probeAfter.count() <= 0)
        return;
    int probes = m_isWaiting ? mostProbes : m_limits.idleProbes;
    // Best effort, as all options.
    static_cast<void>(::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes)));
}

void SilenceWatch::beginWrite()
{
    ++m_writes;
    if (kernelTimes() == KernelTimes::Missing)
        return;
    m_detector.noteWrite(std::chrono::steady_clock::now());
    if (!m_isChecking || m_isCheckSlow)
        checkLater(m_interval);
}

void SilenceWatch::endWrite()
{
    --m_writes;
}

void SilenceWatch::beginWait()
{
    if (std::exchange(m_isWaiting, true) || kernelTimes() == KernelTimes::Missing)
        return;
    limitProbes();
    if (!m_isChecking && needsIdleChecks())
        checkLater(idleInterval());
}

void SilenceWatch::endWait()
{
    if (std::exchange(m_isWaiting, false) && kernelTimes() != KernelTimes::Missing)
        limitProbes();
}

// Without traffic nothing but unanswered probes tells of a silence.
bool SilenceWatch::needsIdleChecks() const
{
    return m_limits.probeAfter.count() > 0 && (m_isLeftToKernel || m_hooks.askHost);
}

std::chrono::milliseconds SilenceWatch::idleInterval() const
{
    return std::max(m_interval, std::chrono::milliseconds(m_limits.probeAfter) / 2);
}

void SilenceWatch::checkLater(std::chrono::milliseconds interval)
{
    m_isChecking = true;
    m_isCheckSlow = interval > m_interval;
    m_timer.expires_after(interval);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
        std::shared_ptr<SilenceWatch> self = weak.lock();
        if (self && !ec)
            self->check();
    });
}

void SilenceWatch::check()
{
    m_isChecking = false;
    if (!m_socket.is_open() || !m_hooks.onSilent)
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
    // What nobody waits for is left to the kernel's probes.
    if (m_writes == 0 && !m_isWaiting && !state->isWaiting())
        return;
    // A caller that waits for its answer need not be heard.
    if (!state->isWaiting() && !m_hooks.askHost)
        state->unansweredProbes = 0;
    Silence silence = m_detector.sample(*state, now, m_hostAnsweredAt);
    if (silence == Silence::Unexplained && m_hooks.askHost)
        m_hostAnsweredAt = m_hooks.askHost();
    bool endsUnexplained = m_endsUnexplained || !m_hooks.askHost;
    if (silence == Silence::ConnectionLost || (silence == Silence::Unexplained && endsUnexplained)) {
        std::exchange(m_hooks.onSilent, nullptr)(silence);
        return;
    }
    if (state->isWaiting() || m_writes > 0 || silence != Silence::None)
        checkLater(m_interval);
    else if (needsIdleChecks())
        checkLater(idleInterval());
}

}
