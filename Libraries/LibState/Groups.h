#pragma once

#include <LibState/Explanation.h>
#include <LibState/Object.h>
#include <vector>

namespace State {

/// Combines the groups that select one target. It does not depend on the order in which they were written:
/// roles are intersected, the highest change cost holds, and a model, adapter or version on which groups
/// disagree is not wanted at all. Precondition: all are groups, sorted by name. Thread-safe.
GroupDecision combineGroups(std::vector<ObjectPointer> const& groups);

}
