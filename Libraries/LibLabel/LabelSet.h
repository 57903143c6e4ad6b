#pragma once

#include <LibCore/Result.h>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Label {

/// A key with its value, both in Kubernetes' label syntax.
struct LabelEntry {
    std::string key;
    std::string value;

    bool operator==(LabelEntry const&) const = default;
};

/// Labels of a target or a request, each key once, sorted by key. Safe to read from several threads.
class LabelSet {
public:
    using const_iterator = std::vector<LabelEntry>::const_iterator;

    LabelSet() = default;

    /// Parses `key=value, key=value`; an empty text gives no labels. Errors (BadInput): bad syntax or a key
    /// given twice, with the position in bytes from 1. Thread-safe.
    static Core::Result<LabelSet> parse(std::string_view);

    /// Returns the value of `key`, valid until the set changes. Thread-safe while nobody writes.
    std::optional<std::string_view> get(std::string_view key) const;

    /// Adds the label or replaces its value. Errors (BadInput): bad syntax. Not thread-safe.
    Core::Result<void> set(std::string_view key, std::string_view value);

    /// Removes the label; false when it was absent. Not thread-safe.
    bool erase(std::string_view key);

    /// Adds all labels of `other`; its values win. Not thread-safe.
    void merge(LabelSet const& other);

    /// Returns `key=value,key=value`, sorted; `parse` reads it back. Thread-safe while nobody writes.
    std::string toString() const;

    const_iterator begin() const { return m_entries.begin(); }
    const_iterator end() const { return m_entries.end(); }
    std::size_t size() const { return m_entries.size(); }
    bool empty() const { return m_entries.empty(); }

    bool operator==(LabelSet const&) const = default;

private:
    void assign(std::string_view key, std::string_view value);

    std::vector<LabelEntry> m_entries;
};

}
