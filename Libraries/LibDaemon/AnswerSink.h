#pragma once

#include <LibHttp/Message.h>
#include <LibRequest/RequestAction.h>
#include <boost/asio/awaitable.hpp>
#include <string>

namespace Daemon {

/// Where the answer of a request goes: to its caller's connection, to the store of kept answers, or to the
/// daemon that forwarded the request. Called by one coroutine, in the order head, pieces, finish.
class AnswerSink {
public:
    virtual ~AnswerSink() = default;

    /// Takes the head of the target's answer.
    virtual boost::asio::awaitable<void> head(Http::ResponseHead) = 0;

    /// Takes the next piece of the answer. `position` is its index from 0 where a target's answer comes in, and the
    /// byte offset behind it where a kept answer is read.
    virtual boost::asio::awaitable<void> piece(std::uint64_t position, std::string bytes) = 0;

    /// Takes the end; without an error the answer is whole.
    virtual boost::asio::awaitable<void> finish(Request::Finish) = 0;

    /// Notes how many bytes of the answer have come in and wait for the sink.
    virtual void noteQueued(std::size_t) { }

    /// Returns whether nobody is left to take the answer, so that work for it should end.
    virtual bool isAbandoned() const { return false; }
};

}
