#pragma once

#include <LibCore/EnumNames.h>
#include <LibStreams/StreamOrigin.h>
#include <chrono>
#include <functional>
#include <optional>

namespace Daemon {

/// Asks at which release a stream began that a caller resumes.
struct OriginQuestion {
    std::optional<Streams::StreamKey> stream; ///< Empty: the caller does not name the stream.
    std::string service;
    bool needsRecord { false }; ///< The route draws among services, so that only a record of the stream tells.
};

/// How the origin of a stream is known.
enum class OriginSource : std::uint8_t {
    Answer, ///< This answer holds its first events.
    Memory, ///< It began at this daemon, or at one whose streams this daemon records.
    Peer, ///< The daemon that passed the request on has told it.
    OnlyRelease, ///< All streams of the service began at one release, as the store tells.
    Record, ///< The stream's record in the store.
};

inline constexpr Core::EnumNames<OriginSource, 5> originSourceNames { {
    { OriginSource::Answer, "answer" },
    { OriginSource::Memory, "memory" },
    { OriginSource::Peer, "peer" },
    { OriginSource::OnlyRelease, "only_release" },
    { OriginSource::Record, "record" },
} };

/// What is found of a stream's origin.
struct OriginAnswer {
    bool isRead { false }; ///< The store has answered.
    std::optional<Streams::StreamOrigin> origin; ///< Known, if there is one.
    OriginSource source { OriginSource::Record };
};

/// Finds the origin of a stream, and calls back once on any thread, or never if the daemon stops. Thread-safe.
using OriginHook = std::function<void(OriginQuestion const&, std::function<void(OriginAnswer const&)> onAnswer)>;

}
