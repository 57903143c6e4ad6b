#include <LibState/Groups.h>
#include <algorithm>

namespace State {

namespace {

/// Returns the value that all groups with a value agree in, and reports a contradiction.
std::optional<std::string> agreedValue(std::vector<ObjectPointer> const& groups, WantedField field, std::vector<std::string>& conflicts)
{
    Object const* first = nullptr;
    std::string const* agreed = nullptr;
    for (ObjectPointer const& group : groups) {
        std::string const* value = std::get<GroupContent>(group->content).find(field);
        if (!value)
            continue;
        if (!first) {
            first = group.get();
            agreed = value;
        } else if (*agreed != *value) {
            conflicts.push_back(first->key.toString() + " wants " + std::string(Core::nameOf(wantedFieldNames, field)) + " '" + *agreed + "', "
                + group->key.toString() + " wants '" + *value + "': none is ordered");
            return std::nullopt;
        }
    }
    return agreed ? std::optional(*agreed) : std::nullopt;
}

}

GroupDecision combineGroups(std::vector<ObjectPointer> const& groups)
{
    GroupDecision decision;
    if (groups.empty())
        return decision;
    decision.roles = RoleSet::all();
    for (ObjectPointer const& object : groups) {
        GroupContent const& group = std::get<GroupContent>(object->content);
        decision.groups.push_back({ object->key, object->revision });
        decision.roles.intersect(group.roles);
        if (group.changeCostSeconds)
            decision.changeCostSeconds = std::max(decision.changeCostSeconds.value_or(0), *group.changeCostSeconds);
    }
    if (decision.roles.empty())
        decision.conflicts.emplace_back("the groups that select it have no role in common: its role is not changed");
    decision.model = agreedValue(groups, WantedField::Model, decision.conflicts);
    decision.adapter = agreedValue(groups, WantedField::Adapter, decision.conflicts);
    decision.version = agreedValue(groups, WantedField::Version, decision.conflicts);
    return decision;
}

}
