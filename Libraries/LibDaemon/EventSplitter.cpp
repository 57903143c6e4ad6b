#include <LibDaemon/EventSplitter.h>
#include <LibHttp/Fields.h>
#include <charconv>
#include <cstdint>

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
    if (!m_problem.empty())
        return {};
    std::size_t from = m_rest.size() < 2 ? 0 : m_rest.size() - 2;
    m_rest += bytes;
    std::vector<std::string> events;
    std::string_view rest = m_rest;
    for (std::size_t size = sizeOfFirst(rest, from); size != 0; size = sizeOfFirst(rest, 0)) {
        if (size > m_eventLimit)
            break;
        if (!Http::isFieldValue(eventId(rest.substr(0, size)))) {
            m_problem = "the id of an event cannot be sent";
            break;
        }
        events.emplace_back(rest.substr(0, size));
        m_hasSeenDone = m_hasSeenDone || events.back().find(doneEvent) != std::string::npos;
        rest.remove_prefix(size);
    }
    if (m_problem.empty() && rest.size() > m_eventLimit)
        m_problem = "an event is too long";
    if (m_problem.empty())
        m_rest.erase(0, m_rest.size() - rest.size());
    else
        m_rest = std::string();
    return events;
}

std::string_view eventId(std::string_view event)
{
    constexpr std::string_view field = "id:";
    std::string_view rest = event;
    while (!rest.empty()) {
        std::size_t end = rest.find('\n');
        std::string_view line = rest.substr(0, end);
        if (line.starts_with(field)) {
            line.remove_prefix(field.size());
            if (line.starts_with(' '))
                line.remove_prefix(1);
            if (line.ends_with('\r'))
                line.remove_suffix(1);
            return line;
        }
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return {};
}

bool isBehind(std::string_view id, std::string_view other)
{
    std::uint64_t number = 0;
    std::uint64_t otherNumber = 0;
    bool isNumber = std::from_chars(id.data(), id.data() + id.size(), number).ptr == id.data() + id.size() && !id.empty();
    bool isOtherNumber = std::from_chars(other.data(), other.data() + other.size(), otherNumber).ptr == other.data() + other.size() && !other.empty();
    return isNumber && isOtherNumber ? number > otherNumber : id != other;
}

}
