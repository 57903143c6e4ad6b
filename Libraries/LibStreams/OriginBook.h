#pragma once

#include <LibStreams/OriginWindow.h>
#include <functional>
#include <mutex>

namespace Streams {

/// The origins of the streams that began lately at this daemon, or went on there. One per daemon. Thread-safe.
class OriginBook {
public:
    /// Sets how long a stream is remembered after an event of it was first delivered: longer than callers go on with one.
    void setLifetime(std::chrono::milliseconds);

    /// Sets what is called, by whichever thread notes a stream, when there are unreported streams and there were none. Precondition: no
    /// other thread uses the book yet.
    void setUnreportedHook(std::function<void()> onUnreported) { m_onUnreported = std::move(onUnreported); }

    /// Notes a stream, before its first event is delivered.
    void note(BegunStream const&, Time now);

    /// Returns the origin of a stream and when it was last noted; nothing if it is not known here.
    std::optional<OriginWindow::Entry> find(StreamKey) const;

    /// Returns the streams noted since the last call.
    std::vector<BegunStream> takeUnreported(Time now);

    /// Lets the next `takeUnreported` return all streams that are remembered.
    void reportAllAgain();

private:
    /// Some minutes of the streams that a daemon of the largest sites begins, in a few megabytes.
    static constexpr std::size_t capacity = std::size_t { 32 } * 1024;

    mutable std::mutex m_mutex;
    OriginWindow m_window { std::chrono::seconds(30), capacity };
    std::vector<BegunStream> m_unreported;
    std::function<void()> m_onUnreported { [] { } };
};

}
