#pragma once

#include <LibCore/Result.h>
#include <LibPeer/ClientStream.h>
#include <LibPeer/Settings.h>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace Peer {

class ClientState;

/// What a client has counted since it was created.
struct ClientCounters {
    std::uint64_t opened { 0 }; ///< Streams that were asked for.
    std::uint64_t notRun { 0 }; ///< Streams that failed and certainly did not run.
    std::uint64_t mayHaveRun { 0 }; ///< Streams that failed and may have run.
    std::uint64_t connects { 0 }; ///< Connections that were established.
    std::uint64_t silences { 0 }; ///< Connections that were dropped because a PING was not answered.
};

/// Streams to one other daemon. It connects when the first stream is opened, again after a loss, and keeps
/// one connection for new streams; one that is going away lives on until its last stream has ended.
/// Belongs to the thread that runs the `io_context`; no method is thread-safe. Destruction closes all
/// connections and calls no hook; it is allowed inside a hook.
class Client {
public:
    /// Creates a client that is not connected yet. Fails with BadInput when a time or window is zero.
    static Core::Result<std::shared_ptr<Client>> create(boost::asio::io_context&, boost::asio::ip::tcp::endpoint, Settings const&);
    ~Client();
    Client(Client const&) = delete;
    Client& operator=(Client const&) = delete;

    /// Sends a request. The hooks are called on the client's thread, never from inside this call: `onHead`
    /// once, `onData` any number of times, then `onEnd` once. The error of `onEnd` tells by its verdict
    /// whether the request may have run: 'not run' when the end of the body was never given to a
    /// connection, or when the other side refused the stream (REFUSED_STREAM, or GOAWAY with a lower
    /// number). The request goes on when the returned handle is dropped.
    std::shared_ptr<ClientStream> open(std::string path, std::string body, StreamHooks);
    /// Returns what was counted so far.
    ClientCounters const& counters() const;
    /// Returns the address of the other daemon.
    boost::asio::ip::tcp::endpoint const& endpoint() const;
    /// Returns the settings given to `create`.
    Settings const& settings() const;
    /// Returns the number of streams that have not ended, waiting ones included.
    std::size_t openStreams() const;

private:
    explicit Client(std::shared_ptr<ClientState>);

    std::shared_ptr<ClientState> m_state;
};

}
