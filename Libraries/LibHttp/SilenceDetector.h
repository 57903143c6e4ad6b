#pragma once

#include <LibHttp/TransmitState.h>
#include <chrono>
#include <cstdint>
#include <optional>

namespace Http {

/// Decides from samples of a connection's state whether its peer's host has gone silent: for a time it has acknowledged nothing
/// although bytes waited for it and were sent again. A host whose process does not read acknowledges the window probes that it is
/// sent, and is not silent. Not thread-safe.
class SilenceDetector {
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit SilenceDetector(std::chrono::milliseconds limit)
        : m_limit(limit)
    {
    }

    /// Notes that bytes are handed to the connection.
    void noteWrite(Time now)
    {
        if (!m_waitingSince)
            m_waitingSince = now;
    }

    /// Takes a sample. Precondition: `now` is not before that of an earlier call.
    bool isSilent(TransmitState const&, Time now);

private:
    std::chrono::milliseconds m_limit;
    std::optional<Time> m_waitingSince; ///< Empty while all bytes are acknowledged.
    std::optional<Time> m_suspectedSince; ///< The first sample that looks silent, behind the last acknowledgement.
    Time m_acknowledgedAt; ///< When the last acknowledgement came.
    std::uint32_t m_retransmissions { 0 }; ///< By the time of the last acknowledgement.
};

}
