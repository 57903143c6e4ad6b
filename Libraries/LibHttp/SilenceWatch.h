#pragma once

#include <LibHttp/SilenceDetector.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace Http {

/// When the host of a connection's peer counts as silent.
struct SilenceLimits {
    std::chrono::milliseconds unacknowledged { 0 }; ///< While bytes wait for an acknowledgement.
    std::chrono::seconds probeAfter { 0 }; ///< Between probes of a connection without traffic; 0: it is not probed.
    int idleProbes { 0 }; ///< TCP_KEEPCNT while nobody waits for the peer.
};

/// What a SilenceWatch asks and tells. Both are called from the event loop.
struct SilenceHooks {
    /// Called at most once, when the connection is to end, and not if it is the kernel that ends it.
    std::function<void(Silence)> onSilent;
    /// Returns the latest time at which a new connection to the host was begun that it answered, and has the host asked again.
    /// Empty: a silence that nothing explains ends the connection.
    std::function<std::optional<SilenceDetector::Time>()> askHost {};
};

/// Watches whether the host of a connection's peer goes silent while written bytes are not acknowledged, or while the peer is waited
/// for. TCP_USER_TIMEOUT serves only where the kernel does not tell enough: it also counts the time in which the peer does not read.
/// Use from the socket's thread only.
class SilenceWatch : public std::enable_shared_from_this<SilenceWatch> {
public:
    /// Preconditions: the socket is connected, and outlives the watch; `unacknowledged` is above 0.
    static std::shared_ptr<SilenceWatch> create(boost::asio::ip::tcp::socket&, SilenceLimits const&, SilenceHooks);

    /// Notes that a write begins; the watch goes on until it has ended and all is acknowledged. Call it before each write.
    void beginWrite();

    /// Notes that a write has ended, whatever came of it.
    void endWrite();

    /// Has the watch decide on unanswered probes too, in place of the kernel, which ends the connection after a few. Until `endWait`.
    void beginWait();

    /// Notes that nobody waits for the peer any more.
    void endWait();

    /// Whether a silence that nothing explains ends the connection, although `askHost` is set.
    void setEndsUnexplained(bool ends) { m_endsUnexplained = ends; }

private:
    SilenceWatch(boost::asio::ip::tcp::socket&, SilenceLimits const&, SilenceHooks);
    void checkLater(std::chrono::milliseconds interval);
    void check();
    bool needsIdleChecks() const;
    std::chrono::milliseconds idleInterval() const;
    void leaveToKernel();
    void takeFromKernel();
    void limitProbes();

    boost::asio::ip::tcp::socket& m_socket;
    boost::asio::steady_timer m_timer;
    SilenceLimits m_limits;
    std::chrono::milliseconds m_interval;
    SilenceDetector m_detector;
    SilenceHooks m_hooks;
    std::optional<SilenceDetector::Time> m_hostAnsweredAt; ///< Of the last check that asked.
    std::size_t m_writes { 0 }; ///< Under way.
    bool m_endsUnexplained { false };
    bool m_isWaiting { false };
    bool m_isChecking { false };
    bool m_isCheckSlow { false }; ///< The next check comes after more than `m_interval`.
    bool m_isLeftToKernel { false };
};

}
