#include <LibState/Groups.h>
#include <LibState/TargetView.h>

namespace State {

namespace {

std::vector<Label::LabelSet> wholeLabels(Config const& config, std::vector<PlatformTarget> const& targets)
{
    std::vector<Label::LabelSet> labels;
    labels.reserve(targets.size());
    for (PlatformTarget const& target : targets)
        labels.push_back(config.labelsOf(target.name, target.platformLabels));
    return labels;
}

}

std::shared_ptr<TargetView const> TargetView::create(std::shared_ptr<Config const> config, std::vector<PlatformTarget> const& targets)
{
    return std::shared_ptr<TargetView const>(new TargetView(std::move(config), targets));
}

TargetView::TargetView(std::shared_ptr<Config const> config, std::vector<PlatformTarget> const& targets)
    : m_config(std::move(config))
    , m_index(TargetIndex::create(wholeLabels(*m_config, targets)))
{
    m_names.reserve(targets.size());
    for (PlatformTarget const& target : targets)
        m_names.push_back(target.name);
    for (std::size_t n = 0; n < m_names.size(); ++n)
        m_positions.emplace(m_names[n], static_cast<std::uint32_t>(n));
    selectRoutes();
    decideGroups();
}

void TargetView::selectRoutes()
{
    std::unordered_map<std::string, std::shared_ptr<TargetSet const>> selected;
    for (ObjectPointer const& route : m_config->routes()) {
        Label::Selector const& selector = std::get<RouteContent>(route->content).targets;
        std::shared_ptr<TargetSet const>& targets = selected[selector.toString()];
        if (!targets)
            targets = std::make_shared<TargetSet const>(m_index.select(selector));
        m_routeTargets.push_back(targets);
    }
}

void TargetView::decideGroups()
{
    std::vector<ObjectPointer> const& groups = m_config->groups();
    std::vector<std::vector<std::uint32_t>> groupsOf(size());
    for (std::size_t n = 0; n < groups.size(); ++n) {
        for (std::uint32_t position : m_index.select(std::get<GroupContent>(groups[n]->content).targets).positions())
            groupsOf[position].push_back(static_cast<std::uint32_t>(n));
    }
    std::map<std::vector<std::uint32_t>, std::shared_ptr<GroupDecision const>> decisions;
    for (std::vector<std::uint32_t> const& selecting : groupsOf) {
        std::shared_ptr<GroupDecision const>& decision = decisions[selecting];
        if (!decision) {
            std::vector<ObjectPointer> objects;
            for (std::uint32_t n : selecting)
                objects.push_back(groups[n]);
            decision = std::make_shared<GroupDecision const>(combineGroups(objects));
        }
        m_decisions.push_back(decision);
    }
}

TargetSet TargetView::allowedTargets(Label::LabelSet const& requestLabels) const
{
    TargetSet allowed(size());
    for (std::uint32_t position : m_config->matchingRoutes(requestLabels))
        allowed.unite(*m_routeTargets[position]);
    return allowed;
}

std::optional<std::uint32_t> TargetView::positionOf(std::string_view targetName) const
{
    std::unordered_map<std::string_view, std::uint32_t>::const_iterator it = m_positions.find(targetName);
    return it == m_positions.end() ? std::nullopt : std::optional<std::uint32_t>(it->second);
}

}
