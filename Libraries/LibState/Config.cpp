#include <LibState/Config.h>
#include <LibState/Groups.h>
#include <algorithm>
#include <cassert>
#include <set>

namespace State {

namespace {

bool isBefore(ObjectPointer const& object, ObjectKey const& key) { return object->key < key; }

template <typename T>
std::shared_ptr<SelectorIndex const> indexOf(std::vector<ObjectPointer> const& objects, Label::Selector T::* selector)
{
    std::vector<Label::Selector const*> selectors;
    selectors.reserve(objects.size());
    for (ObjectPointer const& object : objects)
        selectors.push_back(&(std::get<T>(object->content).*selector));
    return std::make_shared<SelectorIndex const>(SelectorIndex::create(selectors));
}

// The fold has refused whatever would give a key to two of them.
std::shared_ptr<Access::Organisations const> findByKeys(std::vector<ObjectPointer> const& objects)
{
    if (objects.empty())
        return nullptr;
    std::vector<Access::Organisation> organisations;
    for (ObjectPointer const& object : objects) {
        OrganisationContent const& content = std::get<OrganisationContent>(object->content);
        organisations.push_back({ object->key.name, content.priority, content.keys });
    }
    Core::Result<std::shared_ptr<Access::Organisations const>> found = Access::Organisations::create(std::move(organisations));
    assert(found.has_value());
    return found.value();
}

}

std::shared_ptr<Config const> Config::create(FoldState const& state, std::shared_ptr<Config const> const& previous)
{
    return std::shared_ptr<Config const>(new Config(state, previous.get()));
}

Config::Config(FoldState const& state, Config const* previous)
    : m_nextOffset(state.nextOffset)
{
    m_objects.reserve(state.objects.size());
    for (std::pair<ObjectKey const, ObjectPointer> const& it : state.objects) {
        m_objects.push_back(it.second);
        if (it.first.kind == Kind::RequestRule)
            m_requestRules.push_back(it.second);
        else if (it.first.kind == Kind::Route)
            m_routes.push_back(it.second);
        else if (it.first.kind == Kind::Group)
            m_groups.push_back(it.second);
        else if (it.first.kind == Kind::Organisation)
            m_organisationObjects.push_back(it.second);
    }
    bool hasSameRules = previous && previous->m_requestRules == m_requestRules;
    m_requestRuleIndex = hasSameRules ? previous->m_requestRuleIndex : indexOf(m_requestRules, &RequestRuleContent::when);
    bool hasSameRoutes = previous && previous->m_routes == m_routes;
    m_routeIndex = hasSameRoutes ? previous->m_routeIndex : indexOf(m_routes, &RouteContent::requests);
    bool hasSameOrganisations = previous && previous->m_organisationObjects == m_organisationObjects;
    m_organisations = hasSameOrganisations ? previous->m_organisations : findByKeys(m_organisationObjects);
}

Label::LabelSet Config::labelsOf(std::string_view targetName, Label::LabelSet const& platformLabels) const
{
    return explainLabelsOf(targetName, platformLabels).labels;
}

LabelDecision Config::explainLabelsOf(std::string_view targetName, Label::LabelSet const& platformLabels) const
{
    LabelDecision decision;
    if (ObjectPointer target = find({ Kind::Target, std::string(targetName) })) {
        decision.labels = std::get<TargetContent>(target->content).labels;
        decision.deciders.push_back({ target->key, target->revision });
    }
    decision.labels.merge(platformLabels);
    return decision;
}

Label::LabelSet Config::requestLabels(Label::LabelSet const& callerLabels) const
{
    return explainRequestLabels(callerLabels).labels;
}

LabelDecision Config::explainRequestLabels(Label::LabelSet const& callerLabels) const
{
    LabelDecision decision { callerLabels, {} };
    std::vector<std::uint32_t> candidates = m_requestRuleIndex->candidates(callerLabels);
    std::set<std::uint32_t> pending(candidates.begin(), candidates.end());
    while (!pending.empty()) {
        std::uint32_t position = pending.extract(pending.begin()).value();
        Object const& rule = *m_requestRules[position];
        RequestRuleContent const& content = std::get<RequestRuleContent>(rule.content);
        if (!content.when.matches(decision.labels))
            continue;
        decision.deciders.push_back({ rule.key, rule.revision });
        decision.labels.merge(content.set);
        // A later rule may match only because of a label that was set just now.
        candidates.clear();
        for (Label::LabelEntry const& entry : content.set)
            m_requestRuleIndex->appendCandidates(entry.key, entry.value, candidates);
        for (std::uint32_t candidate : candidates) {
            if (candidate > position)
                pending.insert(candidate);
        }
    }
    return decision;
}

std::vector<std::uint32_t> Config::matchingRoutes(Label::LabelSet const& requestLabels) const
{
    std::vector<std::uint32_t> positions = m_routeIndex->candidates(requestLabels);
    std::erase_if(positions, [&](std::uint32_t position) {
        return !std::get<RouteContent>(m_routes[position]->content).requests.matches(requestLabels);
    });
    return positions;
}

bool Config::isAllowed(Label::LabelSet const& requestLabels, Label::LabelSet const& targetLabels) const
{
    return !explainAllowed(requestLabels, targetLabels).empty();
}

std::vector<Decider> Config::explainAllowed(Label::LabelSet const& requestLabels, Label::LabelSet const& targetLabels) const
{
    std::vector<Decider> deciders;
    for (std::uint32_t position : matchingRoutes(requestLabels)) {
        Object const& route = *m_routes[position];
        if (std::get<RouteContent>(route.content).targets.matches(targetLabels))
            deciders.push_back({ route.key, route.revision });
    }
    return deciders;
}

GroupDecision Config::groupDecision(Label::LabelSet const& targetLabels) const
{
    std::vector<ObjectPointer> selecting;
    for (ObjectPointer const& group : m_groups) {
        if (std::get<GroupContent>(group->content).targets.matches(targetLabels))
            selecting.push_back(group);
    }
    return combineGroups(selecting);
}

ObjectPointer Config::find(ObjectKey const& key) const
{
    std::vector<ObjectPointer>::const_iterator it = std::lower_bound(m_objects.begin(), m_objects.end(), key, isBefore);
    return it == m_objects.end() || (*it)->key != key ? nullptr : *it;
}

}
