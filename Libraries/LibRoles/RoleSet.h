#pragma once

#include <LibRouting/TargetRole.h>

namespace Roles {

using Routing::TargetRole;

/// The roles that an operator's group selectors allow for an engine. If empty, the engine keeps its role.
class RoleSet {
public:
    constexpr RoleSet() = default;

    /// Returns the set of all three roles.
    static constexpr RoleSet all() { return RoleSet().with(TargetRole::Prefill).with(TargetRole::Decode).with(TargetRole::Mixed); }

    /// Returns a copy that also contains the role.
    constexpr RoleSet with(TargetRole role) const { return RoleSet(m_bits | bit(role)); }

    /// Returns whether the role is allowed.
    constexpr bool has(TargetRole role) const { return (m_bits & bit(role)) != 0; }

    constexpr bool operator==(RoleSet const&) const = default;

private:
    constexpr explicit RoleSet(unsigned bits)
        : m_bits(bits)
    {
    }

    static constexpr unsigned bit(TargetRole role) { return 1U << static_cast<unsigned>(role); }

    unsigned m_bits { 0 };
};

}
