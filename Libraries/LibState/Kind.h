#pragma once

#include <LibCore/EnumNames.h>
#include <cstdint>

namespace State {

/// The kinds of object that operators edit. The names are the section names of their INI files.
enum class Kind : std::uint8_t {
    Target, ///< Labels that operators put on one target.
    RequestRule, ///< Labels that are set on requests which a selector matches.
    Route, ///< Which requests may go to which targets.
    Group, ///< Which roles and models a group of targets may take.
    Organisation, ///< Who callers act for, and the digests of its keys.
};

inline constexpr Core::EnumNames<Kind, 5> kindNames { {
    { Kind::Target, "target" },
    { Kind::RequestRule, "request-rule" },
    { Kind::Route, "route" },
    { Kind::Group, "group" },
    { Kind::Organisation, "organisation" },
} };

}
