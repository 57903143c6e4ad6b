#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Http {

/// Header fields in the order in which they were read (RFC 9110, section 5). Names compare without
/// regard to case. Not thread-safe.
class Fields {
public:
    using Entry = std::pair<std::string, std::string>;

    Fields() = default;
    Fields(std::initializer_list<Entry> entries)
        : m_entries(entries)
    {
    }

    /// Returns the value of the first field of this name, or nothing.
    std::optional<std::string_view> find(std::string_view name) const;

    /// Appends a field, beside any others of its name.
    void add(std::string name, std::string value);

    /// Replaces all fields of this name by one.
    void set(std::string name, std::string value);

    /// Removes all fields of this name.
    void remove(std::string_view name);

    std::vector<Entry> const& entries() const { return m_entries; }

private:
    std::vector<Entry> m_entries;
};

/// Returns whether two field names are the same (RFC 9110, section 5.1). Thread-safe.
bool isSameFieldName(std::string_view, std::string_view);

/// Most bytes of a field's value that a message can hold.
inline constexpr std::size_t maxFieldValueSize = 60 * 1024;

/// Returns whether a field can have this value: no longer than `maxFieldValueSize`, and without control characters other
/// than tabs (RFC 9110, section 5.5). Thread-safe.
bool isFieldValue(std::string_view);

/// Returns `fields` without those that concern one connection only (RFC 9110, section 7.6.1: the
/// hop-by-hop fields and those that Connection names). Thread-safe.
Fields withoutHopByHop(Fields const& fields);

}
