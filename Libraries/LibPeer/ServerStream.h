#pragma once

#include <LibCore/EnumNames.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace Peer {

struct ServerStreamState;

/// How a handler gives a stream up.
enum class ResetCode : std::uint8_t {
    Refused, ///< The handler vouches that the request did not run: the sender reads 'not run'.
    Canceled, ///< The sender reads 'may have run'.
    Internal, ///< A failure in this process; the sender reads 'may have run'.
};

inline constexpr Core::EnumNames<ResetCode, 3> resetCodeNames { {
    { ResetCode::Refused, "refused" },
    { ResetCode::Canceled, "canceled" },
    { ResetCode::Internal, "internal" },
} };

/// What became of bytes given to `ServerStream::send`.
enum class SendOutcome : std::uint8_t {
    Queued, ///< They will be sent, in order.
    Full, ///< Nothing was taken: wait for `onDrained`.
    Closed, ///< The stream is over.
};

inline constexpr Core::EnumNames<SendOutcome, 3> sendOutcomeNames { {
    { SendOutcome::Queued, "queued" },
    { SendOutcome::Full, "full" },
    { SendOutcome::Closed, "closed" },
} };

/// The answer to one request, at the receiver. A stream that is dropped before `end` or `reset` is reset as
/// Internal. Belongs to its server's thread; no method is thread-safe. All may be called inside its hooks.
class ServerStream {
public:
    explicit ServerStream(std::shared_ptr<ServerStreamState>);
    ~ServerStream();
    ServerStream(ServerStream const&) = delete;
    ServerStream& operator=(ServerStream const&) = delete;

    /// Sets the hook that is called once when the sender cancels or its connection is lost before the whole
    /// answer was given to the connection. It is forgotten when the stream is over.
    void setOnCanceled(std::function<void()>);
    /// Sets the hook that is called from the event loop when a queue that was full is half empty.
    void setOnDrained(std::function<void()>);

    /// Sends the status. Precondition: 200 <= status <= 599; called once, before `send` and `end`.
    void sendHead(int status);
    /// Queues a piece of the answer. A piece that alone exceeds `maxQueuedAnswerBytes` is taken by an empty queue.
    SendOutcome send(std::string_view bytes);
    /// Ends the answer when the queue is empty.
    void end();
    /// Gives up at once; queued bytes are dropped.
    void reset(ResetCode);
    /// Returns whether the stream can still carry bytes to the sender.
    bool isOpen() const;
    /// Returns how many bytes wait for the connection or the sender's window.
    std::size_t queuedBytes() const;

private:
    std::shared_ptr<ServerStreamState> m_state;
};

}
