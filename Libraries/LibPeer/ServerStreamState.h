#pragma once

#include <LibPeer/ServerStream.h>
#include <LibPeer/Session.h>
#include <boost/asio/any_io_executor.hpp>

namespace Peer {

/// What a `ServerStream` and its connection share. Internal to LibPeer; not thread-safe.
struct ServerStreamState : public std::enable_shared_from_this<ServerStreamState> {
    /// nghttp2's read callback for the answer; `source->ptr` is the state.
    static ssize_t read(nghttp2_session*, std::int32_t, std::uint8_t* buf, std::size_t size, std::uint32_t* flags, nghttp2_data_source* source, void*);
    /// Tells nghttp2 that there is more to send.
    void resume();
    std::size_t queuedBytes() const { return queue.size() - queueStart; }

    boost::asio::any_io_executor executor;
    std::weak_ptr<Session> session;
    std::int32_t id { 0 };
    std::size_t maxQueuedBytes { 0 };
    std::string queue;
    std::size_t queueStart { 0 };
    bool isHeadSent { false };
    bool isEnded { false };
    bool isEndSent { false };
    bool isOver { false };
    bool wasFull { false };
    std::function<void()> onCanceled;
    std::function<void()> onDrained;
};

}
