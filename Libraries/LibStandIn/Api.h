#pragma once

#include <LibCore/Result.h>
#include <LibHttp/Server.h>
#include <LibStandIn/Faults.h>
#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace StandIn {

/// One kind of stand-in behind HTTP. Use from the thread of its io_context only.
class Api {
public:
    virtual ~Api() = default;

    /// Serves one request; both arguments outlive the coroutine.
    virtual boost::asio::awaitable<void> serve(Http::Request&, Http::ResponseWriter&) = 0;
};

/// Starts a listener for `api` and keeps `api` alive as long as it serves.
/// Errors: Unavailable when the address cannot be bound.
Core::Result<std::unique_ptr<Http::Server>> listen(boost::asio::io_context&, boost::asio::ip::tcp::endpoint const&, std::shared_ptr<Api>);

/// A request target taken apart: its path and the query's keys with their decoded values.
struct Target {
    std::string path;
    std::map<std::string, std::string, std::less<>> query;
};

/// Takes a target apart. Values without '=' are empty; bad percent escapes stay as they are. Thread-safe.
Target parseTarget(std::string_view);

/// Returns the part of `path` after `prefix` and before `suffix`, or nothing when it does not match. Thread-safe.
std::optional<std::string> between(std::string_view path, std::string_view prefix, std::string_view suffix);

/// Returns the number under `key`, or `fallback`. Error: BadInput. Thread-safe.
Core::Result<std::uint64_t> queryNumber(Target const&, std::string_view key, std::uint64_t fallback);

/// Returns a response with this object as its body. Thread-safe.
Http::Response objectResponse(Http::Status, boost::json::object const&);

/// Returns `{"error":{"code":..,"message":..}}` with the status that fits the error's code. Thread-safe.
Http::Response errorResponse(Core::Error const&);

/// Returns the explicit refusal of a target: status 503 and the code "not-serving", so nothing was run. Thread-safe.
Http::Response notServingResponse(std::string_view message);

/// Returns `{}` with status 200, or the error's response. Thread-safe.
Http::Response resultResponse(Core::Result<void> const&);

/// Waits as long as the faults' delay says.
boost::asio::awaitable<void> delay(Faults const&);

/// Sends the response, or closes the connection in its place when the faults say that it gets lost.
boost::asio::awaitable<void> sendOrLose(Faults&, Http::ResponseWriter&, Http::Response);

}
