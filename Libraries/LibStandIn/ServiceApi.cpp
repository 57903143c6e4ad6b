#include <LibStandIn/ServiceApi.h>

#include <LibStandIn/FaultsReader.h>

namespace StandIn {

namespace {

boost::json::object objectOf(std::map<std::string, std::uint64_t> const& counts)
{
    boost::json::object object;
    for (std::pair<std::string const, std::uint64_t> const& it : counts)
        object[it.first] = it.second;
    return object;
}

}

std::shared_ptr<ServiceApi> ServiceApi::create(std::string name)
{
    return std::shared_ptr<ServiceApi>(new ServiceApi(std::move(name)));
}

ServiceApi::ServiceApi(std::string name)
    : m_name(std::move(name))
{
}

boost::asio::awaitable<void> ServiceApi::serve(Http::Request& request, Http::ResponseWriter& writer)
{
    std::string path = parseTarget(request.target).path;
    if (request.method == "GET" && path == "/admin/runs") {
        (void)co_await writer.send(respondRuns());
        co_return;
    }
    if (request.method == "POST" && path == "/admin/faults") {
        (void)co_await writer.send(resultResponse(applyFaults(request.body, m_core.faults())));
        co_return;
    }
    co_await delay(m_core.faults());
    if (m_core.faults().isDown || m_core.faults().refuses) {
        (void)co_await writer.send(notServingResponse("The service is down."));
        co_return;
    }
    co_await sendOrLose(m_core.faults(), writer, run(request));
}

Http::Response ServiceApi::run(Http::Request const& request)
{
    std::string key(request.fields.find("Idempotency-Key").value_or(""));
    std::string id(request.fields.find("X-Request-Id").value_or(""));
    std::uint64_t runs = m_core.run(key, id);
    boost::json::object headers;
    for (Http::Fields::Entry const& it : request.fields.entries())
        headers[it.first] = it.second;
    return objectResponse(Http::Status::Ok, { { "service", m_name }, { "method", request.method }, { "target", request.target }, { "headers", std::move(headers) }, { "body", request.body }, { "runs", runs } });
}

Http::Response ServiceApi::respondRuns() const
{
    return objectResponse(Http::Status::Ok, { { "total", m_core.total() }, { "idempotency_keys", objectOf(m_core.runsByKey()) }, { "request_ids", objectOf(m_core.runsByRequestId()) } });
}

}
