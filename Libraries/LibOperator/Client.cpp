#include <LibOperator/Client.h>

#include <LibJson/Reader.h>
#include <LibOperator/Codec.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>
#include <optional>

namespace Operator {

namespace {

using Answer = std::optional<Core::Result<Http::Response>>;
using Endpoint = boost::asio::ip::tcp::endpoint;

boost::asio::awaitable<void> fetchInto(Http::Client& client, Endpoint server, Http::Request request, Answer& answer)
{
    answer = co_await client.fetch(server, std::move(request));
}

Http::ClientSettings httpSettings(std::chrono::milliseconds timeout)
{
    Http::ClientSettings settings;
    settings.connectTimeout = std::min(settings.connectTimeout, timeout);
    settings.writeTimeout = std::min(settings.writeTimeout, timeout);
    settings.headTimeout = timeout;
    settings.pieceTimeout = std::min(settings.pieceTimeout, timeout);
    return settings;
}

/// What an error body says.
struct ErrorBody {
    std::string message;
    Core::Verdict verdict { Core::Verdict::NotRun };
};

/// Reads an error body. Without a verdict, 503 leaves it open whether the request ran.
ErrorBody errorBodyOf(Http::Response const& response)
{
    bool isOpen = response.status == static_cast<std::uint16_t>(Http::Status::ServiceUnavailable);
    ErrorBody body { "status " + std::to_string(response.status), isOpen ? Core::Verdict::MayHaveRun : Core::Verdict::NotRun };
    Core::Result<boost::json::object> json = Json::parseObject(response.body);
    boost::json::value const* error = json ? json.value().if_contains("error") : nullptr;
    if (!error || !error->is_object())
        return body;
    Core::Result<std::string> message = Json::requiredString(error->get_object(), "message");
    body.message = message ? message.value() : boost::json::serialize(*error);
    Core::Result<std::string> verdict = Json::requiredString(error->get_object(), "verdict");
    body.verdict = verdict ? Core::valueOf(Core::verdictNames, verdict.value()).value_or(body.verdict) : body.verdict;
    return body;
}

Core::Error errorOf(Http::Response const& response)
{
    ErrorBody body = errorBodyOf(response);
    switch (static_cast<Http::Status>(response.status)) {
    case Http::Status::Unauthorized:
    case Http::Status::Forbidden:
        return Core::makeError(Core::ErrorCode::Unauthorized, "the token is missing or wrong");
    case Http::Status::BadRequest:
    case Http::Status::UnprocessableContent:
    case Http::Status::ContentTooLarge:
        return Core::makeError(Core::ErrorCode::BadInput, body.message);
    case Http::Status::ServiceUnavailable:
        return { Core::ErrorCode::Unavailable, body.message, body.verdict };
    case Http::Status::NotFound:
        return Core::makeError(Core::ErrorCode::NotFound, "the server's platform does not have this: " + body.message);
    default:
        return Core::makeError(Core::ErrorCode::Internal, "the server's answer has status " + std::to_string(response.status) + ": " + body.message);
    }
}

/// Reads a body that is only well-formed with status 200.
template <typename T>
Core::Result<T> decodeOk(Core::Result<Http::Response> const& response, Core::Result<T> (*decode)(std::string_view))
{
    if (!response)
        return response.error();
    if (response.value().status != static_cast<std::uint16_t>(Http::Status::Ok))
        return errorOf(response.value());
    Core::Result<T> decoded = decode(response.value().body);
    if (!decoded)
        return Core::makeError(Core::ErrorCode::Internal, "the server's answer breaks the protocol: " + decoded.error().message);
    return decoded;
}

/// Returns the reply when the body is one.
std::optional<ChangeReply> replyOf(Core::Result<Http::Response> const& response)
{
    if (!response)
        return std::nullopt;
    Core::Result<ChangeReply> reply = decodeReply(response.value().body);
    return reply ? std::optional(reply.value()) : std::nullopt;
}

}

std::unique_ptr<Client> Client::create(boost::asio::io_context& context, ClientSettings settings)
{
    return std::unique_ptr<Client>(new Client(context, std::move(settings)));
}

Client::Client(boost::asio::io_context& context, ClientSettings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_client(Http::Client::create(context, httpSettings(m_settings.timeout)))
{
}

Core::Result<Http::Response> Client::fetch(Endpoint const& server, Http::Request request)
{
    Answer answer;
    if (!m_settings.token.empty())
        request.fields.set("Authorization", "Bearer " + m_settings.token);
    boost::asio::co_spawn(m_context, fetchInto(*m_client, server, std::move(request), answer), boost::asio::detached);
    m_context.restart();
    while (!answer)
        m_context.run_one();
    return *answer;
}

Core::Result<Http::Response> Client::call(std::string const& method, std::string const& target, std::string const& body)
{
    Core::Result<Http::Response> last = Core::makeError(Core::ErrorCode::Unavailable, "no server is given");
    for (Endpoint const& server : m_settings.servers) {
        last = fetch(server, { method, target, {}, body });
        if (last && last.value().status != static_cast<std::uint16_t>(Http::Status::ServiceUnavailable))
            break;
    }
    return last;
}

Core::Result<ConfigDocument> Client::config()
{
    return decodeOk(call("GET", "/v1/config", {}), decodeConfig);
}

Core::Result<std::vector<HistoryEntry>> Client::history(std::uint64_t limit)
{
    return decodeOk(call("GET", "/v1/config/history?limit=" + std::to_string(limit), {}), decodeHistory);
}

Core::Result<Progress> Client::progress(std::uint64_t revision)
{
    return decodeOk(call("GET", "/v1/config/progress?revision=" + std::to_string(revision), {}), decodeProgress);
}

Core::Result<boost::json::object> Client::status()
{
    return decodeOk(call("GET", "/v1/status", {}), Json::parseObject);
}

Core::Result<boost::json::object> Client::duties()
{
    return decodeOk(call("GET", "/duties", {}), Json::parseObject);
}

Core::Result<boost::json::object> Client::limits()
{
    return decodeOk(call("GET", "/limits", {}), Json::parseObject);
}

Core::Result<boost::json::object> Client::paces()
{
    return decodeOk(call("GET", "/paces", {}), Json::parseObject);
}

Core::Result<boost::json::object> Client::suspects()
{
    return decodeOk(call("GET", "/suspects", {}), Json::parseObject);
}

Core::Result<boost::json::object> Client::explain(boost::json::object const& question)
{
    return decodeOk(call("POST", "/v1/explain", boost::json::serialize(question)), Json::parseObject);
}

Core::Result<ChangeReply> Client::submit(State::ConfigRecord const& record)
{
    std::string body = encode(record);
    bool mayHaveRun = false;
    Core::Error error = Core::makeError(Core::ErrorCode::Unavailable, "no server is given");
    for (Endpoint const& server : m_settings.servers) {
        Core::Result<Http::Response> response = fetch(server, { "POST", "/v1/config/records", {}, body });
        std::optional<ChangeReply> reply = replyOf(response);
        if (reply && reply->outcome != ChangeOutcome::Unknown)
            return *reply;
        if (reply) {
            mayHaveRun = true;
            error.message = reply->reason;
            continue;
        }
        error = response ? errorOf(response.value()) : response.error();
        mayHaveRun = mayHaveRun || error.verdict != Core::Verdict::NotRun || error.code == Core::ErrorCode::Internal;
        bool isFinal = error.code == Core::ErrorCode::BadInput || error.code == Core::ErrorCode::Unauthorized;
        if (isFinal && response)
            break;
    }
    if (mayHaveRun)
        return ChangeReply { ChangeOutcome::Unknown, 0, error.message, std::nullopt };
    return error;
}

void Client::wait(std::chrono::milliseconds time)
{
    bool isDone = false;
    boost::asio::steady_timer timer(m_context, time);
    timer.async_wait([&](boost::system::error_code) { isDone = true; });
    m_context.restart();
    while (!isDone)
        m_context.run_one();
}

}
