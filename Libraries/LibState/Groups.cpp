#include <LibState/Groups.h>
#include <algorithm>

namespace State {

namespace {

using WantedField = std::optional<std::string> GroupContent::*;

/// Returns the value that all groups with a value agree in, and reports a contradiction.
std::optional<std::string> agreedValue(std::vector<ObjectPointer> const& groups, WantedField field, std::string_view fieldName, std::vector<std::string>& conflicts)
{
    Object const* first = nullptr;
    for (ObjectPointer const& group : groups) {
        std::optional<std::string> const& value = std::get<GroupContent>(group->content).*field;
        if (!value)
            continue;
        if (!first) {
            first = group.get();
            continue;
        }
        std::string const& firstValue = *(std::get<GroupContent>(first->content).*field);
        if (firstValue != *value) {
            conflicts.push_back(first->key.toString() + " wants " + std::string(fieldName) + " '" + firstValue + "', "
                + group->key.toString() + " wants '" + *value + "': none is ordered");
            return std::nullopt;
        }
    }
    return first ? std::get<GroupContent>(first->content).*field : std::nullopt;
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
    decision.model = agreedValue(groups, &GroupContent::model, "model", decision.conflicts);
    decision.adapter = agreedValue(groups, &GroupContent::adapter, "adapter", decision.conflicts);
    decision.version = agreedValue(groups, &GroupContent::version, "version", decision.conflicts);
    return decision;
}

}
