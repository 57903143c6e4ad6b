#pragma once

#include <LibCore/Result.h>
#include <LibStandIn/Api.h>
#include <LibStandIn/Signal.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>

namespace StandIn {

/// Forwards TCP connections and can hold back either direction, cut all or be as slow as a narrow link, so that tests see
/// partitions and connections that went silent. Paused bytes are kept and go on after `resume`; a connection made
/// while paused is accepted. Use from the thread of its io_context only.
class Forwarder final : public Api {
public:
    /// Binds `from`; connections go on to `to`. Errors: Unavailable when the address cannot be bound.
    static Core::Result<std::shared_ptr<Forwarder>> create(boost::asio::io_context&, boost::asio::ip::tcp::endpoint const& from, boost::asio::ip::tcp::endpoint to);

    /// Serves the admin listener: POST /pause {"direction":"both|forward|backward"}, /resume, /cut, /rate {"bytes_per_s":N};
    /// GET /state says how many connections are open and how many pieces wait here on their way forward.
    boost::asio::awaitable<void> serve(Http::Request&, Http::ResponseWriter&) override;

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    void pause(bool forward, bool backward);
    void resume();
    /// Closes all connections; new ones are accepted.
    void cut();
    /// Carries so many bytes a second in each direction, shared by all connections; 0: as many as come. What waits stays
    /// with its sender, but for a piece and a small socket buffer of each connection.
    void setRate(std::uint64_t bytesPerSecond);

private:
    struct Direction {
        bool isPaused { false };
        Signal::Time freeAt; ///< When the link has carried what it was given.
        std::size_t waiting { 0 }; ///< Pieces.
    };

    struct Pair {
        boost::asio::ip::tcp::socket client;
        boost::asio::ip::tcp::socket server;
    };

    Forwarder(boost::asio::io_context&, boost::asio::ip::tcp::acceptor, boost::asio::ip::tcp::endpoint to);
    static boost::asio::awaitable<void> accept(std::shared_ptr<Forwarder>);
    static boost::asio::awaitable<void> connect(std::shared_ptr<Forwarder>, std::shared_ptr<Pair>);
    static boost::asio::awaitable<void> copy(std::shared_ptr<Forwarder>, std::shared_ptr<Pair>, bool isForward);
    boost::asio::awaitable<void> carry(Direction&, boost::asio::ip::tcp::socket const& from, std::size_t bytes);
    void limitBuffers(boost::asio::ip::tcp::socket&) const;
    std::size_t connections();
    Http::Response respondState();
    Core::Result<void> command(std::string_view path, std::string_view body);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_to;
    std::list<std::weak_ptr<Pair>> m_pairs;
    Direction m_forward;
    Direction m_backward;
    std::uint64_t m_rate { 0 }; ///< Bytes a second; 0: unlimited.
    bool m_hasHadRate { false }; ///< Until then the kernel chooses the sizes of buffers.
    Signal m_changed;
};

}
