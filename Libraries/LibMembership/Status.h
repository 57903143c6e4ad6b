#pragma once

#include <LibCore/EnumNames.h>
#include <cstdint>

namespace Membership {

/// What is believed of a daemon. Of two records with the same incarnation and version, the later status here wins.
enum class Status : std::uint8_t {
    Unheard, ///< It stands in the VM list, but nobody has told of it yet.
    Alive,
    Suspect, ///< It answered neither directly nor through others; it may refute this.
    Dead, ///< The suspicion was not refuted in time.
    Left, ///< It said itself that it has ended.
};

inline constexpr Core::EnumNames<Status, 5> statusNames { {
    { Status::Unheard, "unheard" },
    { Status::Alive, "alive" },
    { Status::Suspect, "suspect" },
    { Status::Dead, "dead" },
    { Status::Left, "left" },
} };

}
