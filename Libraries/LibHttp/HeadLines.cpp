#include <LibHttp/HeadLines.h>

namespace Http {

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
    std::size_t hosts = 0;
    for (Fields::Entry const& entry : request.fields.entries())
        hosts += isSameFieldName(entry.first, "Host") ? 1 : 0;
    if (hosts > 1 || (hosts == 0 && needsHost))
        return "exactly one Host field is required";
    std::optional<std::string_view> coding = request.fields.find("Transfer-Encoding");
    if (coding && !isSameFieldName(*coding, "chunked"))
        return "the only transfer coding allowed is chunked";
    if (request.target.empty() || (request.target.front() != '/' && request.target != "*"))
        return "the request target must be a path";
    return {};
}

}
