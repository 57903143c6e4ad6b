#include <LibFleet/FirstMeeting.h>

namespace Fleet {

namespace {

// Once a daemon knows where the others are, a beacon of theirs comes within this.
constexpr std::chrono::milliseconds greetingTime { 250 };
constexpr std::chrono::milliseconds longestMeeting { 1'000 };

}

void FirstMeeting::noteList(bool hasSelf, Time now)
{
    if (hasSelf && !m_listedAt)
        m_listedAt = now;
}

bool FirstMeeting::isOver(DaemonBook const& book, bool hasNews, Time now) const
{
    if (hasNews || now - m_startedAt >= longestMeeting)
        return true;
    if (!m_listedAt)
        return false;
    return book.daemons().empty() || now - *m_listedAt > greetingTime || book.view(m_self, now).isReader;
}

}
