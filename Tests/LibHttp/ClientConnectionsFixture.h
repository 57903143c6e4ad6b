#pragma once

#include <LibHttp/Client.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <gtest/gtest.h>

namespace ClientPeers {

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

/// A peer whose connections are served by a coroutine of the test, and a client, on one io_context.
class ClientConnections : public testing::Test {
protected:
    using Serve = std::function<Asio::awaitable<void>(std::shared_ptr<Tcp::socket>)>;

    void serve(Serve const& serve)
    {
        Asio::co_spawn(
            m_context, [this, serve]() -> Asio::awaitable<void> {
                while (true) {
                    std::shared_ptr<Tcp::socket> socket = std::make_shared<Tcp::socket>(co_await m_acceptor.async_accept(Asio::use_awaitable));
                    ++m_accepted;
                    Asio::co_spawn(
                        m_context, [serve, socket] { return serve(socket); }, [](std::exception_ptr const&) {});
                } },
            [](std::exception_ptr const&) {});
    }

    void run(std::function<Asio::awaitable<void>()> body)
    {
        Asio::co_spawn(m_context, std::move(body), [this](std::exception_ptr const& problem) {
            EXPECT_FALSE(problem);
            m_context.stop();
        });
        m_context.run();
    }

    Asio::awaitable<void> fetchTwice(std::string first, std::string second)
    {
        Core::Result<Http::Response> one = co_await m_client->fetch(m_endpoint, Http::Request());
        EXPECT_EQ(one.value().body, first);
        Core::Result<Http::Response> two = co_await m_client->fetch(m_endpoint, Http::Request());
        EXPECT_EQ(two.value().body, second);
    }

    static Asio::awaitable<void> readHead(Tcp::socket& socket)
    {
        std::string head;
        co_await Asio::async_read_until(socket, Asio::dynamic_buffer(head), "\r\n\r\n", Asio::use_awaitable);
    }

    static Asio::awaitable<void> answer(Tcp::socket& socket, std::string bytes)
    {
        co_await Asio::async_write(socket, Asio::buffer(bytes), Asio::use_awaitable);
    }

    ClientConnections()
    {
        // Small, so that a long body does not fit in what the kernel keeps for a peer that does not read.
        m_acceptor.set_option(Asio::socket_base::receive_buffer_size(16'384));
    }

    Asio::io_context m_context;
    Tcp::acceptor m_acceptor { m_context, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0) };
    Tcp::endpoint m_endpoint { m_acceptor.local_endpoint() };
    std::unique_ptr<Http::Client> m_client { Http::Client::create(m_context, {}) };
    int m_accepted { 0 };
};

}
