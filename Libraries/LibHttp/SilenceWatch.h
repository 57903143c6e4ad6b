#pragma once

#include <LibHttp/SilenceDetector.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace Http {

/// Watches whether the host of a connection's peer goes silent while written bytes are not acknowledged. TCP_USER_TIMEOUT does not
/// serve for this: it also counts the time in which the peer does not read. Use from the socket's thread only.
class SilenceWatch : public std::enable_shared_from_this<SilenceWatch> {
public:
    /// Returns nothing if the kernel tells too little of the connection. `onSilent` is called at most once, from the event loop.
    /// Preconditions: the socket is connected, and outlives the watch; `limit` is above 0.
    static std::shared_ptr<SilenceWatch> create(boost::asio::ip::tcp::socket&, std::chrono::milliseconds limit, std::function<void()> onSilent);

    /// Notes that bytes are being written; the watch goes on until all are acknowledged. Call it before each write.
    void noteWrite();

private:
    SilenceWatch(boost::asio::ip::tcp::socket&, std::chrono::milliseconds limit, std::function<void()> onSilent);
    void checkLater();
    void check();

    boost::asio::ip::tcp::socket& m_socket;
    boost::asio::steady_timer m_timer;
    std::chrono::milliseconds m_interval;
    SilenceDetector m_detector;
    std::function<void()> m_onSilent;
    bool m_isChecking { false };
};

}
