#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>

namespace Http {

/// Finds out with new connections whether hosts answer: one connection at a time for each endpoint, whoever asks, and
/// fewer while a host does not answer. One that refuses a connection answers as well. Use from the executor's thread only.
class HostProbes : public std::enable_shared_from_this<HostProbes> {
public:
    using Time = std::chrono::steady_clock::time_point;

    /// `local` is the address to connect from; empty: the kernel chooses.
    static std::shared_ptr<HostProbes> create(boost::asio::any_io_executor, std::optional<boost::asio::ip::address> local, std::chrono::milliseconds connectTimeout);

    /// Returns when the latest connection that the host answered was begun, or nothing, and begins another one unless one has
    /// just begun.
    std::optional<Time> ask(boost::asio::ip::tcp::endpoint const&);

private:
    struct Host {
        std::optional<Time> answeredAt; ///< When the connection was begun.
        Time askedAt;
        std::chrono::milliseconds interval { 0 }; ///< Until the next one at least.
        bool isAsked { false }; ///< A connection is under way.
    };

    HostProbes(boost::asio::any_io_executor, std::optional<boost::asio::ip::address> local, std::chrono::milliseconds connectTimeout);
    boost::asio::awaitable<void> connect(boost::asio::ip::tcp::endpoint, Time begunAt);
    void forgetOld(Time now);

    boost::asio::any_io_executor m_executor;
    std::optional<boost::asio::ip::address> m_local;
    std::chrono::milliseconds m_connectTimeout;
    std::map<boost::asio::ip::tcp::endpoint, Host> m_hosts; ///< Endpoints asked within the last minute.
};

}
