#pragma once

#include <LibDaemon/AnswerSink.h>
#include <LibDaemon/PeerMessages.h>
#include <LibDaemon/Signal.h>
#include <LibPeer/Clients.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>

namespace Daemon {

/// Carries one request to the home of its ticket and its answer back. The home runs a ticket's request once at
/// most and keeps the answer, so the forwarder may ask again after a broken stream: it goes on from the byte that
/// it has reached. Only the home may say 'not run'. Use from its thread only.
class HomeForwarder {
public:
    /// Preconditions: context and clients outlive the object.
    HomeForwarder(boost::asio::io_context&, Peer::Clients&, boost::asio::ip::tcp::endpoint home, std::chrono::steady_clock::time_point deadline);

    /// Delivers the whole answer, or an error, to the sink.
    boost::asio::awaitable<void> run(ForwardedRequest, AnswerSink&);

    /// Gives up waiting: the caller is gone. The request goes on at its home.
    void cancel();

private:
    struct Incoming;
    boost::asio::awaitable<bool> runOnce(ForwardedRequest const&, AnswerSink&);
    boost::asio::awaitable<bool> deliver(AnswerFrame, AnswerSink&);
    boost::asio::awaitable<void> wait(std::chrono::milliseconds);

    boost::asio::io_context& m_context;
    Peer::Clients& m_clients;
    boost::asio::ip::tcp::endpoint m_home;
    std::chrono::steady_clock::time_point m_deadline;
    std::shared_ptr<Signal> m_signal;
    std::uint64_t m_deliveredBytes { 0 }; ///< Offset in the answer behind the last piece; 0: none came.
    bool m_isHeadDelivered { false };
    bool m_isCanceled { false };
    Core::Error m_lastError;
};

}
