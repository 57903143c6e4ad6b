#include <LibDaemon/CallerKeys.h>
#include <LibDaemon/Work.h>
#include <algorithm>

namespace Daemon {

namespace {

constexpr std::string_view keyField = "Authorization";
constexpr std::string_view scheme = "Bearer ";

// What is no bearer token is a key that nobody holds.
std::string_view keyOf(std::string_view credentials)
{
    if (!Http::isSameFieldName(credentials.substr(0, scheme.size()), scheme))
        return credentials;
    std::string_view key = credentials.substr(scheme.size());
    key.remove_prefix(std::min(key.size(), key.find_first_not_of(' ')));
    return key;
}

}

Core::Result<void> admitByKey(Http::Request& request, FleetSnapshot const& fleet, Access::GateSettings const& settings)
{
    if (!fleet.isReady)
        return Core::fail(Core::ErrorCode::Unavailable, "this daemon has not read the configuration yet");
    Access::Organisations const* organisations = fleet.view->config().organisations().get();
    if (!organisations)
        return Core::ok();
    std::vector<std::string_view> keys;
    for (Http::Fields::Entry const& entry : request.fields.entries()) {
        if (Http::isSameFieldName(entry.first, keyField))
            keys.push_back(keyOf(entry.second));
    }
    Access::Admittance admittance = Access::judge(organisations, { keys, false, fleet.configurationAge() }, settings);
    request.fields.remove(keyField);
    if (admittance.verdict != Access::Verdict::Allowed)
        return Access::errorOf(admittance.verdict);
    request.fields.set(std::string(organisationHeader), admittance.organisation->name);
    return Core::ok();
}

}
