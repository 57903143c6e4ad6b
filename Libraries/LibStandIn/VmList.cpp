#include <LibStandIn/VmList.h>

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>

namespace StandIn {

namespace {

constexpr std::array<std::string_view, 3> kinds { "entry", "engine", "service" };
constexpr std::array<std::string_view, 2> states { "live", "leaving" };
constexpr std::array<std::string_view, 3> requiredKeys { "name", "address", "availability_zone" };

template <std::size_t Size>
bool contains(std::array<std::string_view, Size> const& names, boost::json::value const* value)
{
    return value && value->is_string() && std::ranges::find(names, std::string_view(value->get_string())) != names.end();
}

Core::Result<void> checkVm(boost::json::value const& value)
{
    if (!value.is_object())
        return Core::fail(Core::ErrorCode::BadInput, "Each entry of 'vms' must be an object.");
    boost::json::object const& vm = value.get_object();
    for (std::string_view key : requiredKeys) {
        boost::json::value const* it = vm.if_contains(key);
        if (!it || !it->is_string() || it->get_string().empty())
            return Core::fail(Core::ErrorCode::BadInput, "Each VM needs a non-empty string '" + std::string(key) + "'.");
    }
    if (!contains(kinds, vm.if_contains("kind")))
        return Core::fail(Core::ErrorCode::BadInput, "A VM's 'kind' must be entry, engine or service.");
    if (!contains(states, vm.if_contains("state")))
        return Core::fail(Core::ErrorCode::BadInput, "A VM's 'state' must be live or leaving.");
    return Core::ok();
}

Core::Result<boost::json::object> parseDocument(std::string_view document)
{
    boost::system::error_code ec;
    boost::json::value value = boost::json::parse(document, ec);
    boost::json::value const* vms = !ec && value.is_object() ? value.get_object().if_contains("vms") : nullptr;
    if (!vms || !vms->is_array())
        return Core::fail(Core::ErrorCode::BadInput, "The list must be JSON of the form {\"vms\":[...]}.");
    for (boost::json::value const& it : vms->get_array()) {
        BOOST_OUTCOME_TRYV(checkVm(it));
    }
    return std::move(value.get_object());
}

}

VmList::VmList(std::chrono::milliseconds lag)
    : m_lag(lag)
{
    m_versions.push_back({ Time::min(), boost::json::object { { "vms", boost::json::array {} } } });
}

Core::Result<void> VmList::replace(std::string_view document, Time now)
{
    BOOST_OUTCOME_TRY(boost::json::object parsed, parseDocument(document));
    bool isFirst = m_versions.size() == 1 && m_versions.front().since == Time::min()
        && m_versions.front().document.at("vms").get_array().empty();
    if (isFirst)
        m_versions.front().document = std::move(parsed);
    else
        m_versions.push_back({ now, std::move(parsed) });
    return Core::ok();
}

Core::Result<void> VmList::setState(std::string_view name, std::string_view state, Time now)
{
    bool isGone = state == "gone";
    if (!isGone && std::ranges::find(states, state) == states.end())
        return Core::fail(Core::ErrorCode::BadInput, "A state must be live, leaving or gone.");
    boost::json::object document = m_versions.back().document;
    boost::json::array& vms = document.at("vms").get_array();
    auto it = std::ranges::find_if(vms, [&](boost::json::value const& vm) { return std::string_view(vm.at("name").get_string()) == name; });
    if (it == vms.end())
        return Core::fail(Core::ErrorCode::NotFound, "There is no VM '" + std::string(name) + "'.");
    if (isGone)
        vms.erase(it);
    else
        it->get_object()["state"] = state;
    m_versions.push_back({ now, std::move(document) });
    return Core::ok();
}

boost::json::object const& VmList::shownAt(Time now)
{
    while (m_versions.size() > 1 && m_versions[1].since + m_lag <= now)
        m_versions.pop_front();
    return m_versions.front().document;
}

}
