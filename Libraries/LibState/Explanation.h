#pragma once

#include <LibLabel/LabelSet.h>
#include <LibState/ObjectKey.h>
#include <LibState/RoleSet.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace State {

/// An object that took part in a decision, at the revision that decided.
struct Decider {
    ObjectKey key;
    std::uint64_t revision { 0 };

    bool operator==(Decider const&) const = default;
};

/// The labels of a request or target, and the objects that gave some of them, in the order of their effect.
struct LabelDecision {
    Label::LabelSet labels;
    std::vector<Decider> deciders;
};

/// What the groups that select a target say together. Nothing is allowed that any of them does not allow.
struct GroupDecision {
    RoleSet roles; ///< The roles that all of the groups allow; empty when no group selects the target.
    std::optional<double> changeCostSeconds; ///< The highest that a group gives.
    std::optional<std::string> model; ///< Absent when no group says one, or when groups contradict each other.
    std::optional<std::string> adapter; ///< As `model`; empty: no adapter.
    std::optional<std::string> version; ///< As `model`.
    std::vector<Decider> groups; ///< The groups that select the target, in the order of their names.
    std::vector<std::string> conflicts; ///< A sentence for each contradiction.

    bool operator==(GroupDecision const&) const = default;
};

}
