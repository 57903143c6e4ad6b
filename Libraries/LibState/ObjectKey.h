#pragma once

#include <LibState/Kind.h>
#include <compare>
#include <string>

namespace State {

/// Identifies an object: its kind and its name, which is unique within the kind.
struct ObjectKey {
    Kind kind { Kind::Target };
    std::string name;

    bool operator==(ObjectKey const&) const = default;
    auto operator<=>(ObjectKey const&) const = default;

    /// Returns `kind name`, as a section of the operators' file is headed. Thread-safe.
    std::string toString() const { return std::string(Core::nameOf(kindNames, kind)) + " " + name; }
};

}
