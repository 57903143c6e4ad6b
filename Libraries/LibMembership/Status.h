#pragma once

#include <LibCore/EnumNames.h>
#include <cstdint>

namespace Membership {

/// The status of a daemon. Of two records with the same incarnation and version, the one with the later status wins.
enum class Status : std::uint8_t {
    Unheard, ///< Known from the VM list, but no record of it has been received yet.
    Alive,
    Suspect, ///< It answered neither direct nor indirect probes, and may still refute the suspicion.
    Dead, ///< The suspicion was not refuted in time.
    Left, ///< It has announced its exit.
};

inline constexpr Core::EnumNames<Status, 5> statusNames { {
    { Status::Unheard, "unheard" },
    { Status::Alive, "alive" },
    { Status::Suspect, "suspect" },
    { Status::Dead, "dead" },
    { Status::Left, "left" },
} };

}
