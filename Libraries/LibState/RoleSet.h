#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Result.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace State {

/// What part of the work an engine takes.
enum class Role : std::uint8_t {
    Prefill, ///< Reads prompts and exports their KV cache.
    Decode, ///< Imports KV cache and generates.
    Mixed, ///< Does both.
};

inline constexpr Core::EnumNames<Role, 3> roleNames { {
    { Role::Prefill, "prefill" },
    { Role::Decode, "decode" },
    { Role::Mixed, "mixed" },
} };

/// A set of roles. Safe to read from several threads.
class RoleSet {
public:
    RoleSet() = default;

    /// Returns the set of all roles. Thread-safe.
    static RoleSet all();

    /// Parses `prefill, decode`. Errors (BadInput): no role, an unknown role, a role given twice. Thread-safe.
    static Core::Result<RoleSet> parse(std::string_view);

    /// Adds a role. Not thread-safe.
    void insert(Role role) { m_bits = static_cast<std::uint8_t>(m_bits | bitOf(role)); }

    /// Keeps only the roles that `other` has too. Not thread-safe.
    void intersect(RoleSet other) { m_bits = static_cast<std::uint8_t>(m_bits & other.m_bits); }

    bool contains(Role role) const { return (m_bits & bitOf(role)) != 0; }
    bool empty() const { return m_bits == 0; }

    /// Returns the names joined by commas, in the order of `Role`. Thread-safe.
    std::string toString() const;

    bool operator==(RoleSet const&) const = default;

private:
    static std::uint8_t bitOf(Role role) { return static_cast<std::uint8_t>(1U << static_cast<unsigned>(role)); }

    std::uint8_t m_bits { 0 };
};

}
