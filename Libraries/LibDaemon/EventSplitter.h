#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Daemon {

/// Cuts a stream of server-sent events into whole events, each with the blank line that ends it (WHATWG
/// HTML, section 9.2). Not thread-safe.
class EventSplitter {
public:
    /// Takes bytes in and returns the events that are whole now, in their order.
    std::vector<std::string> add(std::string_view bytes);

    /// Returns whether the event that ends an engine's stream, `data: [DONE]`, has passed.
    bool hasSeenDone() const { return m_hasSeenDone; }

    /// Returns whether bytes of an event that is not whole are left.
    bool hasPartialEvent() const { return !m_rest.empty(); }

private:
    std::string m_rest;
    bool m_hasSeenDone { false };
};

/// Returns the value of an event's `id` field, or nothing. Thread-safe.
std::string_view eventId(std::string_view event);

/// Whether an event id comes behind another: by number where both are numbers, else when they differ. Thread-safe.
bool isBehind(std::string_view id, std::string_view other);

}
