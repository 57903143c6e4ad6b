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

/// Forwards TCP connections and can hold back either direction or cut all, so that tests see partitions
/// and connections that went silent. Paused bytes are kept and go on after `resume`; a connection made
/// while paused is accepted. Use from the thread of its io_context only.
class Forwarder final : public Api {
public:
    /// Binds `from`; connections go on to `to`. Errors: Unavailable when the address cannot be bound.
    static Core::Result<std::shared_ptr<Forwarder>> create(boost::asio::io_context&, boost::asio::ip::tcp::endpoint const& from, boost::asio::ip::tcp::endpoint to);

    /// Serves the admin listener: POST /pause {"direction":"both|forward|backward"}, /resume, /cut.
    boost::asio::awaitable<void> serve(Http::Request&, Http::ResponseWriter&) override;

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    void pause(bool forward, bool backward);
    void resume();
    /// Closes all connections; new ones are accepted.
    void cut();

private:
    struct Pair {
        boost::asio::ip::tcp::socket client;
        boost::asio::ip::tcp::socket server;
    };

    Forwarder(boost::asio::io_context&, boost::asio::ip::tcp::acceptor, boost::asio::ip::tcp::endpoint to);
    static boost::asio::awaitable<void> accept(std::shared_ptr<Forwarder>);
    static boost::asio::awaitable<void> connect(std::shared_ptr<Forwarder>, std::shared_ptr<Pair>);
    static boost::asio::awaitable<void> copy(std::shared_ptr<Forwarder>, std::shared_ptr<Pair>, bool isForward);
    Core::Result<void> command(std::string_view path, std::string_view body);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_to;
    std::list<std::weak_ptr<Pair>> m_pairs;
    bool m_isForwardPaused { false };
    bool m_isBackwardPaused { false };
    Signal m_changed;
};

}
