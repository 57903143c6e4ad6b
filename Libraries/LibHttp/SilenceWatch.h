#pragma once

#include <LibHttp/SilenceDetector.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace Http {

/// When the host of a silent connection's peer counts as gone.
struct SilenceLimits {
    std::chrono::milliseconds unacknowledged { 0 }; ///< While bytes wait for an acknowledgement.
    int idleProbes { 0 }; ///< TCP_KEEPCNT, wherever TCP_USER_TIMEOUT does not end an idle connection; 0: not set.
};

/// Watches whether the host of a connection's peer goes silent while written bytes are not acknowledged. TCP_USER_TIMEOUT serves only
/// where the kernel does not tell enough: it also counts the time in which the peer does not read. Use from the socket's thread only.
class SilenceWatch : public std::enable_shared_from_this<SilenceWatch> {
public:
    /// `onSilent` is called at most once, from the event loop, and not if it is the kernel that finds the silence.
    /// Preconditions: the socket is connected, and outlives the watch; `unacknowledged` is above 0.
    static std::shared_ptr<SilenceWatch> create(boost::asio::ip::tcp::socket&, SilenceLimits const&, std::function<void()> onSilent);

    /// Notes that a write begins; the watch goes on until it has ended and all is acknowledged. Call it before each write.
    void beginWrite();

    /// Notes that a write has ended, whatever came of it.
    void endWrite();

private:
    SilenceWatch(boost::asio::ip::tcp::socket&, SilenceLimits const&, std::function<void()> onSilent);
    void checkLater();
    void check();
    void leaveToKernel();
    void takeFromKernel();

    boost::asio::ip::tcp::socket& m_socket;
    boost::asio::steady_timer m_timer;
    SilenceLimits m_limits;
    std::chrono::milliseconds m_interval;
    SilenceDetector m_detector;
    std::function<void()> m_onSilent;
    std::size_t m_writes { 0 }; ///< Under way.
    bool m_isChecking { false };
    bool m_isLeftToKernel { false };
};

}
