#pragma once

#include <LibCore/Result.h>
#include <LibHttp/Message.h>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string_view>

namespace Http {

/// The server's side of one exchange, given to the handler. Either `send` once, or `begin`, any number
/// of `write` and then `finish`. Errors mean that the caller is gone. Use from the server's thread only.
class ResponseWriter {
public:
    virtual ~ResponseWriter() = default;

    /// Sends a whole response. Precondition: nothing was sent yet.
    virtual boost::asio::awaitable<Core::Result<void>> send(Response) = 0;

    /// Sends the head of a streamed response. Precondition: nothing was sent yet.
    virtual boost::asio::awaitable<Core::Result<void>> begin(ResponseHead) = 0;

    /// Sends a piece of the body. Preconditions: `begin` succeeded; the bytes live until it completes.
    virtual boost::asio::awaitable<Core::Result<void>> write(std::string_view) = 0;

    /// Ends a streamed response so that the caller sees it as whole. Precondition: `begin` succeeded.
    virtual boost::asio::awaitable<Core::Result<void>> finish() = 0;

    /// Closes the connection so that the caller sees a streamed response as broken.
    virtual void abort() = 0;

    /// Calls `hook` at most once, from the server's thread, when the caller closes the connection while
    /// the handler runs. An empty hook ends the watch.
    virtual void onCallerGone(std::function<void()> hook) = 0;

    /// Returns whether the caller has closed the connection by now, noticed by a watch or not.
    virtual bool isCallerGone() const = 0;

    /// Returns whether any part of the response has been handed to the connection.
    virtual bool hasBegun() const = 0;
};

}
