#include <LibState/RoleSet.h>

namespace State {

namespace {

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

}

RoleSet RoleSet::all()
{
    RoleSet roles;
    for (std::pair<Role, std::string_view> const& entry : roleNames)
        roles.insert(entry.first);
    return roles;
}

Core::Result<RoleSet> RoleSet::parse(std::string_view text)
{
    RoleSet roles;
    while (true) {
        std::size_t comma = text.find(',');
        std::string_view name = trimmed(text.substr(0, comma));
        std::optional<Role> role = Core::valueOf(roleNames, name);
        if (!role)
            return Core::fail(Core::ErrorCode::BadInput, "read role '" + std::string(name) + "', allowed: prefill, decode, mixed");
        if (roles.contains(*role))
            return Core::fail(Core::ErrorCode::BadInput, "role '" + std::string(name) + "' is given twice");
        roles.insert(*role);
        if (comma == std::string_view::npos)
            return roles;
        text.remove_prefix(comma + 1);
    }
}

std::string RoleSet::toString() const
{
    std::string text;
    for (std::pair<Role, std::string_view> const& entry : roleNames) {
        if (contains(entry.first))
            text.append(text.empty() ? "" : ",").append(entry.second);
    }
    return text;
}

}
