#include <LibStandIn/VmListApi.h>

#include <LibJson/Reader.h>
#include <LibStandIn/FaultsReader.h>

namespace StandIn {

using Clock = std::chrono::steady_clock;

std::shared_ptr<VmListApi> VmListApi::create(std::chrono::milliseconds lag)
{
    return std::shared_ptr<VmListApi>(new VmListApi(lag));
}

VmListApi::VmListApi(std::chrono::milliseconds lag)
    : m_list(lag)
{
}

boost::asio::awaitable<void> VmListApi::serve(Http::Request& request, Http::ResponseWriter& writer)
{
    if (request.method == "GET")
        co_await delay(m_faults);
    (void)co_await writer.send(respond(request));
}

Http::Response VmListApi::respond(Http::Request const& request)
{
    std::string path = parseTarget(request.target).path;
    if (request.method == "GET" && path == "/v1/vms") {
        if (m_faults.isDown)
            return errorResponse(Core::makeError(Core::ErrorCode::Unavailable, "The VM list is down."));
        return objectResponse(Http::Status::Ok, m_list.shownAt(Clock::now()));
    }
    if (request.method == "POST" && path == "/admin/vms")
        return resultResponse(m_list.replace(request.body, Clock::now()));
    if (request.method == "POST" && path == "/admin/state")
        return resultResponse(changeState(request.body));
    if (request.method == "POST" && path == "/admin/faults")
        return resultResponse(applyFaults(request.body, m_faults));
    return errorResponse(Core::makeError(Core::ErrorCode::NotFound, "The VM list has no such call."));
}

Core::Result<void> VmListApi::changeState(std::string_view body)
{
    BOOST_OUTCOME_TRY(boost::json::object object, Json::parseObject(body));
    BOOST_OUTCOME_TRY(std::optional<std::string> name, Json::optionalString(object, "name"));
    BOOST_OUTCOME_TRY(std::optional<std::string> state, Json::optionalString(object, "state"));
    if (!name || !state)
        return Core::fail(Core::ErrorCode::BadInput, "A change needs 'name' and 'state'.");
    return m_list.setState(*name, *state, Clock::now());
}

}
