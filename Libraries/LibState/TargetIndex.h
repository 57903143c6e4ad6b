#pragma once

#include <LibLabel/LabelSet.h>
#include <LibLabel/Selector.h>
#include <LibState/TargetSet.h>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace State {

/// Targets by their labels, so that a selector costs about as much as the targets that it selects.
/// Immutable and thread-safe.
class TargetIndex {
public:
    /// Indexes targets by their whole labels (operators' and platform's). Thread-safe.
    static TargetIndex create(std::vector<Label::LabelSet> labels);

    /// Returns the targets that `selector` matches.
    TargetSet select(Label::Selector const&) const;

    /// Returns a target's labels. Precondition: `position` is below `size()`.
    Label::LabelSet const& labels(std::uint32_t position) const { return m_labels[position]; }

    std::size_t size() const { return m_labels.size(); }

private:
    using Postings = std::vector<std::uint32_t>;

    TargetSet select(Label::Requirement const&) const;

    std::vector<Label::LabelSet> m_labels;
    std::unordered_map<std::string, std::unordered_map<std::string, Postings>> m_postings;
};

}
