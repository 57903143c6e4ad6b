#pragma once

#include <LibCore/EnumNames.h>
#include <cstdint>

namespace Routing {

/// How far a target is from the daemon that decides.
enum class ZoneDistance : std::uint8_t {
    SameZone,
    SameRegion,
    OtherRegion,
};

inline constexpr Core::EnumNames<ZoneDistance, 3> zoneDistanceNames { {
    { ZoneDistance::SameZone, "same-zone" },
    { ZoneDistance::SameRegion, "same-region" },
    { ZoneDistance::OtherRegion, "other-region" },
} };

}
