#include <LibStreams/OriginBook.h>
#include <utility>

namespace Streams {

void OriginBook::setLifetime(std::chrono::milliseconds lifetime)
{
    std::lock_guard lock(m_mutex);
    m_window.setLifetime(lifetime);
}

void OriginBook::note(BegunStream const& stream, Time now)
{
    bool isFirst = false;
    {
        std::lock_guard lock(m_mutex);
        m_window.expire(now);
        m_window.note(stream, now);
        isFirst = m_unreported.empty();
        // Where nobody takes them, they are in the window all the same.
        if (m_unreported.size() < capacity)
            m_unreported.push_back(stream);
    }
    if (isFirst)
        m_onUnreported();
}

std::optional<OriginWindow::Entry> OriginBook::find(StreamKey key) const
{
    std::lock_guard lock(m_mutex);
    return m_window.find(key);
}

std::vector<BegunStream> OriginBook::takeUnreported(Time now)
{
    std::lock_guard lock(m_mutex);
    m_window.expire(now);
    return std::exchange(m_unreported, {});
}

void OriginBook::reportAllAgain()
{
    std::lock_guard lock(m_mutex);
    m_unreported = m_window.streams();
}

}
