#include <LibState/SelectorIndex.h>
#include <algorithm>
#include <unordered_set>

namespace State {

namespace {

using ValueCounts = std::unordered_map<std::string_view, std::unordered_set<std::string_view>>;

ValueCounts countValues(std::vector<Label::Selector const*> const& selectors)
{
    ValueCounts counts;
    for (Label::Selector const* selector : selectors) {
        for (Label::Requirement const& requirement : selector->requirements()) {
            if (requirement.op == Label::Operator::In)
                counts[requirement.key].insert(requirement.values.begin(), requirement.values.end());
        }
    }
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
        std::size_t count = counts.at(requirement.key).size();
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
    for (std::size_t n = 0; n < selectors.size(); ++n) {
        std::uint32_t position = static_cast<std::uint32_t>(n);
        Label::Requirement const* requirement = mostSelective(*selectors[n], counts);
        if (!requirement) {
            index.m_unindexed.push_back(position);
            continue;
        }
        Buckets& buckets = index.m_buckets[requirement->key];
        for (std::string const& value : requirement->values)
            buckets[value].push_back(position);
    }
    return index;
}

void SelectorIndex::appendCandidates(std::string_view key, std::string_view value, std::vector<std::uint32_t>& positions) const
{
    std::unordered_map<std::string_view, Buckets>::const_iterator buckets = m_buckets.find(key);
    if (buckets == m_buckets.end())
        return;
    Buckets::const_iterator bucket = buckets->second.find(value);
    if (bucket != buckets->second.end())
        positions.insert(positions.end(), bucket->second.begin(), bucket->second.end());
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
