#pragma once

#include <LibStreams/StreamOrigin.h>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Streams {

/// The origins of streams that began lately. A stream that is noted with two origins has an unknown one from then on.
/// Bounded: beyond `capacity` the oldest is forgotten. Does no I/O and is not thread-safe.
class OriginWindow {
public:
    struct Entry {
        StreamOrigin origin;
        Time notedAt; ///< The last time.
    };

    /// Preconditions: both are above 0.
    OriginWindow(std::chrono::milliseconds lifetime, std::size_t capacity)
        : m_lifetime(lifetime)
        , m_capacity(capacity)
    {
    }

    /// Streams are forgotten so long after they were last noted.
    void setLifetime(std::chrono::milliseconds lifetime) { m_lifetime = lifetime; }

    /// Notes a stream, or that it goes on. Returns whether anything but the time is new.
    bool note(BegunStream const&, Time now);

    /// Forgets the streams whose time has passed. Returns whether there were any.
    bool expire(Time now);

    std::optional<Entry> find(StreamKey) const;

    /// Returns all streams.
    std::vector<BegunStream> streams() const;

    std::size_t size() const { return m_streams.size(); }

private:
    struct Noted {
        StreamKey key { 0 };
        Time at;
        std::uint64_t number { 0 };
    };
    struct Stream {
        Entry entry;
        std::uint64_t lastNumber { 0 }; ///< Of the last time that it was noted.
    };

    void forget(Noted const&);

    std::chrono::milliseconds m_lifetime;
    std::size_t m_capacity;
    std::unordered_map<StreamKey, Stream> m_streams;
    std::deque<Noted> m_order; ///< Each time that a stream was noted, the oldest first.
    std::uint64_t m_lastNumber { 0 };
};

}
