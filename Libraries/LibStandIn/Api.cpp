#include <LibStandIn/Api.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace StandIn {

namespace {

// A free function, so that the coroutine's frame holds the object rather than a lambda that may be gone.
boost::asio::awaitable<void> serveWith(std::shared_ptr<Api> api, Http::Request& request, Http::ResponseWriter& writer)
{
    co_await api->serve(request, writer);
}

Http::Status statusOf(Core::ErrorCode code)
{
    switch (code) {
    case Core::ErrorCode::BadInput:
        return Http::Status::BadRequest;
    case Core::ErrorCode::NotFound:
        return Http::Status::NotFound;
    case Core::ErrorCode::Conflict:
    case Core::ErrorCode::LostAuthority:
        return Http::Status::Conflict;
    case Core::ErrorCode::Gap:
        return Http::Status::Gone;
    default:
        return Http::Status::ServiceUnavailable;
    }
}

std::string decodePercent(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned byte = 0;
        bool isEscape = text[i] == '%' && i + 2 < text.size()
            && std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16).ptr == text.data() + i + 3;
        decoded += isEscape ? static_cast<char>(byte) : text[i];
        i += isEscape ? 2 : 0;
    }
    return decoded;
}

}

Core::Result<std::unique_ptr<Http::Server>> listen(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint const& endpoint, std::shared_ptr<Api> api)
{
    Http::Handler handler = [api = std::move(api)](Http::Request& request, Http::ResponseWriter& writer) { return serveWith(api, request, writer); };
    Http::RejectionHandler rejection = [](Http::Status status, std::string_view message) {
        return objectResponse(status, { { "error", { { "code", "bad-input" }, { "message", message } } } });
    };
    BOOST_OUTCOME_TRY(std::unique_ptr<Http::Server> server, Http::Server::create(context, endpoint, {}, std::move(handler), std::move(rejection)));
    server->start();
    return server;
}

Target parseTarget(std::string_view text)
{
    std::size_t mark = std::min(text.find('?'), text.size());
    Target target { .path = decodePercent(text.substr(0, mark)), .query = {} };
    std::string_view rest = text.substr(std::min(mark + 1, text.size()));
    while (!rest.empty()) {
        std::string_view pair = rest.substr(0, rest.find('&'));
        rest = rest.substr(std::min(pair.size() + 1, rest.size()));
        std::size_t equals = std::min(pair.find('='), pair.size());
        target.query[decodePercent(pair.substr(0, equals))] = decodePercent(pair.substr(std::min(equals + 1, pair.size())));
    }
    return target;
}

std::optional<std::string> between(std::string_view path, std::string_view prefix, std::string_view suffix)
{
    bool isMatch = path.size() > prefix.size() + suffix.size() && path.starts_with(prefix) && path.ends_with(suffix);
    if (!isMatch)
        return std::nullopt;
    return std::string(path.substr(prefix.size(), path.size() - prefix.size() - suffix.size()));
}

Core::Result<std::uint64_t> queryNumber(Target const& target, std::string_view key, std::uint64_t fallback)
{
    auto it = target.query.find(key);
    if (it == target.query.end())
        return fallback;
    std::uint64_t n = 0;
    char const* end = it->second.data() + it->second.size();
    std::from_chars_result result = std::from_chars(it->second.data(), end, n);
    if (result.ec != std::errc() || result.ptr != end)
        return Core::fail(Core::ErrorCode::BadInput, "'" + std::string(key) + "' must be a whole number from 0 up.");
    return n;
}

Http::Response objectResponse(Http::Status status, boost::json::object const& object)
{
    return Http::jsonResponse(status, boost::json::serialize(object));
}

Http::Response errorResponse(Core::Error const& error)
{
    return objectResponse(statusOf(error.code), { { "error", { { "code", Core::toString(error.code) }, { "message", error.message } } } });
}

Http::Response notServingResponse(std::string_view message)
{
    return objectResponse(Http::Status::ServiceUnavailable, { { "error", { { "code", "not-serving" }, { "message", message } } } });
}

Http::Response resultResponse(Core::Result<void> const& result)
{
    return result ? objectResponse(Http::Status::Ok, {}) : errorResponse(result.error());
}

boost::asio::awaitable<void> delay(Faults const& faults)
{
    if (faults.delayMs == 0)
        co_return;
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, std::chrono::milliseconds(faults.delayMs));
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

boost::asio::awaitable<void> sendOrLose(Faults& faults, Http::ResponseWriter& writer, Http::Response response)
{
    if (faults.loseReplies > 0) {
        --faults.loseReplies;
        writer.abort();
        co_return;
    }
    (void)co_await writer.send(std::move(response));
}

}
