#include <LibPlatform/Json.h>
#include <LibPlatform/VmList.h>
#include <algorithm>
#include <boost/json/array.hpp>

namespace Platform {

namespace {

namespace Asio = boost::asio;

Core::Error problem(std::string const& vm, std::string const& field, std::string const& message)
{
    return Core::makeError(Core::ErrorCode::BadInput, "VM \"" + vm + "\", field \"" + field + "\": " + message);
}

template <typename Enum, std::size_t Size>
Core::Result<Enum> readEnum(boost::json::object const& object, std::string const& vm, std::string const& field, Core::EnumNames<Enum, Size> const& names)
{
    std::string text = stringOf(object, field);
    std::optional<Enum> value = Core::valueOf(names, text);
    if (!value)
        return problem(vm, field, "read \"" + text + "\"");
    return *value;
}

Core::Result<Asio::ip::tcp::endpoint> readEndpoint(boost::json::object const& object, std::string const& vm, std::string const& field)
{
    Core::Result<Asio::ip::tcp::endpoint> endpoint = Http::parseEndpoint(stringOf(object, field));
    if (endpoint.has_error())
        return problem(vm, field, endpoint.error().message);
    return endpoint;
}

Core::Result<Vm> readVm(boost::json::object const& object)
{
    Vm vm;
    vm.name = stringOf(object, "name");
    if (vm.name.empty())
        return problem("", "name", "missing");
    BOOST_OUTCOME_TRY(vm.kind, readEnum(object, vm.name, "kind", vmKindNames));
    BOOST_OUTCOME_TRY(vm.state, readEnum(object, vm.name, "state", vmStateNames));
    BOOST_OUTCOME_TRY(vm.address, readEndpoint(object, vm.name, "address"));
    if (vm.kind == VmKind::Entry) {
        BOOST_OUTCOME_TRY(vm.callerAddress, readEndpoint(object, vm.name, "caller_address"));
    }
    vm.availabilityZone = stringOf(object, "availability_zone");
    vm.region = stringOf(object, "region");
    vm.pool = stringOf(object, "pool");
    if (vm.pool.empty())
        vm.pool = vm.name;
    return vm;
}

class HttpVmList final : public VmList {
public:
    HttpVmList(Http::Client& client, Asio::ip::tcp::endpoint endpoint)
        : m_client(client)
        , m_endpoint(std::move(endpoint))
    {
    }

    Asio::awaitable<Core::Result<std::vector<Vm>>> read() override
    {
        Http::Request request;
        request.target = "/v1/vms";
        Core::Result<Http::Response> response = co_await m_client.fetch(m_endpoint, request);
        if (response.has_error())
            co_return Core::Result<std::vector<Vm>>(response.error());
        if (response.value().status != static_cast<std::uint16_t>(Http::Status::Ok))
            co_return Core::Result<std::vector<Vm>>(Core::makeError(Core::ErrorCode::Unavailable, "the VM list answered " + std::to_string(response.value().status)));
        co_return parseVms(response.value().body);
    }

private:
    Http::Client& m_client;
    Asio::ip::tcp::endpoint m_endpoint;
};

}

Core::Result<std::vector<Vm>> parseVms(std::string_view json)
{
    BOOST_OUTCOME_TRY(boost::json::object object, parseObject(json));
    boost::json::array const* array = arrayOf(object, "vms");
    if (!array)
        return Core::fail(Core::ErrorCode::BadInput, "the VM list has no field \"vms\" with an array");
    std::vector<Vm> vms;
    vms.reserve(array->size());
    for (boost::json::value const& value : *array) {
        if (!value.is_object())
            return Core::fail(Core::ErrorCode::BadInput, "the VM list has an entry that is no object");
        BOOST_OUTCOME_TRY(Vm vm, readVm(value.get_object()));
        vms.push_back(std::move(vm));
    }
    std::sort(vms.begin(), vms.end(), [](Vm const& a, Vm const& b) { return a.name < b.name; });
    return vms;
}

std::unique_ptr<VmList> createHttpVmList(Http::Client& client, Asio::ip::tcp::endpoint endpoint)
{
    return std::make_unique<HttpVmList>(client, std::move(endpoint));
}

}
