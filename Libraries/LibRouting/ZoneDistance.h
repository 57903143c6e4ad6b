#pragma once

#include <LibCore/EnumNames.h>
#include <cstdint>

namespace Routing {

/// Distance of a target from the routing daemon.
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
