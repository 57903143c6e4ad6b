#include <LibDaemon/CallerKeys.h>
#include <LibDaemon/CallerProtocol.h>
#include <LibDaemon/HttpErrors.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace Daemon {

CallerProtocol ownCallerProtocol()
{
    CallerProtocol protocol;
    protocol.admit = admitByKey;
    protocol.parse = [](Http::Request const& request, FleetSnapshot const& fleet, WorkLimits const& limits, std::string ownRequestId) -> Core::Result<Work> {
        if (!fleet.isReady)
            return Core::fail(Core::ErrorCode::Unavailable, "this daemon has not read the configuration yet");
        return parseWork(request, fleet.view->config(), limits, std::move(ownRequestId));
    };
    protocol.error = errorResponse;
    protocol.entries = [](EntryList const& list) {
        boost::json::object body;
        body["addresses"] = boost::json::array(list.addresses.begin(), list.addresses.end());
        body["hold_ms"] = list.hold.count();
        return Http::jsonResponse(Http::Status::Ok, boost::json::serialize(body));
    };
    return protocol;
}

}
