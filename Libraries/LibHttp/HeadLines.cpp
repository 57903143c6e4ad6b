#include <LibHttp/HeadLines.h>
#include <algorithm>

namespace Http {

namespace {

constexpr unsigned httpVersion11 = 11;

// RFC 9110, section 15.
constexpr std::uint16_t firstStatus = 100;
constexpr std::uint16_t lastStatus = 599;
constexpr std::uint16_t switchingProtocols = 101;

// Judges the lines that end behind position `from`.
bool hasStrictLines(std::string_view head, std::size_t from)
{
    for (std::size_t at = head.find('\n', from); at != std::string_view::npos; at = head.find('\n', at + 1)) {
        bool hasReturn = at > 0 && head[at - 1] == '\r';
        bool isFolded = at + 1 < head.size() && (head[at + 1] == ' ' || head[at + 1] == '\t');
        if (!hasReturn || isFolded)
            return false;
    }
    return true;
}

std::size_t countOf(Fields const& fields, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(fields.entries().begin(), fields.entries().end(), [&](Fields::Entry const& entry) { return isSameFieldName(entry.first, name); }));
}

}

bool hasShortLines(std::string_view head)
{
    std::size_t start = 0;
    for (std::size_t end = head.find('\n'); end != std::string_view::npos; end = head.find('\n', start)) {
        if (end - start > maxFieldValueSize)
            return false;
        start = end + 1;
    }
    return head.size() - start <= maxFieldValueSize;
}

std::string_view problemOf(Request const& request, bool needsHost)
{
    std::size_t hosts = countOf(request.fields, "Host");
    if (hosts > 1 || (hosts == 0 && needsHost))
        return "exactly one Host field is required";
    std::optional<std::string_view> coding = request.fields.find("Transfer-Encoding");
    if (coding && !isSameFieldName(*coding, "chunked"))
        return "the only transfer coding allowed is chunked";
    if (request.target.empty() || (request.target.front() != '/' && request.target != "*"))
        return "the request target must be a path";
    return {};
}

std::string_view problemOf(ResponseHead const& head, unsigned version)
{
    constexpr std::string_view codingField = "Transfer-Encoding";
    if (head.status < firstStatus || head.status > lastStatus)
        return "its status is none of HTTP";
    if (head.status == switchingProtocols)
        return "it switches to a protocol that was not asked for";
    std::size_t codings = countOf(head.fields, codingField);
    if (codings == 0)
        return {};
    if (version < httpVersion11)
        return "HTTP/1.0 has no transfer coding";
    if (codings > 1 || !isSameFieldName(*head.fields.find(codingField), "chunked"))
        return "its transfer coding is not chunked alone";
    return {};
}

HeadScanner::Progress HeadScanner::scan(std::string_view bytes)
{
    constexpr std::string_view end = "\r\n\r\n";
    std::size_t at = bytes.find(end, m_checked - std::min(m_checked, end.size() - 1));
    bool isWhole = at != std::string_view::npos;
    std::string_view head = isWhole ? bytes.substr(0, at + 2) : bytes;
    if (!hasStrictLines(head, m_checked))
        return Progress::Malformed;
    // The last byte of a part may be a line feed, whose next line is still to come.
    m_checked = isWhole || head.empty() ? head.size() : head.size() - 1;
    return isWhole ? Progress::Whole : Progress::Partial;
}

}
