#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Daemon {

/// Cuts a stream of server-sent events into whole events, each with the blank line that ends it (WHATWG
/// HTML, section 9.2). Not thread-safe.
class EventSplitter {
public:
    /// `eventLimit` is the size of the longest event, in bytes.
    explicit EventSplitter(std::size_t eventLimit)
        : m_eventLimit(eventLimit)
    {
    }

    /// Takes bytes in and returns the events that are whole now, in their order. Behind a problem the bytes are dropped and
    /// no further event is returned.
    std::vector<std::string> add(std::string_view bytes);

    /// Returns why an event cannot be passed on: it is too long, or a request that resumes the stream could not hold its id.
    /// Empty: all could.
    std::string_view problem() const { return m_problem; }

    /// Returns whether the event that ends an engine's stream, `data: [DONE]`, has passed.
    bool hasSeenDone() const { return m_hasSeenDone; }

    /// Returns whether bytes of an event that is not whole are left.
    bool hasPartialEvent() const { return !m_rest.empty(); }

private:
    std::size_t m_eventLimit;
    std::string m_rest;
    std::string_view m_problem;
    bool m_hasSeenDone { false };
};

/// Returns the value of an event's `id` field, or nothing. Thread-safe.
std::string_view eventId(std::string_view event);

/// Whether an event id comes behind another: by number where both are numbers, else when they differ. Thread-safe.
bool isBehind(std::string_view id, std::string_view other);

}
