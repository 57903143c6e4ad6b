#pragma once

#include <LibCore/EnumNames.h>
#include <cstdint>

namespace Daemon {

/// Why the store is called. Each call costs the platform, so operators see what they are made for.
enum class StoreCallReason : std::uint8_t {
    Start, ///< A topic is read for the first time.
    Reader, ///< This daemon reads all the time for the others.
    News, ///< A peer knows more and could not hand it on.
    Unheard, ///< Nobody that reads for the others is heard.
    Idle, ///< In case something was never told.
    Listing, ///< This daemon writes or takes back its own entry.
};

inline constexpr Core::EnumNames<StoreCallReason, 6> storeCallReasonNames { {
    { StoreCallReason::Start, "start" },
    { StoreCallReason::Reader, "reader" },
    { StoreCallReason::News, "news" },
    { StoreCallReason::Unheard, "unheard" },
    { StoreCallReason::Idle, "idle" },
    { StoreCallReason::Listing, "listing" },
} };

}
