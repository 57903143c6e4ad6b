#pragma once

#include <LibLabel/LabelSet.h>
#include <LibLabel/Selector.h>
#include <cstdint>
#include <string_view>
#include <vector>

namespace State {

/// Finds the selectors that may match a set of labels without trying them all. Each selector that asks for a
/// value of some label (`a=b`, `a in (b,c)`) stands under one such label; the others are always tried.
/// Precondition: the selectors outlive the index. Immutable and thread-safe once built.
class SelectorIndex {
public:
    SelectorIndex() = default;

    /// Indexes `selectors`; a candidate is a position in this list. Thread-safe.
    static SelectorIndex create(std::vector<Label::Selector const*> const& selectors);

    /// Appends the positions of all selectors that can match labels among which is `key=value`, save those
    /// that stand under another label. Thread-safe.
    void appendCandidates(std::string_view key, std::string_view value, std::vector<std::uint32_t>& positions) const;

    /// Returns the positions of all selectors that may match `labels`, sorted. Thread-safe.
    std::vector<std::uint32_t> candidates(Label::LabelSet const& labels) const;

private:
    /// A selector under one of the labels that it asks for.
    struct Entry {
        std::string_view key;
        std::string_view value;
        std::uint32_t position { 0 };

        auto operator<=>(Entry const&) const = default;
    };

    std::vector<Entry> m_entries; ///< Sorted.
    std::vector<std::uint32_t> m_unindexed;
};

}
