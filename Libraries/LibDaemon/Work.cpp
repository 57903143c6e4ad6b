#include <LibDaemon/Work.h>
#include <LibPlatform/Json.h>
#include <LibRequest/HttpMapping.h>
#include <LibRequest/RequestMachine.h>
#include <algorithm>
#include <boost/json/array.hpp>
#include <charconv>
#include <limits>
#include <xxhash.h>

namespace Daemon {

namespace {

constexpr std::string_view labelsHeader = "Currantvale-Labels";
constexpr std::string_view deadlineHeader = "Currantvale-Deadline-Ms";
constexpr std::string_view idempotencyHeader = "Idempotency-Key";
constexpr std::string_view systemHeaderPrefix = "currantvale-";
constexpr std::size_t charactersPerToken = 4;
constexpr std::size_t charactersPerPrefixBlock = 1024;
constexpr std::size_t maxPrefixBlocks = 64;
constexpr std::uint32_t defaultOutputTokens = 256;
constexpr std::uint64_t maxOutputTokens = 1'000'000;
constexpr std::size_t maxIdempotencyKeyLength = 255;

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

Core::Result<std::chrono::milliseconds> readTimeout(Http::Fields const& fields, WorkLimits const& limits)
{
    std::optional<std::string_view> text = fields.find(deadlineHeader);
    if (!text)
        return limits.defaultTimeout;
    std::uint64_t number = 0;
    std::from_chars_result parsed = std::from_chars(text->data(), text->data() + text->size(), number);
    bool isNumber = parsed.ec == std::errc() && parsed.ptr == text->data() + text->size();
    if (!isNumber || number == 0 || number > static_cast<std::uint64_t>(limits.maxTimeout.count()))
        return Core::fail(Core::ErrorCode::BadInput, std::string(deadlineHeader) + ": read \"" + std::string(*text) + "\"; allowed is a whole number from 1 to " + std::to_string(limits.maxTimeout.count()));
    return std::chrono::milliseconds(number);
}

Core::Result<Label::LabelSet> readCallerLabels(Http::Fields const& fields)
{
    Core::Result<Label::LabelSet> labels = Label::LabelSet::parse(fields.find(labelsHeader).value_or(""));
    if (labels.has_error())
        return Core::fail(Core::ErrorCode::BadInput, std::string(labelsHeader) + ": " + labels.error().message);
    if (std::optional<std::string_view> organisation = fields.find(organisationHeader)) {
        Core::Result<void> set = labels.value().set("organisation", *organisation);
        if (set.has_error() || organisation->empty())
            return Core::fail(Core::ErrorCode::BadInput, std::string(organisationHeader) + ": read \"" + std::string(*organisation) + "\"; allowed is a label value");
    }
    return labels;
}

// Sets a label that only the system may set. The label is omitted if the value is not valid label syntax.
void setSystemLabel(Label::LabelSet& labels, std::string_view key, std::string_view value)
{
    labels.erase(key);
    Core::Result<void> set = labels.set(key, value);
    if (set.has_error())
        labels.erase(key);
}

Core::Result<int> readPriority(Label::LabelSet const& labels)
{
    std::optional<std::string_view> text = labels.get("priority");
    if (!text)
        return 5;
    if (text->size() != 1 || text->front() < '0' || text->front() > '9')
        return Core::fail(Core::ErrorCode::BadInput, "label priority: read \"" + std::string(*text) + "\"; allowed is a digit from 0 (first) to 9 (last)");
    return text->front() - '0';
}

Core::Result<bool> readRepeatable(Work const& work, std::string_view method)
{
    std::optional<std::string_view> text = work.labels.get("repeatable");
    if (!text)
        return work.kind == Work::Kind::Model || Request::isIdempotentMethod(method);
    if (*text != "yes" && *text != "no")
        return Core::fail(Core::ErrorCode::BadInput, "label repeatable: read \"" + std::string(*text) + "\"; allowed is yes or no");
    return *text == "yes";
}

// Applies the configured request rules and reads the labels that the daemon interprets.
Core::Result<void> applyLabelRules(Work& work, Label::LabelSet labels, State::Config const& config, std::string_view method)
{
    setSystemLabel(labels, "kind", work.kind == Work::Kind::Model ? "model" : "service");
    setSystemLabel(labels, work.kind == Work::Kind::Model ? "model" : "service", work.name);
    setSystemLabel(labels, "method", method);
    work.labels = config.requestLabels(labels);
    work.organisation = std::string(work.labels.get("organisation").value_or(anonymousOrganisation));
    BOOST_OUTCOME_TRY(work.priority, readPriority(work.labels));
    BOOST_OUTCOME_TRY(work.isRepeatable, readRepeatable(work, method));
    work.shape.priority = static_cast<std::uint8_t>(work.priority);
    return Core::ok();
}

// If the configuration has organisations, the authentication step has set the organisation header.
void readOrganisation(Work& work, Http::Fields const& fields, State::Config const& config)
{
    std::optional<std::string_view> name = fields.find(organisationHeader);
    if (!config.organisations() || !name)
        return;
    work.organisation = std::string(*name);
    work.isAuthenticated = true;
    State::ObjectPointer object = config.find({ State::Kind::Organisation, work.organisation });
    if (!object)
        return;
    work.priority = std::get<State::OrganisationContent>(object->content).priority.value_or(work.priority);
    work.shape.priority = static_cast<std::uint8_t>(work.priority);
}

void appendText(std::string& prompt, boost::json::value const& content)
{
    if (content.is_string())
        prompt += std::string_view(content.get_string());
    if (!content.is_array())
        return;
    for (boost::json::value const& part : content.get_array()) {
        if (part.is_object())
            prompt += Platform::stringOf(part.get_object(), "text");
    }
}

Core::Result<std::string> readMessages(boost::json::object const& body)
{
    boost::json::array const* messages = Platform::arrayOf(body, "messages");
    if (!messages || messages->empty())
        return Core::fail(Core::ErrorCode::BadInput, "messages: missing or empty; allowed is an array of objects with role and content");
    std::string prompt;
    for (boost::json::value const& message : *messages) {
        boost::json::object const* object = message.if_object();
        boost::json::value const* content = object ? object->if_contains("content") : nullptr;
        if (!object || Platform::stringOf(*object, "role").empty() || !content)
            return Core::fail(Core::ErrorCode::BadInput, "messages: each must be an object with role and content");
        prompt += Platform::stringOf(*object, "role") + ": ";
        appendText(prompt, *content);
        prompt += '\n';
    }
    return prompt;
}

Core::Result<std::string> readPrompt(boost::json::object const& body, bool isChat)
{
    if (isChat)
        return readMessages(body);
    boost::json::value const* prompt = body.if_contains("prompt");
    if (!prompt || !prompt->is_string())
        return Core::fail(Core::ErrorCode::BadInput, "prompt: missing or no string; allowed is a string");
    return std::string(prompt->get_string());
}

Core::Result<std::uint32_t> readOutputTokens(boost::json::object const& body)
{
    for (std::string_view key : { "max_tokens", "max_completion_tokens" }) {
        boost::json::value const* value = body.if_contains(key);
        if (!value || value->is_null())
            continue;
        std::uint64_t number = Platform::numberOf(body, key, 0);
        if (number == 0 || number > maxOutputTokens)
            return Core::fail(Core::ErrorCode::BadInput, std::string(key) + ": allowed is a whole number from 1 to " + std::to_string(maxOutputTokens));
        return static_cast<std::uint32_t>(number);
    }
    return defaultOutputTokens;
}

// Returns a chain of hashes over the blocks at the start of the prompt, used to find requests that share a prefix.
std::vector<Routing::PrefixBlock> prefixChain(std::string_view model, std::string_view prompt)
{
    std::vector<Routing::PrefixBlock> chain;
    XXH64_hash_t hash = XXH3_64bits(model.data(), model.size());
    std::size_t blocks = std::min(prompt.size() / charactersPerPrefixBlock, maxPrefixBlocks);
    for (std::size_t n = 0; n < blocks; ++n) {
        hash = XXH3_64bits_withSeed(prompt.data() + n * charactersPerPrefixBlock, charactersPerPrefixBlock, hash);
        chain.push_back({ hash == 0 ? 1 : hash, static_cast<std::uint32_t>((n + 1) * charactersPerPrefixBlock / charactersPerToken) });
    }
    return chain;
}

Core::Result<Label::LabelSet> readModelBody(Work& work, Http::Request const& request, bool isChat)
{
    BOOST_OUTCOME_TRY(Label::LabelSet labels, readCallerLabels(request.fields));
    BOOST_OUTCOME_TRY(boost::json::object body, Platform::parseObject(request.body));
    work.name = Platform::stringOf(body, "model");
    if (work.name.empty())
        return Core::fail(Core::ErrorCode::BadInput, "model: missing or no string; allowed is the name of a model from /v1/models");
    boost::json::value const* stream = body.if_contains("stream");
    if (stream && !stream->is_bool() && !stream->is_null())
        return Core::fail(Core::ErrorCode::BadInput, "stream: allowed is true or false");
    work.isStreamed = Platform::flagOf(body, "stream");
    BOOST_OUTCOME_TRY(std::string prompt, readPrompt(body, isChat));
    BOOST_OUTCOME_TRY(work.shape.expectedOutputTokens, readOutputTokens(body));
    work.shape.promptTokens = static_cast<std::uint32_t>(prompt.size() / charactersPerToken + 1);
    work.prefix = prefixChain(work.name, prompt);
    work.shape.prefixHash = work.prefix.empty() ? 0 : work.prefix.back().hash;
    return labels;
}

bool isSystemHeader(std::string_view name)
{
    return name.size() > systemHeaderPrefix.size() && Http::isSameFieldName(name.substr(0, systemHeaderPrefix.size()), systemHeaderPrefix);
}

Http::Request makeUpstream(Http::Request const& request, std::string target)
{
    Http::Request upstream { request.method, std::move(target), {}, request.body };
    Http::Fields passed = Http::withoutHopByHop(request.fields);
    for (Http::Fields::Entry const& entry : passed.entries()) {
        bool isReplaced = Http::isSameFieldName(entry.first, "Host") || Http::isSameFieldName(entry.first, "Content-Length") || Http::isSameFieldName(entry.first, "Expect") || Http::isSameFieldName(entry.first, "X-Request-Id");
        if (!isReplaced && !isSystemHeader(entry.first))
            upstream.fields.add(entry.first, entry.second);
    }
    return upstream;
}

Core::Result<Label::LabelSet> readService(Work& work, Http::Request const& request)
{
    std::string_view rest = std::string_view(request.target).substr(servicePrefix.size());
    std::size_t end = rest.find_first_of("/?");
    work.kind = Work::Kind::Service;
    work.name = std::string(rest.substr(0, end));
    if (work.name.empty())
        return Core::fail(Core::ErrorCode::BadInput, "read \"" + request.target + "\"; allowed is /services/NAME/PATH");
    std::string target(end == std::string_view::npos ? "/" : rest.substr(end));
    if (target.front() == '?')
        target.insert(target.begin(), '/');
    work.upstream = makeUpstream(request, std::move(target));
    return readCallerLabels(request.fields);
}

Core::Result<Label::LabelSet> readModel(Work& work, Http::Request const& request)
{
    std::string_view path = pathOf(request.target);
    bool isChat = path == "/v1/chat/completions";
    if (!isChat && path != "/v1/completions")
        return Core::fail(Core::ErrorCode::NotFound, "no such path: \"" + std::string(path) + "\"; allowed are /v1/completions, /v1/chat/completions, /v1/models, /v1/entries, /v1/answers/TICKET and /services/NAME/...");
    if (request.method != "POST")
        return Core::fail(Core::ErrorCode::BadInput, "method " + request.method + " is not allowed on " + std::string(path) + "; allowed is POST");
    work.upstream = makeUpstream(request, std::string(path));
    return readModelBody(work, request, isChat);
}

}

Request::Fingerprint workKeyOf(Http::Request const& request, Work const& work)
{
    std::string_view host = request.fields.find("Host").value_or("");
    if (work.isAuthenticated)
        return Request::fingerprintOf({ host, request.method, request.target, request.body, "", work.organisation });
    std::string_view credentials = request.fields.find("Authorization").value_or("");
    std::string_view organisation = request.fields.find(organisationHeader).value_or("");
    return Request::fingerprintOf({ host, request.method, request.target, request.body, credentials, organisation });
}

std::string toLogText(Request::Fingerprint const& key)
{
    constexpr std::size_t loggedDigits = 16;
    return Request::toString(key).substr(0, loggedDigits);
}

Core::Result<Work> parseWork(Http::Request const& request, State::Config const& config, WorkLimits const& limits, std::string requestId)
{
    Work work;
    work.requestId = std::move(requestId);
    BOOST_OUTCOME_TRY(work.timeout, readTimeout(request.fields, limits));
    bool isService = std::string_view(request.target).starts_with(servicePrefix);
    BOOST_OUTCOME_TRY(Label::LabelSet labels, isService ? readService(work, request) : readModel(work, request));
    BOOST_OUTCOME_TRY(applyLabelRules(work, std::move(labels), config, request.method));
    readOrganisation(work, request.fields, config);
    if (std::optional<std::string_view> ticket = request.fields.find(Request::ticketHeader))
        work.ticket = std::string(*ticket);
    work.idempotencyKey = std::string(request.fields.find(idempotencyHeader).value_or(""));
    if (work.idempotencyKey.size() > maxIdempotencyKeyLength)
        return Core::fail(Core::ErrorCode::BadInput, "Idempotency-Key: longer than " + std::to_string(maxIdempotencyKeyLength) + " bytes");
    return work;
}

}
