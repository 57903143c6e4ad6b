#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <memory>

namespace PeerTest {

/// Forwards TCP connections, and can fall silent on those that it has: bytes are then taken and lost, as by
/// a device that has forgotten the connection. New connections go on working.
class Forwarder {
public:
    Forwarder(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint to)
        : m_context(context)
        , m_to(std::move(to))
        , m_acceptor(context, { boost::asio::ip::address_v4::loopback(), 0 })
    {
        accept();
    }

    boost::asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
    int accepted() const { return m_accepted; }
    /// Loses all bytes of the present connections, in the chosen directions.
    void silence(bool towardsServer = true, bool towardsClient = true)
    {
        m_generation->losesToServer |= towardsServer;
        m_generation->losesToClient |= towardsClient;
        m_generation = std::make_shared<Generation>();
    }

private:
    using Socket = boost::asio::ip::tcp::socket;

    /// The connections between two calls of `silence`.
    struct Generation {
        bool losesToServer { false };
        bool losesToClient { false };
    };

    struct Pair {
        Pair(Socket fromClient, boost::asio::io_context& context)
            : client(std::move(fromClient))
            , server(context)
        {
        }
        Socket client;
        Socket server;
        std::array<char, 65536> up {};
        std::array<char, 65536> down {};
    };

    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, Socket socket) {
            if (ec)
                return;
            ++m_accepted;
            std::shared_ptr<Pair> const pair = std::make_shared<Pair>(std::move(socket), m_context);
            pair->server.async_connect(m_to, [pair, generation = m_generation](boost::system::error_code connectError) {
                if (connectError)
                    return;
                pump(pair, pair->client, pair->server, pair->up, generation, &Generation::losesToServer);
                pump(pair, pair->server, pair->client, pair->down, generation, &Generation::losesToClient);
            });
            accept();
        });
    }

    static void pump(std::shared_ptr<Pair> const& pair, Socket& from, Socket& to, std::array<char, 65536>& buf, std::shared_ptr<Generation> const& generation, bool Generation::* loses)
    {
        from.async_read_some(boost::asio::buffer(buf), [pair, &from, &to, &buf, generation, loses](boost::system::error_code ec, std::size_t n) {
            boost::system::error_code ignored;
            if (ec && !(generation.get()->*loses))
                to.close(ignored);
            if (ec)
                return;
            if (generation.get()->*loses) {
                pump(pair, from, to, buf, generation, loses);
                return;
            }
            boost::asio::async_write(to, boost::asio::buffer(buf.data(), n), [pair, &from, &to, &buf, generation, loses](boost::system::error_code writeError, std::size_t) {
                if (!writeError)
                    pump(pair, from, to, buf, generation, loses);
            });
        });
    }

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::endpoint m_to;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::shared_ptr<Generation> m_generation { std::make_shared<Generation>() };
    int m_accepted { 0 };
};

}
