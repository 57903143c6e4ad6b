#pragma once

#include <LibCore/Result.h>
#include <LibState/Content.h>
#include <LibState/ObjectKey.h>
#include <LibState/RecordId.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace State {

/// One change of one object.
struct Edit {
    ObjectKey key;
    std::optional<std::uint64_t> baseRevision; ///< The revision that is replaced; absent: the object must not exist.
    std::optional<Fields> fields; ///< The whole new content; absent: the object is deleted.

    bool operator==(Edit const&) const = default;
};

/// An operator's change: all of its edits are accepted, or none.
struct ConfigRecord {
    RecordId id;
    std::string author;
    std::vector<Edit> edits;

    bool operator==(ConfigRecord const&) const = default;
};

/// The largest record that the log service takes, in bytes.
inline constexpr std::size_t maximumRecordBytes = 1U << 20U;

/// Checks all that can be checked without the current configuration, and returns the typed contents, in the
/// order of the edits (nothing for a deletion). Errors (BadInput) name the object. Thread-safe.
Core::Result<std::vector<std::optional<Content>>> validate(ConfigRecord const&);

}
