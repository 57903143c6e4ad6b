#pragma once

#include <LibDaemon/AnswerSink.h>
#include <LibDaemon/PeerMessages.h>
#include <LibDaemon/Signal.h>
#include <LibPeer/ServerStream.h>
#include <memory>

namespace Daemon {

/// Sends an answer to the daemon that forwarded its request. Use from the peer server's thread only.
class PeerSink final : public AnswerSink {
public:
    PeerSink(std::shared_ptr<Peer::ServerStream>, boost::asio::any_io_executor const&);

    boost::asio::awaitable<void> head(Http::ResponseHead) override;
    boost::asio::awaitable<void> piece(std::uint64_t position, std::string bytes) override;
    boost::asio::awaitable<void> finish(Request::Finish) override;

private:
    boost::asio::awaitable<void> send(AnswerFrame);

    std::shared_ptr<Peer::ServerStream> m_stream;
    std::shared_ptr<Signal> m_drained;
};

}
