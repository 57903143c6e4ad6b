#pragma once

#include <LibState/Config.h>
#include <LibState/Explanation.h>
#include <LibState/TargetIndex.h>
#include <LibState/TargetSet.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace State {

/// A target as the platform lists it.
struct PlatformTarget {
    std::string name;
    Label::LabelSet platformLabels; ///< zone, region, kind, name, pool.
};

/// What a configuration means for a list of targets, worked out once for all requests. Rebuilt when either
/// changes. Immutable: traffic threads share it without locks. All methods are thread-safe.
class TargetView {
public:
    /// Builds the view. Precondition: `config` is not null; names are unique.
    static std::shared_ptr<TargetView const> create(std::shared_ptr<Config const> config, std::vector<PlatformTarget> const& targets);

    /// Returns the targets to which a request with these labels (after the request rules) may go: the union of
    /// what its routes select, nothing when no route matches.
    TargetSet allowedTargets(Label::LabelSet const& requestLabels) const;

    /// Returns a target's position, or nothing.
    std::optional<std::uint32_t> positionOf(std::string_view targetName) const;

    /// Preconditions of the three: `position` is below `size()`.
    std::string const& name(std::uint32_t position) const { return m_names[position]; }
    Label::LabelSet const& labels(std::uint32_t position) const { return m_index.labels(position); }
    GroupDecision const& groupDecision(std::uint32_t position) const { return *m_decisions[position]; }

    std::size_t size() const { return m_names.size(); }
    Config const& config() const { return *m_config; }

private:
    TargetView(std::shared_ptr<Config const>, std::vector<PlatformTarget> const&);
    void selectRoutes();
    void decideGroups();

    std::shared_ptr<Config const> m_config;
    std::vector<std::string> m_names;
    std::unordered_map<std::string_view, std::uint32_t> m_positions;
    TargetIndex m_index;
    std::vector<std::shared_ptr<TargetSet const>> m_routeTargets; ///< By position of the route; equal selectors share.
    std::vector<std::shared_ptr<GroupDecision const>> m_decisions; ///< By target; targets in the same groups share.
};

}
