#include <LibState/TargetIndex.h>

namespace State {

TargetIndex TargetIndex::create(std::vector<Label::LabelSet> labels)
{
    TargetIndex index;
    index.m_labels = std::move(labels);
    for (std::size_t n = 0; n < index.m_labels.size(); ++n) {
        for (Label::LabelEntry const& entry : index.m_labels[n])
            index.m_postings[entry.key][entry.value].push_back(static_cast<std::uint32_t>(n));
    }
    return index;
}

TargetSet TargetIndex::select(Label::Selector const& selector) const
{
    TargetSet selected(size());
    selected.fill();
    for (Label::Requirement const& requirement : selector.requirements())
        selected.intersect(select(requirement));
    return selected;
}

TargetSet TargetIndex::select(Label::Requirement const& requirement) const
{
    TargetSet having(size());
    auto it = m_postings.find(requirement.key);
    if (it != m_postings.end()) {
        for (std::pair<std::string const, Postings> const& entry : it->second) {
            if (!requirement.values.empty())
                break;
            for (std::uint32_t position : entry.second)
                having.insert(position);
        }
        for (std::string const& value : requirement.values) {
            auto postings = it->second.find(value);
            if (postings == it->second.end())
                continue;
            for (std::uint32_t position : postings->second)
                having.insert(position);
        }
    }
    if (requirement.op == Label::Operator::In || requirement.op == Label::Operator::Exists)
        return having;
    TargetSet lacking(size());
    lacking.fill();
    lacking.subtract(having);
    return lacking;
}

}
