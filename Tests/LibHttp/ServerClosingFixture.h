#pragma once

#include <LibHttp/Server.h>
#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <gtest/gtest.h>
#include <optional>
#include <set>
#include <sys/socket.h>
#include <thread>

namespace ServerClosingTest {

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;
using namespace std::chrono_literals;

inline constexpr std::size_t callersAtOnce = 300;

inline Http::Response rejection(Http::Status status, std::string_view message)
{
    return Http::Response { static_cast<std::uint16_t>(status), {}, std::string(message) };
}

inline std::string headOf(std::string const& id, std::size_t bodySize = 0)
{
    return "POST /" + id + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bodySize) + "\r\n\r\n";
}

/// A caller with blocking reads and writes on one connection.
class Caller {
public:
    explicit Caller(Tcp::endpoint const& endpoint, int receiveBuffer = 0)
    {
        m_socket.open(endpoint.protocol());
        if (receiveBuffer > 0)
            m_socket.set_option(Asio::socket_base::receive_buffer_size(receiveBuffer));
        m_socket.connect(endpoint);
        m_socket.set_option(Tcp::no_delay(true));
        timeval patience { 20, 0 };
        ::setsockopt(m_socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    }

    void write(std::string const& bytes)
    {
        // A connection that the server has closed takes none.
        std::size_t n = 0;
        while (n < bytes.size()) {
            ssize_t written = ::send(m_socket.native_handle(), bytes.data() + n, bytes.size() - n, MSG_NOSIGNAL);
            if (written <= 0)
                return;
            n += static_cast<std::size_t>(written);
        }
    }

    /// Reads one answer with a length. Returns nothing if the connection ends before it is whole.
    std::optional<std::string> readAnswer()
    {
        constexpr std::string_view length = "Content-Length: ";
        constexpr std::string_view headEnd = "\r\n\r\n";
        while (true) {
            std::size_t end = m_received.find(headEnd);
            if (end != std::string::npos) {
                std::size_t at = m_received.find(length);
                std::size_t size = end + headEnd.size() + (at < end ? std::stoul(m_received.substr(at + length.size())) : 0);
                if (m_received.size() >= size) {
                    std::string answer = m_received.substr(0, size);
                    m_received.erase(0, size);
                    return answer;
                }
            }
            if (!readSome())
                return std::nullopt;
        }
    }

    /// Ends the sending side; the other one stays open.
    void endSending() { ::shutdown(m_socket.native_handle(), SHUT_WR); }

    /// Reads until `text` has come. Returns false if the connection ends before.
    bool readUntil(std::string const& text)
    {
        while (m_received.find(text) == std::string::npos) {
            if (!readSome())
                return false;
        }
        m_received.erase(0, m_received.find(text) + text.size());
        return true;
    }

private:
    bool readSome()
    {
        std::array<char, 4'096> buf;
        ssize_t n = ::recv(m_socket.native_handle(), buf.data(), buf.size(), 0);
        if (n <= 0)
            return false;
        m_received.append(buf.data(), static_cast<std::size_t>(n));
        return true;
    }

    Asio::io_context m_context;
    Tcp::socket m_socket { m_context };
    std::string m_received;
};

/// A server on a thread of its own.
class ServerClosing : public testing::Test {
protected:
    ~ServerClosing() override { end(); }

    void start(Http::Handler handler, Http::ServerSettings settings = {})
    {
        m_handled.clear();
        m_context.restart();
        m_guard.emplace(m_context.get_executor());
        m_server = Http::Server::create(m_context, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0), settings, std::move(handler), rejection).value();
        m_server->start();
        m_endpoint = Tcp::endpoint(Asio::ip::address_v4::loopback(), m_server->port());
        m_thread = std::thread([this] { m_context.run(); });
    }

    void end()
    {
        if (!m_thread.joinable())
            return;
        m_context.stop();
        m_thread.join();
        m_server.reset();
        m_guard.reset();
    }

    void post(std::function<void()> function) { Asio::post(m_context, std::move(function)); }

    /// Keeps the server's thread busy for this long, and returns once it is.
    void keepBusy(std::chrono::milliseconds time)
    {
        std::promise<void> isBusy;
        post([&isBusy, time] {
            isBusy.set_value();
            std::this_thread::sleep_for(time);
        });
        isBusy.get_future().wait();
    }

    std::size_t countOpen()
    {
        std::promise<std::size_t> connections;
        post([&] { connections.set_value(m_server->openConnections()); });
        return connections.get_future().get();
    }

    Asio::awaitable<void> answerLater(Http::Request& request, Http::ResponseWriter& writer)
    {
        m_handled.insert(request.target);
        Asio::steady_timer timer(m_context, 5ms);
        boost::system::error_code ec;
        co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
        Http::Response response;
        response.body = request.target;
        std::ignore = co_await writer.send(std::move(response));
    }

    Http::Handler answeringLater()
    {
        return [this](Http::Request& request, Http::ResponseWriter& writer) { return answerLater(request, writer); };
    }

    std::vector<std::unique_ptr<Caller>> keptConnections(std::size_t count)
    {
        std::vector<std::unique_ptr<Caller>> callers;
        for (std::size_t n = 0; n < count; ++n) {
            callers.push_back(std::make_unique<Caller>(m_endpoint));
            callers.back()->write(headOf("first-" + std::to_string(n)));
        }
        for (std::unique_ptr<Caller> const& caller : callers)
            EXPECT_TRUE(caller->readAnswer());
        return callers;
    }

    /// Sends a request on each of many kept connections while the server is told to stop. Returns how many requests were
    /// handled although their callers got no answer. Expects that all are answered: the server leaves them the time.
    std::size_t countUnansweredAroundStop(std::size_t bodySize)
    {
        start(answeringLater());
        std::vector<std::unique_ptr<Caller>> callers = keptConnections(callersAtOnce);
        std::atomic<std::size_t> sent { 0 };
        std::thread stopper([&] {
            while (sent < callersAtOnce / 3)
                std::this_thread::yield();
            post([this] { m_server->stop(); });
        });
        for (std::size_t n = 0; n < callers.size(); ++n) {
            callers[n]->write(headOf("last-" + std::to_string(n), bodySize));
            if (bodySize > 0)
                callers[n]->write(std::string(bodySize, 'x'));
            ++sent;
        }
        stopper.join();
        std::set<std::string> unanswered;
        for (std::size_t n = 0; n < callers.size(); ++n) {
            if (!callers[n]->readAnswer())
                unanswered.insert("/last-" + std::to_string(n));
        }
        end();
        EXPECT_TRUE(unanswered.empty()) << unanswered.size() << " have no answer";
        return static_cast<std::size_t>(std::count_if(unanswered.begin(), unanswered.end(), [&](std::string const& it) { return m_handled.contains(it); }));
    }

    Asio::io_context m_context { 1 };
    std::optional<Asio::executor_work_guard<Asio::io_context::executor_type>> m_guard;
    std::unique_ptr<Http::Server> m_server;
    Tcp::endpoint m_endpoint;
    std::set<std::string> m_handled; ///< Targets of requests; of the server's thread until `end`.
    std::thread m_thread;
};

}
