#pragma once

#include <LibCore/BootClock.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Streams {

/// A boot clock timestamp. Functions in this library take it as an argument and never read the clock themselves.
using Time = Core::BootClock::time_point;

/// Identifies a stream at every daemon: a hash of the id of the request that brought its first event.
using StreamKey = std::uint64_t;

/// Thread-safe.
StreamKey streamKeyOf(std::string_view requestId);

/// What wrote the events of a stream. Only targets of the same release of the same service may go on with it.
struct StreamOrigin {
    std::string service;
    std::string release; ///< Of the target's software; empty: unknown, and equal to no other.

    bool isKnown() const { return !release.empty(); }
    bool operator==(StreamOrigin const&) const = default;
    auto operator<=>(StreamOrigin const&) const = default;
};

/// A stream that has begun.
struct BegunStream {
    StreamKey key { 0 };
    StreamOrigin origin;

    bool operator==(BegunStream const&) const = default;
};

}
