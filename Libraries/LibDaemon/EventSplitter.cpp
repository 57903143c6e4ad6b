#include <LibDaemon/EventSplitter.h>

namespace Daemon {

namespace {

constexpr std::string_view doneEvent = "data: [DONE]";

// Returns the size of the first whole event in `text`, or 0 when there is none.
std::size_t sizeOfFirst(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        if (at + 1 < text.size() && text[at + 1] == '\n')
            return at + 2;
        if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n')
            return at + 3;
    }
    return 0;
}

}

std::vector<std::string> EventSplitter::add(std::string_view bytes)
{
    std::size_t from = m_rest.size() < 2 ? 0 : m_rest.size() - 2;
    m_rest += bytes;
    std::vector<std::string> events;
    std::string_view rest = m_rest;
    for (std::size_t size = sizeOfFirst(rest, from); size != 0; size = sizeOfFirst(rest, 0)) {
        events.emplace_back(rest.substr(0, size));
        m_hasSeenDone = m_hasSeenDone || events.back().find(doneEvent) != std::string::npos;
        rest.remove_prefix(size);
    }
    m_rest.erase(0, m_rest.size() - rest.size());
    return events;
}

}
