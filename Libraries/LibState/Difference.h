#pragma once

#include <LibState/Config.h>
#include <LibState/ConfigFile.h>
#include <LibState/ConfigRecord.h>
#include <optional>
#include <string>
#include <vector>

namespace State {

/// How one object of a file differs from the configuration.
struct Difference {
    ObjectKey key;
    std::optional<std::uint64_t> revision; ///< Of the object in force; absent: it does not exist.
    std::optional<Fields> before; ///< Absent: it does not exist.
    std::optional<Fields> after; ///< Absent: the file does not have it.

    bool operator==(Difference const&) const = default;
};

/// Compares a file with the configuration, object by object, sorted by kind and name. Objects that only the
/// configuration has are listed with no `after`. Thread-safe.
std::vector<Difference> diff(ConfigFile const&, Config const&);

/// Returns the edits that bring the configuration to the file. Objects that the file does not have are deleted
/// only when `prune` is set. Thread-safe.
std::vector<Edit> editsOf(std::vector<Difference> const&, bool prune);

/// Prints differences for a person: `+`, `-` and `~` sections with their fields. Thread-safe.
std::string toString(std::vector<Difference> const&);

}
