#pragma once

#include <LibCore/EnumNames.h>
#include <LibHttp/TransmitState.h>
#include <chrono>
#include <cstdint>
#include <optional>

namespace Http {

/// What a connection on which nothing is acknowledged tells of its peer.
enum class Silence : std::uint8_t {
    None,
    Unexplained, ///< For the limit nothing was acknowledged: the host may be silent for a while, or the connection lost.
    ConnectionLost, ///< The host answers new connections, and acknowledges nothing on this one.
};

inline constexpr Core::EnumNames<Silence, 3> silenceNames { {
    { Silence::None, "no silence" },
    { Silence::Unexplained, "its host acknowledges nothing" },
    { Silence::ConnectionLost, "its host acknowledges nothing, and answers new connections" },
} };

/// Decides from samples of a connection's state whether its peer's host has gone silent: for a time it has acknowledged nothing
/// although bytes waited for it and were sent again, or although it was probed. A host whose process does not read acknowledges the
/// probes that it is sent, and is not silent. Not thread-safe.
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

    /// Takes a sample. `hostAnsweredAt` is the latest time at which a new connection was begun that the host answered, or empty.
    /// Precondition: `now` is not before that of an earlier call.
    Silence sample(TransmitState const&, Time now, std::optional<Time> hostAnsweredAt = {});

private:
    void reset();
    bool isConnectionLost(std::uint32_t unanswered, Time now, std::chrono::milliseconds roundTrip, Time hostAnsweredAt);

    std::chrono::milliseconds m_limit;
    std::optional<Time> m_waitingSince; ///< Empty while all bytes and probes are acknowledged.
    std::optional<Time> m_suspectedSince; ///< The first sample that looks silent, behind the last acknowledgement.
    std::optional<std::uint32_t> m_unansweredThen; ///< What had no answer when the host first answered a new connection.
    std::optional<Time> m_lostSince; ///< The first sample that looks lost, behind the last acknowledgement.
    Time m_acknowledgedAt; ///< When the last acknowledgement came.
    std::uint32_t m_retransmissions { 0 }; ///< By the time of the last acknowledgement.
};

}
