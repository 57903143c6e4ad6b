#pragma once

#include <LibState/Content.h>
#include <LibState/ObjectKey.h>
#include <cstdint>
#include <memory>

namespace State {

/// An accepted object of the configuration. Immutable once shared.
struct Object {
    ObjectKey key;
    std::uint64_t revision { 0 }; ///< Offset of the record that set it: never used twice, not even by a deletion.
    Content content;
};

using ObjectPointer = std::shared_ptr<Object const>;

}
