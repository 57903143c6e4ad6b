#include <LibState/SnapshotAssembler.h>

namespace State {

Core::Result<void> SnapshotAssembler::add(SnapshotPart part)
{
    if (m_newest && part.nextOffset <= m_newest->nextOffset())
        return Core::ok();
    PartsKey key { part.nextOffset, { part.digest, part.count } };
    std::uint32_t count = part.count;
    std::map<std::uint32_t, SnapshotPart>& parts = m_incomplete[key];
    parts.emplace(part.index, std::move(part));
    if (parts.size() < count) {
        if (m_incomplete.size() > maximumIncomplete)
            m_incomplete.erase(m_incomplete.begin());
        return Core::ok();
    }
    std::vector<SnapshotPart> all;
    for (std::map<std::uint32_t, SnapshotPart>::value_type& it : parts)
        all.push_back(std::move(it.second));
    m_incomplete.erase(key);
    BOOST_OUTCOME_TRY(Snapshot snapshot, Snapshot::join(all));
    m_newest = std::move(snapshot);
    m_incomplete.erase(m_incomplete.begin(), m_incomplete.lower_bound({ m_newest->nextOffset() + 1, {} }));
    return Core::ok();
}

}
