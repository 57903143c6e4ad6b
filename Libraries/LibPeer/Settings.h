#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace Peer {

/// Limits and times of one side of the connections between daemons. Both sides may use the same ones.
struct Settings {
    std::string senderName; ///< This daemon's name, sent with each request.
    std::uint64_t senderIncarnation { 0 }; ///< This process's incarnation, sent with each request.

    std::size_t maxRequestBytes { 16U << 20U }; ///< Largest request body; a larger one is not run.
    std::size_t maxReplyBytes { 16U << 20U }; ///< Largest reply that `call` collects.
    std::size_t maxBufferedRequestBytes { 64U << 20U }; ///< Incomplete request bodies of a whole server.
    std::size_t maxQueuedAnswerBytes { 256U << 10U }; ///< What `ServerStream::send` queues per stream.
    std::uint32_t streamWindowBytes { 256U << 10U }; ///< Flow control window of a stream.
    std::uint32_t connectionWindowBytes { 16U << 20U }; ///< Flow control window of a connection.
    std::uint32_t maxStreamsPerConnection { 4096 }; ///< What a server takes at once on one connection.
    std::size_t maxOpenStreams { 8192 }; ///< What a client holds at once, waiting ones included.

    std::chrono::milliseconds connectTimeout { 1000 };
    std::chrono::milliseconds heartbeatInterval { 1000 }; ///< Between PINGs while streams are open.
    std::chrono::milliseconds heartbeatTimeout { 1500 }; ///< A PING unanswered for this long means silence.
    std::chrono::milliseconds idleTimeout { 60000 }; ///< A client closes a connection unused for this long.
};

}
