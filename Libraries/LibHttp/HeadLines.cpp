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

}
