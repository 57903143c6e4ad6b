#include <LibState/SnapshotTracker.h>
#include <algorithm>

namespace State {

namespace {

constexpr std::size_t maximumIncomplete = 8;

}

void SnapshotTracker::note(SnapshotPart const& part)
{
    if (m_coveredBelow && part.nextOffset <= *m_coveredBelow)
        return;
    std::vector<bool>& seen = m_seen[{ part.nextOffset, { part.digest, part.count } }];
    seen.resize(part.count);
    seen[part.index] = true;
    if (std::find(seen.begin(), seen.end(), false) == seen.end()) {
        m_coveredBelow = part.nextOffset;
        m_seen.erase(m_seen.begin(), m_seen.lower_bound({ part.nextOffset + 1, {} }));
    } else if (m_seen.size() > maximumIncomplete) {
        m_seen.erase(m_seen.begin());
    }
}

}
