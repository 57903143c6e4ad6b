#include <LibState/SelectorIndex.h>
#include <algorithm>
#include <map>

namespace State {

namespace {

using ValueCounts = std::map<std::string_view, std::size_t>;

/// Returns for each key how many different values the selectors ask for.
ValueCounts countValues(std::vector<Label::Selector const*> const& selectors)
{
    std::vector<std::pair<std::string_view, std::string_view>> asked;
    for (Label::Selector const* selector : selectors) {
        for (Label::Requirement const& requirement : selector->requirements()) {
            if (requirement.op != Label::Operator::In)
                continue;
            for (std::string const& value : requirement.values)
                asked.emplace_back(requirement.key, value);
        }
    }
    std::sort(asked.begin(), asked.end());
    asked.erase(std::unique(asked.begin(), asked.end()), asked.end());
    ValueCounts counts;
    for (std::pair<std::string_view, std::string_view> const& it : asked)
        ++counts[it.first];
    return counts;
}

/// The requirement whose key tells most selectors apart; null when the selector asks for no value.
Label::Requirement const* mostSelective(Label::Selector const& selector, ValueCounts const& counts)
{
    Label::Requirement const* best = nullptr;
    std::size_t bestCount = 0;
    for (Label::Requirement const& requirement : selector.requirements()) {
        if (requirement.op != Label::Operator::In)
            continue;
        std::size_t count = counts.at(requirement.key);
        if (!best || count > bestCount) {
            best = &requirement;
            bestCount = count;
        }
    }
    return best;
}

}

SelectorIndex SelectorIndex::create(std::vector<Label::Selector const*> const& selectors)
{
    SelectorIndex index;
    ValueCounts counts = countValues(selectors);
    index.m_entries.reserve(selectors.size());
    for (std::size_t n = 0; n < selectors.size(); ++n) {
        std::uint32_t position = static_cast<std::uint32_t>(n);
        Label::Requirement const* requirement = mostSelective(*selectors[n], counts);
        if (!requirement) {
            index.m_unindexed.push_back(position);
            continue;
        }
        for (std::string const& value : requirement->values)
            index.m_entries.push_back({ requirement->key, value, position });
    }
    std::sort(index.m_entries.begin(), index.m_entries.end());
    return index;
}

void SelectorIndex::appendCandidates(std::string_view key, std::string_view value, std::vector<std::uint32_t>& positions) const
{
    std::vector<Entry>::const_iterator it = std::lower_bound(m_entries.begin(), m_entries.end(), Entry { key, value, 0 });
    for (; it != m_entries.end() && it->key == key && it->value == value; ++it)
        positions.push_back(it->position);
}

std::vector<std::uint32_t> SelectorIndex::candidates(Label::LabelSet const& labels) const
{
    std::vector<std::uint32_t> positions = m_unindexed;
    for (Label::LabelEntry const& entry : labels)
        appendCandidates(entry.key, entry.value, positions);
    std::sort(positions.begin(), positions.end());
    return positions;
}

}
