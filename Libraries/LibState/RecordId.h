#pragma once

#include <LibCore/Result.h>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace State {

/// Identifies a configuration record. It holds what its writer had read, so that an id sent again says again
/// how old its view is: a repeat older than `Fold::window` is refused for its age, a younger one by its id.
struct RecordId {
    std::uint64_t readNext { 0 }; ///< The writer had read all offsets below this one when it chose its base revisions.
    std::uint64_t nonce { 0 }; ///< Random.

    /// Parses `READ_NEXT-NONCE`, in decimal and 16 hexadecimal digits. Errors: BadInput. Thread-safe.
    static Core::Result<RecordId> parse(std::string_view);

    /// Returns the text that `parse` reads. Thread-safe.
    std::string toString() const;

    bool operator==(RecordId const&) const = default;
    auto operator<=>(RecordId const&) const = default;
};

}
