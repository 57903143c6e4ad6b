#pragma once

#include <LibCore/Result.h>
#include <LibState/Object.h>
#include <LibState/Outcome.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace State {

/// Everything that a prefix of the configuration stream decides: two readers of the same prefix hold equal ones.
struct FoldState {
    std::uint64_t nextOffset { 0 }; ///< The prefix ends before this offset.
    std::map<ObjectKey, ObjectPointer> objects;
    std::map<ObjectKey, std::uint64_t> deletions; ///< Revisions of recent deletions of objects that do not exist now.
    std::map<RecordId, Outcome> outcomes; ///< Of the last `Fold::window` offsets.
};

/// Returns the canonical bytes of a state. Thread-safe.
std::string encode(FoldState const&);

/// Reads a state back. Errors (Corrupt): not such bytes, content that `parseContent` refuses, entries that
/// are out of order or not older than the state's next offset. Thread-safe.
Core::Result<FoldState> decodeFoldState(std::string_view);

}
