#pragma once

#include "Fleet.h"

#include <LibHttp/Message.h>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace Processes {

/// A target in the test's own process that answers with bytes as they are. Its answers are made on threads of its own.
class RawTarget {
public:
    /// What follows an answer.
    enum class Then : std::uint8_t {
        Keep, ///< The connection waits for the next request.
        Close, ///< FIN.
        Reset, ///< RST.
    };

    struct Answer {
        std::string bytes;
        Then then { Then::Keep };
        std::string late {}; ///< Written this much later, when the next request may be on its way already; empty: nothing is.
        std::chrono::milliseconds lateBy { 0 };
        std::string endless {}; ///< Written again and again behind the bytes, until the other side closes; empty: nothing is.
    };

    /// Answers one request: the `number`th on its connection, from 0 on.
    using Respond = std::function<Answer(Http::Request const&, std::size_t number)>;

    explicit RawTarget(Respond);
    ~RawTarget();
    RawTarget(RawTarget const&) = delete;
    RawTarget& operator=(RawTarget const&) = delete;

    /// Returns its entry for the store. `role` is empty for a plain service.
    std::string entry(std::string const& service, std::string const& role = {}, std::string const& release = {}) const;

    /// Drops a share of all that arrives from now on, at its listener too: with 1 its host is silent. Thread-safe.
    void setLoss(double share);

    /// How many requests it has read whole. Thread-safe.
    std::size_t requests() const { return m_requests; }

    /// How many bytes of endless answers the other sides and the kernel have taken. Thread-safe.
    std::size_t endlessBytes() const { return m_endlessBytes; }

    /// Returns a whole answer to a request, as sound targets give it.
    static std::string soundAnswer(Http::Request const&, std::string const& body);
    /// Returns the head of a whole answer that comes in chunks, and of one that is a stream.
    static std::string chunkedHead(std::string const& requestId, std::string const& contentType = "text/plain");
    static std::string chunkOf(std::string const& bytes);

private:
    using Socket = boost::asio::ip::tcp::socket;

    void accept();
    void serve(Socket&);

    Respond m_respond;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_requests { 0 };
    std::atomic<std::size_t> m_endlessBytes { 0 };
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    double m_loss { 0 };
    std::list<Socket> m_sockets;
    std::list<std::thread> m_threads;
    std::thread m_acceptThread;
};

}
