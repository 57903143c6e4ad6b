#include <LibStandIn/Completion.h>

#include <LibJson/Reader.h>
#include <LibStandIn/ExpectedText.h>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace StandIn {

namespace {

constexpr std::uint64_t defaultChatTokens = 64;
constexpr std::uint64_t mostTokens = 1'000'000;

Core::Result<std::string> contentOf(boost::json::value const& value)
{
    if (value.is_string())
        return std::string(value.get_string());
    if (!value.is_array())
        return Core::fail(Core::ErrorCode::BadInput, "A message's 'content' must be a string or a list of text parts.");
    std::string content;
    for (boost::json::value const& part : value.get_array()) {
        boost::json::value const* text = part.is_object() ? part.get_object().if_contains("text") : nullptr;
        if (!text || !text->is_string())
            return Core::fail(Core::ErrorCode::BadInput, "Each part of a message's content must have a string 'text'.");
        content += text->get_string();
    }
    return content;
}

Core::Result<std::string> chatPrompt(boost::json::object const& body)
{
    boost::json::value const* messages = body.if_contains("messages");
    if (!messages || !messages->is_array() || messages->get_array().empty())
        return Core::fail(Core::ErrorCode::BadInput, "'messages' must be a list that is not empty.");
    std::string prompt;
    for (boost::json::value const& it : messages->get_array()) {
        boost::json::value const* role = it.is_object() ? it.get_object().if_contains("role") : nullptr;
        boost::json::value const* content = it.is_object() ? it.get_object().if_contains("content") : nullptr;
        if (!role || !role->is_string() || !content)
            return Core::fail(Core::ErrorCode::BadInput, "Each message must have 'role' and 'content'.");
        BOOST_OUTCOME_TRY(std::string text, contentOf(*content));
        prompt += std::string(role->get_string()) + ": " + text + "\n";
    }
    return prompt;
}

Core::Result<std::string> plainPrompt(boost::json::object const& body)
{
    BOOST_OUTCOME_TRY(std::optional<std::string> prompt, Json::optionalString(body, "prompt"));
    if (!prompt)
        return Core::fail(Core::ErrorCode::BadInput, "'prompt' is missing.");
    return *prompt;
}

std::string quoted(std::string const& text)
{
    return boost::json::serialize(boost::json::string(text));
}

std::string usage(EngineStream const& stream)
{
    return R"("usage":{"prompt_tokens":)" + std::to_string(stream.promptTokens) + R"(,"completion_tokens":)" + std::to_string(stream.maximumTokens)
        + R"(,"total_tokens":)" + std::to_string(stream.promptTokens + stream.maximumTokens) + "}";
}

}

Core::Result<Completion> parseCompletion(std::string_view body, bool isChat)
{
    BOOST_OUTCOME_TRY(boost::json::object object, Json::parseObject(body));
    Completion completion { .isChat = isChat, .model = {}, .prompt = {}, .maximumTokens = isChat ? defaultChatTokens : 16 };
    BOOST_OUTCOME_TRY(std::optional<std::string> model, Json::optionalString(object, "model"));
    BOOST_OUTCOME_TRY(std::optional<bool> isStreamed, Json::optionalBool(object, "stream"));
    BOOST_OUTCOME_TRY(std::optional<std::uint64_t> tokens, Json::optionalNumber(object, "max_tokens"));
    BOOST_OUTCOME_TRY(std::optional<std::uint64_t> completionTokens, Json::optionalNumber(object, "max_completion_tokens"));
    BOOST_OUTCOME_TRY(completion.prompt, isChat ? chatPrompt(object) : plainPrompt(object));
    completion.model = model.value_or("");
    completion.isStreamed = isStreamed.value_or(false);
    completion.maximumTokens = completionTokens.value_or(tokens.value_or(completion.maximumTokens));
    if (completion.maximumTokens > mostTokens)
        return Core::fail(Core::ErrorCode::BadInput, "'max_tokens' may be at most 1000000.");
    return completion;
}

CompletionWriter::CompletionWriter(bool isChat, std::string const& id, std::string const& model)
    : m_isChat(isChat)
{
    std::string kind = isChat ? "chat.completion" : "text_completion";
    std::string chunkKind = isChat ? "chat.completion.chunk" : "text_completion";
    std::string prefix = R"({"id":)" + quoted((isChat ? "chatcmpl-" : "cmpl-") + id) + R"(,"object":")";
    std::string suffix = R"(","created":0,"model":)" + quoted(model) + R"(,"choices":[{"index":0,)";
    m_chunkHead = prefix + chunkKind + suffix;
    m_wholeHead = prefix + kind + suffix;
}

std::uint64_t CompletionWriter::eventCount(EngineStream const& stream)
{
    return stream.isFinished ? stream.maximumTokens + 2 : stream.tokens;
}

std::string CompletionWriter::event(EngineStream const& stream, std::uint64_t index) const
{
    std::string head = "id: " + std::to_string(index) + "\ndata: ";
    if (index > stream.maximumTokens)
        return head + "[DONE]\n\n";
    bool isEnd = index == stream.maximumTokens;
    std::string text = isEnd ? "" : answerToken(stream.seed, index);
    std::string role = index == 0 ? R"("role":"assistant",)" : "";
    std::string choice = m_isChat ? R"("delta":{)" + role + R"("content":")" + text + R"("})" : R"("text":")" + text + R"(")";
    std::string reason = isEnd ? R"(,"finish_reason":"length"}],)" + usage(stream) + "}" : R"(,"finish_reason":null}]})";
    return head + m_chunkHead + choice + reason + "\n\n";
}

std::string CompletionWriter::whole(EngineStream const& stream) const
{
    std::string text;
    for (std::uint64_t i = 0; i < stream.maximumTokens; ++i)
        text += answerToken(stream.seed, i);
    std::string choice = m_isChat ? R"("message":{"role":"assistant","content":")" + text + R"("})" : R"("text":")" + text + R"(")";
    return m_wholeHead + choice + R"(,"finish_reason":"length"}],)" + usage(stream) + "}";
}

}
