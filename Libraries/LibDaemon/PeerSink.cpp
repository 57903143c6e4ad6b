#include <LibDaemon/PeerSink.h>

namespace Daemon {

namespace {

constexpr int streamStatus = 200;

}

PeerSink::PeerSink(std::shared_ptr<Peer::ServerStream> stream, boost::asio::any_io_executor const& executor)
    : m_stream(std::move(stream))
    , m_drained(std::make_shared<Signal>(executor))
{
    m_stream->setOnDrained([drained = m_drained] { drained->notify(); });
    m_stream->sendHead(streamStatus);
}

boost::asio::awaitable<void> PeerSink::send(AnswerFrame frame)
{
    std::string bytes = encode(frame);
    while (m_stream->isOpen() && m_stream->send(bytes) == Peer::SendOutcome::Full)
        co_await m_drained->wait();
}

boost::asio::awaitable<void> PeerSink::head(Http::ResponseHead head)
{
    AnswerFrame frame(std::move(head));
    co_await send(std::move(frame));
}

boost::asio::awaitable<void> PeerSink::piece(std::uint64_t position, std::string bytes)
{
    AnswerFrame frame(ForwardedPiece { position, std::move(bytes) });
    co_await send(std::move(frame));
}

boost::asio::awaitable<void> PeerSink::finish(Request::Finish finish)
{
    AnswerFrame frame(std::move(finish));
    co_await send(std::move(frame));
    m_stream->end();
}

}
