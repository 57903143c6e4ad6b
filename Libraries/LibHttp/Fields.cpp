#include <LibHttp/Fields.h>
#include <algorithm>
#include <array>
#include <cctype>

namespace Http {

namespace {

constexpr std::array<std::string_view, 9> hopByHopNames {
    "Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
    "TE", "Trailer", "Transfer-Encoding", "Upgrade"
};

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

bool isListed(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        std::size_t comma = list.find(',');
        if (isSameFieldName(trimmed(list.substr(0, comma)), name))
            return true;
        if (comma == std::string_view::npos)
            return false;
        list.remove_prefix(comma + 1);
    }
    return false;
}

bool isHopByHop(Fields const& fields, std::string_view name)
{
    if (std::any_of(hopByHopNames.begin(), hopByHopNames.end(), [&](std::string_view it) { return isSameFieldName(it, name); }))
        return true;
    return std::any_of(fields.entries().begin(), fields.entries().end(), [&](Fields::Entry const& entry) {
        return isSameFieldName(entry.first, "Connection") && isListed(entry.second, name);
    });
}

}

bool isSameFieldName(std::string_view first, std::string_view second)
{
    return std::equal(first.begin(), first.end(), second.begin(), second.end(), [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    });
}

std::optional<std::string_view> Fields::find(std::string_view name) const
{
    for (Entry const& entry : m_entries) {
        if (isSameFieldName(entry.first, name))
            return entry.second;
    }
    return std::nullopt;
}

void Fields::add(std::string name, std::string value)
{
    m_entries.emplace_back(std::move(name), std::move(value));
}

void Fields::set(std::string name, std::string value)
{
    remove(name);
    add(std::move(name), std::move(value));
}

void Fields::remove(std::string_view name)
{
    std::erase_if(m_entries, [&](Entry const& entry) { return isSameFieldName(entry.first, name); });
}

bool isFieldValue(std::string_view value)
{
    constexpr unsigned char firstPrintable = 0x20;
    return value.size() <= maxFieldValueSize && std::all_of(value.begin(), value.end(), [](unsigned char c) { return c >= firstPrintable || c == '\t'; });
}

Fields withoutHopByHop(Fields const& fields)
{
    Fields kept;
    for (Fields::Entry const& entry : fields.entries()) {
        if (!isHopByHop(fields, entry.first))
            kept.add(entry.first, entry.second);
    }
    return kept;
}

}
