#include <LibLabel/LabelSet.h>
#include <LibLabel/Scanner.h>
#include <algorithm>

namespace Label {

namespace {

bool isBefore(LabelEntry const& entry, std::string_view key) { return entry.key < key; }

Core::Result<void> expectEnd(Scanner& scanner)
{
    if (!scanner.isAtEnd())
        return scanner.unexpected("the end");
    return Core::ok();
}

}

Core::Result<LabelSet> LabelSet::parse(std::string_view text)
{
    LabelSet labels;
    Scanner scanner(text);
    if (scanner.isAtEnd())
        return labels;
    do {
        BOOST_OUTCOME_TRY(std::string_view key, scanner.readKey());
        if (labels.get(key))
            return Core::fail(Core::ErrorCode::BadInput, "label '" + std::string(key) + "' is given twice");
        if (!scanner.consume("="))
            return scanner.unexpected("'=' and a value");
        BOOST_OUTCOME_TRY(std::string_view value, scanner.readValue());
        labels.assign(key, value);
    } while (scanner.consume(","));
    if (!scanner.isAtEnd())
        return scanner.unexpected("',' or the end");
    labels.m_entries.shrink_to_fit();
    return labels;
}

std::optional<std::string_view> LabelSet::get(std::string_view key) const
{
    const_iterator it = std::lower_bound(m_entries.begin(), m_entries.end(), key, isBefore);
    if (it == m_entries.end() || it->key != key)
        return std::nullopt;
    return it->value;
}

Core::Result<void> LabelSet::set(std::string_view key, std::string_view value)
{
    Scanner keyScanner(key);
    BOOST_OUTCOME_TRY(std::string_view readKey, keyScanner.readKey());
    BOOST_OUTCOME_TRY(expectEnd(keyScanner));
    Scanner valueScanner(value);
    BOOST_OUTCOME_TRY(std::string_view readValue, valueScanner.readValue());
    BOOST_OUTCOME_TRY(expectEnd(valueScanner));
    assign(readKey, readValue);
    return Core::ok();
}

bool LabelSet::erase(std::string_view key)
{
    const_iterator it = std::lower_bound(m_entries.begin(), m_entries.end(), key, isBefore);
    if (it == m_entries.end() || it->key != key)
        return false;
    m_entries.erase(it);
    return true;
}

void LabelSet::merge(LabelSet const& other)
{
    for (LabelEntry const& entry : other)
        assign(entry.key, entry.value);
}

std::string LabelSet::toString() const
{
    std::string text;
    for (LabelEntry const& entry : m_entries) {
        if (!text.empty())
            text += ',';
        text.append(entry.key).append("=").append(entry.value);
    }
    return text;
}

void LabelSet::assign(std::string_view key, std::string_view value)
{
    std::vector<LabelEntry>::iterator it = std::lower_bound(m_entries.begin(), m_entries.end(), key, isBefore);
    if (it != m_entries.end() && it->key == key)
        it->value = value;
    else
        m_entries.insert(it, LabelEntry { std::string(key), std::string(value) });
}

}
