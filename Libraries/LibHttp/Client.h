#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Result.h>
#include <LibHttp/Message.h>
#include <LibHttp/SocketLiveness.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <optional>

namespace Http {

/// What becomes of an exchange when its server's host acknowledges nothing any more.
enum class OnSilence : std::uint8_t {
    Fail, ///< For what may be sent again elsewhere.
    Wait, ///< Until the host answers new connections and still nothing on this one, or until a timeout.
};

/// How long a client waits at each step, and for how long an unused connection is kept.
struct ClientSettings {
    std::chrono::milliseconds connectTimeout { 1'000 };
    std::chrono::milliseconds writeTimeout { 5'000 };
    std::chrono::milliseconds headTimeout { 30'000 }; ///< From the end of the request to the response's head.
    std::chrono::milliseconds pieceTimeout { 10'000 }; ///< Between two pieces of the body.
    std::chrono::milliseconds keepTime { 20'000 }; ///< For an unused connection; less where the server announces less.
    std::size_t keptPerEndpoint { 64 };
    std::size_t idsPerConnection { 512 }; ///< Then a connection, which remembers the ids of all its requests, is closed.
    std::size_t skippedLimit { 16 * 1024 * 1024 }; ///< Bytes of the body of a response to another request, which is read and dropped.
    SocketLiveness liveness; ///< When a connection counts as silent.
    OnSilence onSilence { OnSilence::Wait };
    std::optional<boost::asio::ip::address> localAddress; ///< Connections are made from it; empty: the kernel chooses.
};

/// One request and its response on a connection of its own. Use from the client's thread only.
/// When the response was read to its end the connection is kept for reuse; otherwise it is closed.
class Exchange {
public:
    virtual ~Exchange() = default;

    /// Writes the request and reads the head of the final response; interim ones are dropped. Precondition: called once, before all below.
    /// Errors: BadInput, NotRun (a field or the target that no message can hold); those of `Client::open`.
    virtual boost::asio::awaitable<Core::Result<void>> start(Request const&) = 0;

    /// Returns the response's head. Precondition: `start` succeeded.
    virtual ResponseHead const& head() const = 0;

    /// Returns the next piece of the body, or nothing at its end. A body without framing is whole only if the server closed the connection.
    /// Errors: Timeout after silence, Unavailable when the connection breaks before the end, Canceled.
    virtual boost::asio::awaitable<Core::Result<std::optional<std::string>>> read() = 0;

    /// Reads the present response to its end, drops it, and reads the head of the next one: for a response that
    /// belongs to an earlier request on this connection. Precondition: `start` succeeded and `read` was not called.
    /// Errors: as `start`; Unavailable if the end of the present response cannot be known or is too far away.
    virtual boost::asio::awaitable<Core::Result<void>> skipResponse() = 0;

    /// Sets the time that `start` waits for the response's head.
    virtual void setHeadTimeout(std::chrono::milliseconds) = 0;

    /// Sets the time that `read` waits for a piece.
    virtual void setPieceTimeout(std::chrono::milliseconds) = 0;

    /// Sets what a silence of the server's host does, in place of the client's setting.
    virtual void setOnSilence(OnSilence) = 0;

    /// Whether its connection was kept from an earlier exchange.
    virtual bool isOnKeptConnection() const = 0;

    /// Returns how many bytes of the request the server's host has not acknowledged; 0 when that is not known.
    virtual std::size_t unacknowledgedBytes() const = 0;

    /// Closes the connection; a waiting `start` or `read` returns Canceled.
    virtual void cancel() = 0;
};

/// Lets somebody else end an `open` that is still waiting. Use from the client's thread only.
struct CancelSlot {
    std::function<void()> cancel; ///< Set while there is something to cancel.
    bool isCanceled { false };

    /// Ends the operation now, or as soon as it starts.
    void trigger()
    {
        isCanceled = true;
        if (cancel)
            cancel();
    }
};

/// Whether an exchange may use a connection kept from an earlier one. A kept connection may have been
/// closed by the other side meanwhile, which leaves a doubt about the request: requests that may not be
/// repeated take a fresh one.
enum class ConnectionChoice : std::uint8_t { Kept,
    Fresh };

/// What a new connection to an endpoint came to.
enum class Reach : std::uint8_t {
    Reached,
    Refused, ///< The host answers, and nothing listens there.
    Unknown, ///< No answer, or another failure.
};

inline constexpr Core::EnumNames<Reach, 3> reachNames { {
    { Reach::Reached, "reached" },
    { Reach::Refused, "refused" },
    { Reach::Unknown, "unknown" },
} };

/// An HTTP/1.1 client with a pool of connections, on one io_context that one thread runs.
/// Errors carry the verdict: NotRun until the first byte was written, MayHaveRun after.
/// Thread safety: use from that thread only.
class Client {
public:
    /// Creates a client; nothing is opened yet. Precondition: the io_context outlives it.
    static std::unique_ptr<Client> create(boost::asio::io_context&, ClientSettings const&);

    virtual ~Client() = default;

    /// Connects, or takes a kept connection, and writes nothing yet. `requestId` is the id that the server repeats in its
    /// response: one connection carries it once, so that a late copy of the response to an earlier send is never taken for
    /// that to this one. Empty: the response is known by its position alone.
    /// Errors, all NotRun: Unavailable, Timeout, Canceled.
    virtual boost::asio::awaitable<Core::Result<std::unique_ptr<Exchange>>> connect(boost::asio::ip::tcp::endpoint, ConnectionChoice, std::shared_ptr<CancelSlot> = nullptr, std::string requestId = {}) = 0;

    /// Finds out whether anything listens at an endpoint, with a new connection that the next exchange uses.
    virtual boost::asio::awaitable<Reach> reach(boost::asio::ip::tcp::endpoint) = 0;

    /// Connects, sends a request and reads the response's head.
    /// Errors: Unavailable (cannot connect, connection broke, improper response), Timeout, Canceled.
    virtual boost::asio::awaitable<Core::Result<std::unique_ptr<Exchange>>> open(boost::asio::ip::tcp::endpoint, Request, ConnectionChoice, std::shared_ptr<CancelSlot> = nullptr) = 0;

    /// Sends a request and reads the whole response, of `bodyLimit` bytes at most.
    virtual boost::asio::awaitable<Core::Result<Response>> fetch(boost::asio::ip::tcp::endpoint, Request, std::size_t bodyLimit = 16 * 1024 * 1024) = 0;
};

/// Reads the rest of a response, of `bodyLimit` bytes at most. Precondition: the exchange was started.
boost::asio::awaitable<Core::Result<Response>> readWhole(Exchange&, std::size_t bodyLimit);

/// Reads "IP:PORT" or "[IPv6]:PORT". Errors: BadInput, naming what was read. Thread-safe.
Core::Result<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text);

/// Returns the form that `parseEndpoint` reads. Thread-safe.
std::string toString(boost::asio::ip::tcp::endpoint const&);

}
