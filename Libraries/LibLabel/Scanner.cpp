#include <LibLabel/Scanner.h>
#include <algorithm>
#include <array>
#include <cstdio>

namespace Label {

namespace {

constexpr std::size_t maximumNameLength = 63;
constexpr std::size_t maximumPrefixLength = 253;
constexpr std::size_t maximumQuotedLength = 40;
constexpr std::string_view nameRule = "1 to 63 letters, digits, '-', '_' and '.', the first and last a letter or digit";
constexpr std::string_view keyRule = "a key: [PREFIX/]NAME, NAME being 1 to 63 letters, digits, '-', '_' and '.', the first and last a letter or digit";
constexpr std::string_view prefixRule = "a prefix before '/': at most 253 small letters, digits, '-' and '.', each part between dots starting and ending with a letter or digit";

bool isSmallAlphanumeric(char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); }
bool isAlphanumeric(char c) { return isSmallAlphanumeric(c) || (c >= 'A' && c <= 'Z'); }
bool isNameCharacter(char c) { return isAlphanumeric(c) || c == '-' || c == '_' || c == '.'; }

bool isName(std::string_view name)
{
    return !name.empty() && name.size() <= maximumNameLength && isAlphanumeric(name.front())
        && isAlphanumeric(name.back()) && std::all_of(name.begin(), name.end(), isNameCharacter);
}

bool isDnsLabel(std::string_view part)
{
    return !part.empty() && part.size() <= maximumNameLength && isSmallAlphanumeric(part.front())
        && isSmallAlphanumeric(part.back())
        && std::all_of(part.begin(), part.end(), [](char c) { return isSmallAlphanumeric(c) || c == '-'; });
}

bool isPrefix(std::string_view prefix)
{
    if (prefix.size() > maximumPrefixLength)
        return false;
    while (true) {
        std::size_t dot = prefix.find('.');
        if (!isDnsLabel(prefix.substr(0, dot)))
            return false;
        if (dot == std::string_view::npos)
            return true;
        prefix.remove_prefix(dot + 1);
    }
}

std::string quote(std::string_view text)
{
    std::string quoted = "'";
    for (char c : text.substr(0, maximumQuotedLength)) {
        if (c >= ' ' && c <= '~') {
            quoted += c;
            continue;
        }
        std::array<char, 5> buf {};
        std::snprintf(buf.data(), buf.size(), "\\x%02x", static_cast<unsigned>(static_cast<unsigned char>(c)));
        quoted += buf.data();
    }
    return quoted + (text.size() > maximumQuotedLength ? "...'" : "'");
}

}

void Scanner::skipSpaces()
{
    while (m_position < m_text.size() && (m_text[m_position] == ' ' || m_text[m_position] == '\t'))
        ++m_position;
}

bool Scanner::isAtEnd()
{
    skipSpaces();
    return m_position == m_text.size();
}

bool Scanner::consume(std::string_view sign)
{
    skipSpaces();
    if (m_text.substr(m_position, sign.size()) != sign)
        return false;
    m_position += sign.size();
    return true;
}

bool Scanner::consumeWord(std::string_view word)
{
    skipSpaces();
    std::size_t start = m_position;
    if (readWord() == word)
        return true;
    m_position = start;
    return false;
}

std::string_view Scanner::readWord()
{
    std::size_t start = m_position;
    while (m_position < m_text.size() && (isNameCharacter(m_text[m_position]) || m_text[m_position] == '/'))
        ++m_position;
    return m_text.substr(start, m_position - start);
}

Core::Result<std::string_view> Scanner::readKey()
{
    skipSpaces();
    std::size_t start = m_position;
    std::string_view key = readWord();
    if (key.empty())
        return unexpected(keyRule);
    std::size_t slash = key.find('/');
    if (slash == std::string_view::npos)
        return isName(key) ? Core::Result<std::string_view>(key) : errorAt(start, quote(key), keyRule);
    if (!isPrefix(key.substr(0, slash)))
        return errorAt(start, quote(key.substr(0, slash)), prefixRule);
    if (!isName(key.substr(slash + 1)))
        return errorAt(start + slash + 1, quote(key.substr(slash + 1)), nameRule);
    return key;
}

Core::Result<std::string_view> Scanner::readValue()
{
    skipSpaces();
    std::size_t start = m_position;
    std::string_view value = readWord();
    if (value.empty() || isName(value))
        return value;
    return errorAt(start, quote(value), std::string("a value: nothing, or ") + std::string(nameRule));
}

Core::Error Scanner::unexpected(std::string_view allowed)
{
    if (isAtEnd())
        return errorAt(m_position, "the end", allowed);
    return errorAt(m_position, quote(m_text.substr(m_position, 1)), allowed);
}

Core::Error Scanner::errorAt(std::size_t position, std::string_view read, std::string_view allowed) const
{
    return Core::makeError(Core::ErrorCode::BadInput,
        "position " + std::to_string(position + 1) + ": read " + std::string(read) + ", allowed: " + std::string(allowed));
}

}
