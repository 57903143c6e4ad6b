#pragma once

#include <LibCore/Result.h>
#include <LibHttp/Message.h>
#include <LibRequest/AnswerStore.h>
#include <LibRequest/RequestAction.h>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Daemon {

/// A caller's request on its way to the home of its ticket, or a wish to collect a kept answer there.
struct ForwardedRequest {
    Http::Request request;
    std::string requestId;
    Request::AnswerOffset from; ///< Where the answer goes on.
    bool isCollection { false };
};

/// A piece of an answer between daemons.
struct ForwardedPiece {
    std::uint64_t position { 0 };
    std::string bytes;
};

/// One part of an answer between daemons: its head, a piece or its end.
using AnswerFrame = std::variant<Http::ResponseHead, ForwardedPiece, Request::Finish>;

/// Returns the bytes of a forwarded request. Thread-safe.
std::string encode(ForwardedRequest const&);

/// Reads a forwarded request. Errors: Corrupt, not run. Thread-safe.
Core::Result<ForwardedRequest> decodeForwardedRequest(std::string_view bytes);

/// Returns the bytes of a frame with its size before them. Thread-safe.
std::string encode(AnswerFrame const&);

/// Cuts a stream of bytes into frames. Not thread-safe.
class FrameReader {
public:
    /// Takes bytes in and returns the frames that are whole now. Errors: Corrupt, may have run.
    Core::Result<std::vector<AnswerFrame>> add(std::string_view bytes);

private:
    std::string m_rest;
};

}
