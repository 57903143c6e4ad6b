#include <LibLoad/AnswerCheck.h>

#include <LibCore/Verdict.h>
#include <LibJson/Reader.h>
#include <LibStandIn/ExpectedText.h>
#include <algorithm>
#include <boost/json/array.hpp>
#include <charconv>

namespace Load {

namespace {

constexpr std::string_view idField = "id: ";
constexpr std::string_view dataField = "data: ";

/// Returns the text of the only choice, or nothing.
std::optional<std::string> textOf(boost::json::object const& body)
{
    boost::json::value const* choices = body.if_contains("choices");
    if (!choices || !choices->is_array() || choices->get_array().size() != 1 || !choices->get_array()[0].is_object())
        return std::nullopt;
    Core::Result<std::string> text = Json::requiredString(choices->get_array()[0].get_object(), "text");
    return text ? std::optional(text.value()) : std::nullopt;
}

/// Returns what an error object says of the request, or nothing when the body has none.
std::optional<Ending> errorOf(boost::json::object const& body)
{
    boost::json::value const* error = body.if_contains("error");
    if (!error || !error->is_object())
        return std::nullopt;
    Core::Result<std::string> verdict = Json::requiredString(error->get_object(), "verdict");
    return verdict ? endingOf(verdict.value()) : Ending::NoAnswer;
}

}

Ending endingOf(std::string_view verdict)
{
    std::optional<Core::Verdict> known = Core::valueOf(Core::verdictNames, verdict);
    if (!known)
        return Ending::NoAnswer;
    switch (*known) {
    case Core::Verdict::NotRun:
        return Ending::NotRun;
    case Core::Verdict::MayHaveRun:
        return Ending::MayHaveRun;
    case Core::Verdict::Ran:
        break;
    }
    return Ending::Ran;
}

AnswerCheck::AnswerCheck(std::string_view prompt, std::uint64_t tokens)
    : m_seed(StandIn::answerSeed(prompt))
    , m_expectedTokens(tokens)
{
}

std::uint64_t AnswerCheck::add(std::string_view piece)
{
    m_rest += piece;
    std::uint64_t tokens = 0;
    std::size_t start = 0;
    while (true) {
        std::size_t end = m_rest.find("\n\n", start);
        if (end == std::string::npos)
            break;
        tokens += takeEvent(std::string_view(m_rest).substr(start, end - start));
        start = end + 2;
    }
    m_rest.erase(0, start);
    return tokens;
}

std::uint64_t AnswerCheck::takeEvent(std::string_view event)
{
    std::uint64_t tokens = 0;
    while (!event.empty()) {
        std::string_view line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(line.size() + 1, event.size()));
        if (line.starts_with(idField)) {
            std::uint64_t id = 0;
            std::from_chars(line.data() + idField.size(), line.data() + line.size(), id);
            m_isWrong = m_isWrong || id != m_nextId++;
        } else if (line.starts_with(dataField)) {
            tokens += takeData(line.substr(dataField.size()));
        }
    }
    return tokens;
}

std::uint64_t AnswerCheck::takeData(std::string_view data)
{
    m_isWrong = m_isWrong || m_isDone;
    if (data == "[DONE]") {
        m_isDone = true;
        return 0;
    }
    Core::Result<boost::json::object> body = Json::parseObject(data);
    std::optional<std::string> text = body ? textOf(body.value()) : std::nullopt;
    if (!text) {
        m_error = body ? errorOf(body.value()) : std::nullopt;
        m_isWrong = m_isWrong || !m_error;
        return 0;
    }
    if (text->empty())
        return 0;
    bool isNext = m_tokens < m_expectedTokens && *text == StandIn::answerToken(m_seed, m_tokens);
    m_isWrong = m_isWrong || !isNext;
    ++m_tokens;
    return 1;
}

Ending AnswerCheck::ending() const
{
    if (m_isWrong)
        return Ending::Wrong;
    if (m_error)
        return m_isDone ? Ending::Wrong : *m_error;
    return m_isDone && m_tokens == m_expectedTokens && m_rest.empty() ? Ending::Whole : Ending::Cut;
}

Ending checkWhole(std::string_view body, std::string_view prompt, std::uint64_t tokens)
{
    Core::Result<boost::json::object> object = Json::parseObject(body);
    std::optional<std::string> text = object ? textOf(object.value()) : std::nullopt;
    if (!text)
        return Ending::Cut;
    std::string expected = StandIn::expectedText(prompt, tokens);
    if (*text == expected)
        return Ending::Whole;
    return expected.starts_with(*text) ? Ending::Cut : Ending::Wrong;
}

}
