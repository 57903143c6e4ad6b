#pragma once

#include <LibCore/Result.h>
#include <LibStandIn/EngineCore.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace StandIn {

/// A request body of the engines' usual interface, read.
struct Completion {
    bool isChat { false };
    bool isStreamed { false };
    std::string model;
    std::string prompt; ///< What the answer is a function of, see `expectedText`.
    std::uint64_t maximumTokens { 16 };
};

/// Reads a body of `/v1/completions` or, with `isChat`, `/v1/chat/completions`. A chat's prompt is, for each
/// message, its role, ": ", its content and a line feed. Error: BadInput names the field. Thread-safe.
Core::Result<Completion> parseCompletion(std::string_view body, bool isChat);

/// Writes the answers of one request, whole or as server-sent events. Thread-safe.
class CompletionWriter {
public:
    CompletionWriter(bool isChat, std::string const& id, std::string const& model);

    /// Returns event `index` of a stream. Event n < `maximumTokens` is token n; the next one tells why the
    /// answer ended and its usage; the last one is `[DONE]`. Precondition: `index < eventCount(stream)`.
    std::string event(EngineStream const&, std::uint64_t index) const;

    /// Returns how many events of the stream there are so far.
    static std::uint64_t eventCount(EngineStream const&);

    /// Returns the body of an answer that is not streamed. Precondition: it is finished.
    std::string whole(EngineStream const&) const;

private:
    bool m_isChat;
    std::string m_chunkHead;
    std::string m_wholeHead;
};

}
