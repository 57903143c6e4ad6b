#include <LibDaemon/AnswerRoom.h>

namespace Daemon {

AnswerRoom::Share::Share(AnswerRoom& room, std::uint64_t number)
    : m_room(room)
    , m_number(number)
{
}

AnswerRoom::Share::~Share()
{
    m_room.hold(m_number, 0, Time());
    std::lock_guard lock(m_room.m_mutex);
    m_room.m_entries.erase(m_number);
}

void AnswerRoom::Share::hold(std::uint64_t bytes, Time waitingSince)
{
    m_room.hold(m_number, bytes, waitingSince);
}

bool AnswerRoom::Share::isCut() const
{
    std::lock_guard lock(m_room.m_mutex);
    return m_room.m_entries.at(m_number).isCut;
}

std::unique_ptr<AnswerRoom::Share> AnswerRoom::add(std::function<void(std::uint64_t)> cut)
{
    std::lock_guard lock(m_mutex);
    m_entries.emplace(++m_lastNumber, Entry { 0, Time(), false, std::move(cut) });
    return std::unique_ptr<Share>(new Share(*this, m_lastNumber));
}

void AnswerRoom::hold(std::uint64_t number, std::uint64_t bytes, Time waitingSince)
{
    std::vector<std::pair<std::function<void(std::uint64_t)>, std::uint64_t>> cuts;
    {
        std::lock_guard lock(m_mutex);
        Entry& entry = m_entries.at(number);
        if (entry.isCut)
            return;
        m_held += bytes - entry.bytes;
        m_waiting.erase({ entry.waitingSince, number });
        entry.bytes = bytes;
        entry.waitingSince = waitingSince;
        if (waitingSince != Time() && bytes > 0)
            m_waiting.emplace(waitingSince, number);
        cutSlowest(cuts);
    }
    for (std::pair<std::function<void(std::uint64_t)>, std::uint64_t> const& it : cuts)
        it.first(it.second);
}

// What is cut counts as gone at once, so that one overflow cuts no more than it needs.
void AnswerRoom::cutSlowest(std::vector<std::pair<std::function<void(std::uint64_t)>, std::uint64_t>>& cuts)
{
    while (m_limit > 0 && m_held > m_limit && !m_waiting.empty()) {
        Entry& slowest = m_entries.at(m_waiting.begin()->second);
        m_waiting.erase(m_waiting.begin());
        slowest.isCut = true;
        m_held -= slowest.bytes;
        ++m_cutCount;
        cuts.emplace_back(slowest.cut, slowest.bytes);
    }
}

std::uint64_t AnswerRoom::heldBytes() const
{
    std::lock_guard lock(m_mutex);
    return m_held;
}

std::uint64_t AnswerRoom::cutCount() const
{
    std::lock_guard lock(m_mutex);
    return m_cutCount;
}

}
