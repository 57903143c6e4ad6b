#include <LibStandIn/WeightStoreApi.h>

#include <LibStandIn/FaultsReader.h>

namespace StandIn {

std::shared_ptr<WeightStoreApi> WeightStoreApi::create(std::uint64_t loadsPerMinute)
{
    return std::shared_ptr<WeightStoreApi>(new WeightStoreApi(loadsPerMinute));
}

WeightStoreApi::WeightStoreApi(std::uint64_t loadsPerMinute)
    : m_store(loadsPerMinute)
{
}

boost::asio::awaitable<void> WeightStoreApi::serve(Http::Request& request, Http::ResponseWriter& writer)
{
    (void)co_await writer.send(respond(request));
}

Http::Response WeightStoreApi::respond(Http::Request const& request)
{
    std::string path = parseTarget(request.target).path;
    if (request.method == "POST" && path == "/v1/loads")
        return respondToLoad();
    if (request.method == "POST" && path == "/admin/faults")
        return resultResponse(applyFaults(request.body, m_faults));
    if (request.method == "GET" && path == "/admin/loads")
        return objectResponse(Http::Status::Ok, { { "granted", m_store.granted() }, { "refused", m_store.refused() } });
    return errorResponse(Core::makeError(Core::ErrorCode::NotFound, "The weight store has no such call."));
}

Http::Response WeightStoreApi::respondToLoad()
{
    if (m_faults.isDown)
        return errorResponse(Core::makeError(Core::ErrorCode::Unavailable, "The weight store is down."));
    std::optional<std::chrono::milliseconds> wait = m_store.request(std::chrono::steady_clock::now());
    if (!wait)
        return objectResponse(Http::Status::Ok, {});
    Http::Response response = objectResponse(Http::Status::TooManyRequests, { { "error", { { "code", "overloaded" } } } });
    response.fields.set("Retry-After", std::to_string(std::chrono::ceil<std::chrono::seconds>(*wait).count()));
    return response;
}

}
