#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

namespace Http {

/// Watches a connected socket until its peer closes the connection, also where bytes that nobody has read yet are in front of
/// the end. Reads nothing. Use from the socket's thread only.
class CloseWatch : public std::enable_shared_from_this<CloseWatch> {
public:
    /// Precondition: the socket outlives the watch.
    static std::shared_ptr<CloseWatch> create(boost::asio::ip::tcp::socket&);

    /// Calls `onClosed` once, not from within this call, when the peer has closed the connection. Replaces a former hook.
    void start(std::function<void()> onClosed);

    /// Ends the watch: the hook is not called any more. A wait on the socket may remain.
    void stop();

    /// Returns whether a wait on the socket remains, which `cancel` of the socket ends.
    bool isWaiting() const { return m_waits > 0; }

    /// Returns whether the peer has closed the connection or it has failed. Needs no watch.
    bool isClosed() const;

    /// Returns how the connection failed, or no error if it has not, or if the peer closed it.
    boost::system::error_code error() const { return m_error; }

private:
    enum class PeerState : std::uint8_t {
        Open,
        OpenWithUnreadBytes,
        Closed,
    };

    explicit CloseWatch(boost::asio::ip::tcp::socket&);
    void waitUntilReadable();
    void waitForInterval();
    void check(std::uint64_t generation);
    PeerState peerState() const;

    boost::asio::ip::tcp::socket& m_socket;
    boost::asio::steady_timer m_timer;
    std::function<void()> m_onClosed;
    std::uint64_t m_generation { 0 }; ///< Of the present watch; waits of former ones change nothing.
    std::size_t m_waits { 0 };
    mutable boost::system::error_code m_error; ///< The kernel tells it once.
};

}
