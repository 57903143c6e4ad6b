#include <LibStreams/OriginWindow.h>

namespace Streams {

bool OriginWindow::note(BegunStream const& stream, Time now)
{
    m_order.push_back({ stream.key, now, ++m_lastNumber });
    std::pair<std::unordered_map<StreamKey, Stream>::iterator, bool> added = m_streams.try_emplace(stream.key, Stream { { stream.origin, now }, m_lastNumber });
    Stream& known = added.first->second;
    known.entry.notedAt = now;
    known.lastNumber = m_lastNumber;
    bool isContradiction = !added.second && known.entry.origin != stream.origin && known.entry.origin.isKnown();
    if (isContradiction)
        known.entry.origin.release.clear();
    while (m_streams.size() > m_capacity || m_order.size() > 2 * m_capacity) {
        forget(m_order.front());
        m_order.pop_front();
    }
    return added.second || isContradiction;
}

bool OriginWindow::expire(Time now)
{
    std::size_t before = m_streams.size();
    while (!m_order.empty() && now - m_order.front().at > m_lifetime) {
        forget(m_order.front());
        m_order.pop_front();
    }
    return m_streams.size() != before;
}

// A stream that was noted again since stays.
void OriginWindow::forget(Noted const& noted)
{
    std::unordered_map<StreamKey, Stream>::const_iterator it = m_streams.find(noted.key);
    if (it != m_streams.end() && it->second.lastNumber == noted.number)
        m_streams.erase(it);
}

std::optional<OriginWindow::Entry> OriginWindow::find(StreamKey key) const
{
    std::unordered_map<StreamKey, Stream>::const_iterator it = m_streams.find(key);
    return it == m_streams.end() ? std::nullopt : std::optional<Entry>(it->second.entry);
}

std::vector<BegunStream> OriginWindow::streams() const
{
    std::vector<BegunStream> streams;
    streams.reserve(m_streams.size());
    for (std::pair<StreamKey const, Stream> const& it : m_streams)
        streams.push_back({ it.first, it.second.entry.origin });
    return streams;
}

}
