#include <LibLabel/Scanner.h>
#include <LibLabel/Selector.h>
#include <algorithm>

namespace Label {

namespace {

template <typename T>
void sortUnique(std::vector<T>& items)
{
    std::sort(items.begin(), items.end());
    items.erase(std::unique(items.begin(), items.end()), items.end());
    items.shrink_to_fit();
}

Core::Result<std::vector<std::string>> readSingleValue(Scanner& scanner)
{
    BOOST_OUTCOME_TRY(std::string_view value, scanner.readValue());
    return std::vector<std::string> { std::string(value) };
}

Core::Result<std::vector<std::string>> readValueList(Scanner& scanner)
{
    if (!scanner.consume("("))
        return scanner.unexpected("'(' and a list of values");
    if (scanner.consume(")"))
        return Core::fail(Core::ErrorCode::BadInput, "a list of values is empty: write at least one value between '(' and ')'");
    std::vector<std::string> values;
    do {
        BOOST_OUTCOME_TRY(std::string_view value, scanner.readValue());
        values.emplace_back(value);
    } while (scanner.consume(","));
    if (!scanner.consume(")"))
        return scanner.unexpected("',' and a value, or ')'");
    sortUnique(values);
    return values;
}

Core::Result<Requirement> readRequirement(Scanner& scanner)
{
    bool isNegated = scanner.consume("!");
    BOOST_OUTCOME_TRY(std::string_view key, scanner.readKey());
    Requirement requirement { std::string(key), isNegated ? Operator::DoesNotExist : Operator::Exists, {} };
    if (isNegated)
        return requirement;
    if (scanner.consume("!=")) {
        requirement.op = Operator::NotIn;
        BOOST_OUTCOME_TRY(requirement.values, readSingleValue(scanner));
    } else if (scanner.consume("==") || scanner.consume("=")) {
        requirement.op = Operator::In;
        BOOST_OUTCOME_TRY(requirement.values, readSingleValue(scanner));
    } else if (scanner.consumeWord("notin")) {
        requirement.op = Operator::NotIn;
        BOOST_OUTCOME_TRY(requirement.values, readValueList(scanner));
    } else if (scanner.consumeWord("in")) {
        requirement.op = Operator::In;
        BOOST_OUTCOME_TRY(requirement.values, readValueList(scanner));
    }
    return requirement;
}

}

Core::Result<Selector> Selector::parse(std::string_view text)
{
    Scanner scanner(text);
    if (scanner.isAtEnd())
        return Core::fail(Core::ErrorCode::BadInput, "position 1: read an empty selector, allowed: at least one requirement such as tier=night");
    std::vector<Requirement> requirements;
    do {
        BOOST_OUTCOME_TRY(Requirement requirement, readRequirement(scanner));
        requirements.push_back(std::move(requirement));
    } while (scanner.consume(","));
    if (!scanner.isAtEnd())
        return scanner.unexpected("'=', '==', '!=', 'in', 'notin', ',' or the end");
    sortUnique(requirements);
    return Selector(std::move(requirements));
}

bool Selector::matches(LabelSet const& labels) const
{
    return std::all_of(m_requirements.begin(), m_requirements.end(),
        [&labels](Requirement const& requirement) { return requirement.matches(labels); });
}

std::string Selector::toString() const
{
    std::string text;
    for (Requirement const& requirement : m_requirements) {
        if (!text.empty())
            text += ',';
        text += requirement.toString();
    }
    return text;
}

}
