#include <LibStreams/OriginWindow.h>

namespace Streams {

bool OriginWindow::note(BegunStream const& stream, Time now)
{
    m_order.push_back({ stream.key, now });
    std::pair<std::unordered_map<StreamKey, Entry>::iterator, bool> added = m_entries.try_emplace(stream.key, Entry { stream.origin, now });
    Entry& entry = added.first->second;
    entry.notedAt = now;
    bool isContradiction = !added.second && entry.origin != stream.origin && !entry.origin.release.empty();
    if (isContradiction)
        entry.origin.release.clear();
    while (m_entries.size() > m_capacity || m_order.size() > 2 * m_capacity) {
        forget(m_order.front());
        m_order.pop_front();
    }
    return added.second || isContradiction;
}

bool OriginWindow::expire(Time now)
{
    std::size_t before = m_entries.size();
    while (!m_order.empty() && now - m_order.front().at > m_lifetime) {
        forget(m_order.front());
        m_order.pop_front();
    }
    return m_entries.size() != before;
}

// A stream that was noted again since stays.
void OriginWindow::forget(Noted const& noted)
{
    std::unordered_map<StreamKey, Entry>::const_iterator it = m_entries.find(noted.key);
    if (it != m_entries.end() && it->second.notedAt <= noted.at)
        m_entries.erase(it);
}

std::optional<OriginWindow::Entry> OriginWindow::find(StreamKey key) const
{
    std::unordered_map<StreamKey, Entry>::const_iterator it = m_entries.find(key);
    return it == m_entries.end() ? std::nullopt : std::optional<Entry>(it->second);
}

std::vector<BegunStream> OriginWindow::streams() const
{
    std::vector<BegunStream> streams;
    streams.reserve(m_entries.size());
    for (std::pair<StreamKey const, Entry> const& it : m_entries)
        streams.push_back({ it.first, it.second.origin });
    return streams;
}

}
