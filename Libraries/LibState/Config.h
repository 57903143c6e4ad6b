#pragma once

#include <LibAccess/Organisations.h>
#include <LibLabel/LabelSet.h>
#include <LibState/Explanation.h>
#include <LibState/Fold.h>
#include <LibState/Object.h>
#include <LibState/SelectorIndex.h>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace State {

/// The configuration of one prefix of the log, ready to decide by. Immutable: traffic threads share it
/// without locks. All methods are thread-safe.
class Config {
public:
    /// Builds the view. Its cost grows with the number of objects; an index whose objects are those of `previous`
    /// (may be null) is shared with it. docs/design/configuration.md has the figures.
    static std::shared_ptr<Config const> create(FoldState const&, std::shared_ptr<Config const> const& previous = nullptr);

    /// Returns the operators' labels of a target with `platformLabels` over them. What the platform sets (zone,
    /// region, kind, name, pool) can't be overridden.
    Label::LabelSet labelsOf(std::string_view targetName, Label::LabelSet const& platformLabels) const;

    /// As `labelsOf`, with the object that gave labels.
    LabelDecision explainLabelsOf(std::string_view targetName, Label::LabelSet const& platformLabels) const;

    /// Applies the request rules to the labels that a caller sent, in the order of their names. Each sees what
    /// the rules before it set, and the later one wins.
    Label::LabelSet requestLabels(Label::LabelSet const& callerLabels) const;

    /// As `requestLabels`, with the rules that matched, in their order.
    LabelDecision explainRequestLabels(Label::LabelSet const& callerLabels) const;

    /// Returns the routes whose `requests` selector matches, sorted by name, as positions in `routes()`.
    std::vector<std::uint32_t> matchingRoutes(Label::LabelSet const& requestLabels) const;

    /// Returns whether some route lets the request go to the target. No route, no target.
    bool isAllowed(Label::LabelSet const& requestLabels, Label::LabelSet const& targetLabels) const;

    /// Returns the routes that let the request go to the target, sorted by name; none when it may not.
    std::vector<Decider> explainAllowed(Label::LabelSet const& requestLabels, Label::LabelSet const& targetLabels) const;

    /// Returns what the groups that select the target allow and want. `TargetView` has it for all targets at once.
    GroupDecision groupDecision(Label::LabelSet const& targetLabels) const;

    /// Returns an object, or null.
    ObjectPointer find(ObjectKey const&) const;

    std::uint64_t nextOffset() const { return m_nextOffset; } ///< The prefix that this is the view of ends before it.
    std::vector<ObjectPointer> const& objects() const { return m_objects; } ///< All, sorted by kind and name.
    std::vector<ObjectPointer> const& routes() const { return m_routes; } ///< Sorted by name.
    std::vector<ObjectPointer> const& groups() const { return m_groups; } ///< Sorted by name.

    /// Who callers act for, found by their keys; null where there is no such object, and requests need no keys.
    std::shared_ptr<Access::Organisations const> const& organisations() const { return m_organisations; }

private:
    Config(FoldState const&, Config const* previous);

    std::uint64_t m_nextOffset;
    std::vector<ObjectPointer> m_objects;
    std::vector<ObjectPointer> m_requestRules;
    std::vector<ObjectPointer> m_routes;
    std::vector<ObjectPointer> m_groups;
    std::vector<ObjectPointer> m_organisationObjects;
    std::shared_ptr<Access::Organisations const> m_organisations;
    std::shared_ptr<SelectorIndex const> m_requestRuleIndex;
    std::shared_ptr<SelectorIndex const> m_routeIndex;
};

}
