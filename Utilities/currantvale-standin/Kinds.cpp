#include "Kinds.h"

#include <LibHttp/Client.h>
#include <LibStandIn/DutyServiceApi.h>
#include <LibStandIn/EngineApi.h>
#include <LibStandIn/Forwarder.h>
#include <LibStandIn/KeyedStoreApi.h>
#include <LibStandIn/LogApi.h>
#include <LibStandIn/RunnerApi.h>
#include <LibStandIn/ServiceApi.h>
#include <LibStandIn/VmListApi.h>
#include <LibStandIn/WeightStoreApi.h>
#include <array>
#include <cxxopts.hpp>
#include <fstream>
#include <random>
#include <sstream>

namespace {

using boost::asio::io_context;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using Arguments = cxxopts::ParseResult;

struct Kind {
    std::string_view name;
    std::string_view purpose;
    void (*addOptions)(cxxopts::Options&);
    Core::Result<RunningStandIn> (*start)(io_context&, Arguments const&);
};

Core::Error badInput(std::string message)
{
    return Core::makeError(Core::ErrorCode::BadInput, std::move(message));
}

Core::Result<tcp::endpoint> endpointOf(Arguments const& arguments, std::string const& option)
{
    if (arguments.count(option) == 0)
        return badInput("--" + option + " IP:PORT is missing.");
    return Http::parseEndpoint(arguments[option].as<std::string>());
}

Core::Result<RunningStandIn> serve(io_context& context, Arguments const& arguments, std::shared_ptr<StandIn::Api> api)
{
    BOOST_OUTCOME_TRY(tcp::endpoint endpoint, endpointOf(arguments, "listen"));
    BOOST_OUTCOME_TRY(std::unique_ptr<Http::Server> server, StandIn::listen(context, endpoint, std::move(api)));
    std::string address = Http::toString(tcp::endpoint(endpoint.address(), server->port()));
    return RunningStandIn { std::move(server), std::move(address) };
}

void addLogOptions(cxxopts::Options& options)
{
    options.add_options()("retain-records", "Records kept in each stream; 0 keeps all", cxxopts::value<std::uint64_t>()->default_value("0"), "N");
}

Core::Result<RunningStandIn> startLog(io_context& context, Arguments const& arguments)
{
    return serve(context, arguments, StandIn::LogApi::create(arguments["retain-records"].as<std::uint64_t>()));
}

void addVmListOptions(cxxopts::Options& options)
{
    options.add_options()("file", "The list that is shown first, as JSON", cxxopts::value<std::string>(), "FILE");
    options.add_options()("lag-ms", "How late the list shows a change", cxxopts::value<std::uint32_t>()->default_value("0"), "N");
}

Core::Result<RunningStandIn> startVmList(io_context& context, Arguments const& arguments)
{
    std::shared_ptr<StandIn::VmListApi> api = StandIn::VmListApi::create(milliseconds(arguments["lag-ms"].as<std::uint32_t>()));
    if (arguments.count("file") != 0) {
        std::string name = arguments["file"].as<std::string>();
        std::ifstream file(name);
        if (!file)
            return badInput("The file '" + name + "' cannot be read.");
        std::stringstream text;
        text << file.rdbuf();
        Core::Result<void> replaced = api->list().replace(text.str(), std::chrono::steady_clock::now());
        if (!replaced)
            return badInput(name + ": " + replaced.error().message);
    }
    return serve(context, arguments, api);
}

void addEngineOptions(cxxopts::Options& options)
{
    options.add_options()("name", "The engine's name", cxxopts::value<std::string>()->default_value("engine"), "NAME");
    options.add_options()("model", "The model that it serves", cxxopts::value<std::string>()->default_value("model"), "NAME");
    options.add_options()("adapter", "The adapter that it serves", cxxopts::value<std::string>()->default_value(""), "NAME");
    options.add_options()("model-version", "The model's version", cxxopts::value<std::string>()->default_value("1"), "NAME");
    options.add_options()("role", "mixed, prefill or decode", cxxopts::value<std::string>()->default_value("mixed"), "ROLE");
    options.add_options()("checks-fencing", "Whether orders with an old fencing number are refused", cxxopts::value<std::string>()->default_value("no"), "yes|no");
    options.add_options()("prefill-tokens-per-s", "Prompt tokens a second", cxxopts::value<double>()->default_value("20000"), "N");
    options.add_options()("decode-tokens-per-s", "Output tokens a second, shared by the running requests", cxxopts::value<double>()->default_value("2000"), "N");
    options.add_options()("stream-tokens-per-s", "Output tokens a second of one request at most", cxxopts::value<double>()->default_value("200"), "N");
    options.add_options()("max-running", "Requests that run together", cxxopts::value<std::uint64_t>()->default_value("32"), "N");
    options.add_options()("kv-capacity-tokens", "Tokens in the KV cache", cxxopts::value<std::uint64_t>()->default_value("200000"), "N");
    options.add_options()("change-seconds", "How long a change of role or model takes", cxxopts::value<double>()->default_value("2"), "S");
    options.add_options()("load-lag-ms", "How late load and cache events are reported", cxxopts::value<std::uint32_t>()->default_value("100"), "N");
    options.add_options()("weight-store", "Asked before weights are loaded", cxxopts::value<std::string>(), "IP:PORT");
}

std::string newIncarnation()
{
    constexpr int words = 4;
    std::random_device random;
    std::stringstream text;
    for (int i = 0; i < words; ++i)
        text << std::hex << random();
    return text.str();
}

Core::Result<StandIn::EngineSettings> engineSettingsOf(Arguments const& arguments)
{
    std::optional<StandIn::Role> role = Core::valueOf(StandIn::roleNames, arguments["role"].as<std::string>());
    if (!role)
        return badInput("--role must be mixed, prefill or decode.");
    std::string checks = arguments["checks-fencing"].as<std::string>();
    if (checks != "yes" && checks != "no")
        return badInput("--checks-fencing must be yes or no.");
    double changeSeconds = arguments["change-seconds"].as<double>();
    if (!(changeSeconds >= 0 && changeSeconds <= 3600))
        return badInput("--change-seconds must be from 0 to 3600.");
    StandIn::EngineSettings settings;
    settings.name = arguments["name"].as<std::string>();
    settings.configuration = { *role, arguments["model"].as<std::string>(), arguments["adapter"].as<std::string>(), arguments["model-version"].as<std::string>() };
    settings.checksFencing = checks == "yes";
    settings.prefillTokensPerSecond = arguments["prefill-tokens-per-s"].as<double>();
    settings.decodeTokensPerSecond = arguments["decode-tokens-per-s"].as<double>();
    settings.streamTokensPerSecond = arguments["stream-tokens-per-s"].as<double>();
    settings.maximumRunning = arguments["max-running"].as<std::uint64_t>();
    settings.kvCapacityTokens = arguments["kv-capacity-tokens"].as<std::uint64_t>();
    settings.changeTime = milliseconds(static_cast<std::int64_t>(changeSeconds * 1000));
    settings.loadLag = milliseconds(arguments["load-lag-ms"].as<std::uint32_t>());
    return settings;
}

Core::Result<RunningStandIn> startEngine(io_context& context, Arguments const& arguments)
{
    StandIn::EngineApiSettings settings;
    BOOST_OUTCOME_TRY(settings.engine, engineSettingsOf(arguments));
    settings.incarnation = newIncarnation();
    if (arguments.count("weight-store") != 0) {
        BOOST_OUTCOME_TRY(settings.weightStore, endpointOf(arguments, "weight-store"));
    }
    BOOST_OUTCOME_TRY(std::shared_ptr<StandIn::EngineApi> api, StandIn::EngineApi::create(context, std::move(settings)));
    return serve(context, arguments, api);
}

void addServiceOptions(cxxopts::Options& options)
{
    options.add_options()("name", "The name in its answers", cxxopts::value<std::string>()->default_value("service"), "NAME");
}

Core::Result<RunningStandIn> startService(io_context& context, Arguments const& arguments)
{
    return serve(context, arguments, StandIn::ServiceApi::create(arguments["name"].as<std::string>()));
}

void addWeightStoreOptions(cxxopts::Options& options)
{
    options.add_options()("loads-per-minute", "Loads granted in any minute", cxxopts::value<std::uint64_t>()->default_value("60"), "N");
}

Core::Result<RunningStandIn> startWeightStore(io_context& context, Arguments const& arguments)
{
    std::uint64_t loadsPerMinute = arguments["loads-per-minute"].as<std::uint64_t>();
    if (loadsPerMinute == 0)
        return badInput("--loads-per-minute must be at least 1.");
    return serve(context, arguments, StandIn::WeightStoreApi::create(loadsPerMinute));
}

void addForwarderOptions(cxxopts::Options& options)
{
    options.add_options()("to", "Where connections go on to", cxxopts::value<std::string>(), "IP:PORT");
    options.add_options()("admin", "Listens for POST /pause {\"direction\":\"both|forward|backward\"}, /resume, /cut and /rate {\"bytes_per_s\":N}", cxxopts::value<std::string>(), "IP:PORT");
}

Core::Result<RunningStandIn> startForwarder(io_context& context, Arguments const& arguments)
{
    BOOST_OUTCOME_TRY(tcp::endpoint from, endpointOf(arguments, "listen"));
    BOOST_OUTCOME_TRY(tcp::endpoint to, endpointOf(arguments, "to"));
    BOOST_OUTCOME_TRY(tcp::endpoint admin, endpointOf(arguments, "admin"));
    BOOST_OUTCOME_TRY(std::shared_ptr<StandIn::Forwarder> forwarder, StandIn::Forwarder::create(context, from, to));
    BOOST_OUTCOME_TRY(std::unique_ptr<Http::Server> server, StandIn::listen(context, admin, forwarder));
    std::string address = Http::toString(tcp::endpoint(from.address(), forwarder->port())) + " admin " + Http::toString(tcp::endpoint(admin.address(), server->port()));
    return RunningStandIn { std::move(server), std::move(address) };
}

void addNoOptions(cxxopts::Options&)
{
}

Core::Result<RunningStandIn> startKeyedStore(io_context& context, Arguments const& arguments)
{
    return serve(context, arguments, StandIn::KeyedStoreApi::create());
}

Core::Result<RunningStandIn> startDutyService(io_context& context, Arguments const& arguments)
{
    return serve(context, arguments, StandIn::DutyServiceApi::create());
}

void addRunnerOptions(cxxopts::Options& options)
{
    options.add_options()("service", "The service that it belongs to", cxxopts::value<std::string>()->default_value("service"), "NAME");
    options.add_options()("zone", "Its availability zone", cxxopts::value<std::string>()->default_value("zone-a"), "NAME");
    options.add_options()("role", "prefill or decode for an engine; none for a plain service", cxxopts::value<std::string>()->default_value(""), "ROLE");
    options.add_options()("release", "The release of its software, which its events name then", cxxopts::value<std::string>()->default_value(""), "NAME");
    options.add_options()("refuse-orders", "Keeps its role");
    options.add_options()("pieces", "Events of a stream", cxxopts::value<std::uint32_t>()->default_value("10"), "N");
    options.add_options()("piece-ms", "Time between two events", cxxopts::value<std::uint32_t>()->default_value("10"), "N");
    options.add_options()("places", "Requests that it says it runs at once", cxxopts::value<std::uint32_t>()->default_value("6"), "N");
    options.add_options()("work-ms", "Time of a request to a plain service", cxxopts::value<std::uint32_t>()->default_value("0"), "N");
    options.add_options()("id", "What it lists itself under; a new one unless given", cxxopts::value<std::string>(), "ID");
    options.add_options()("crash-on-part", "Ends as it begins to answer a prompt that has a shared part with this id", cxxopts::value<std::string>()->default_value(""), "ID");
    options.add_options()("crash-on", "Ends when it begins to run a request whose path holds this", cxxopts::value<std::string>()->default_value(""), "TEXT");
    options.add_options()("listed-as", "The address that it lists, such as a forwarder's; its own unless given", cxxopts::value<std::string>(), "IP:PORT");
    options.add_options()("store", "The store that it lists itself in", cxxopts::value<std::string>(), "IP:PORT");
}

Core::Result<RunningStandIn> startRunner(io_context& context, Arguments const& arguments)
{
    StandIn::RunnerSettings settings;
    settings.service = arguments["service"].as<std::string>();
    settings.availabilityZone = arguments["zone"].as<std::string>();
    settings.role = arguments["role"].as<std::string>();
    settings.release = arguments["release"].as<std::string>();
    settings.refusesOrders = arguments.count("refuse-orders") != 0;
    settings.pieces = arguments["pieces"].as<std::uint32_t>();
    settings.pieceTime = milliseconds(arguments["piece-ms"].as<std::uint32_t>());
    settings.places = arguments["places"].as<std::uint32_t>();
    settings.workTime = milliseconds(arguments["work-ms"].as<std::uint32_t>());
    settings.incarnation = arguments.count("id") != 0 ? arguments["id"].as<std::string>() : "i-" + newIncarnation();
    settings.crashesOnPart = arguments["crash-on-part"].as<std::string>();
    settings.crashesOn = arguments["crash-on"].as<std::string>();
    settings.bornAtMs = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    BOOST_OUTCOME_TRY(settings.store, endpointOf(arguments, "store"));
    std::shared_ptr<StandIn::RunnerApi> api = StandIn::RunnerApi::create(context, std::move(settings));
    BOOST_OUTCOME_TRY(RunningStandIn running, serve(context, arguments, api));
    BOOST_OUTCOME_TRY(tcp::endpoint address, Http::parseEndpoint(running.address));
    if (arguments.count("listed-as") != 0) {
        BOOST_OUTCOME_TRY(address, endpointOf(arguments, "listed-as"));
    }
    api->startHeartbeats(address);
    return running;
}

constexpr std::array<Kind, 9> kinds { {
    { "log", "append-only streams of records with offsets", addLogOptions, startLog },
    { "vms", "the list of live and leaving VMs", addVmListOptions, startVmList },
    { "engine", "a model engine", addEngineOptions, startEngine },
    { "service", "a plain service that repeats what it is sent", addServiceOptions, startService },
    { "keyed-store", "the users' platform's store of keyed records", addNoOptions, startKeyedStore },
    { "duty-service", "the users' platform's service for singleton duties", addNoOptions, startDutyService },
    { "runner", "a target on the users' platform", addRunnerOptions, startRunner },
    { "weights", "the rate-limited weight store", addWeightStoreOptions, startWeightStore },
    { "forwarder", "a TCP forwarder that can be paused, cut and slowed down", addForwarderOptions, startForwarder },
} };

Kind const* findKind(std::string_view name)
{
    auto it = std::ranges::find(kinds, name, &Kind::name);
    return it == kinds.end() ? nullptr : it;
}

cxxopts::Options optionsOf(Kind const& kind)
{
    cxxopts::Options options("currantvale-standin " + std::string(kind.name), "Stands in for " + std::string(kind.purpose) + ".");
    options.add_options()("listen", "The address to listen on; port 0 takes a free one", cxxopts::value<std::string>(), "IP:PORT");
    options.add_options()("h,help", "Print this help");
    kind.addOptions(options);
    return options;
}

}

Core::Result<RunningStandIn> startStandIn(io_context& context, std::string_view name, std::vector<std::string> const& arguments)
{
    Kind const* kind = findKind(name);
    if (!kind)
        return Core::fail(Core::ErrorCode::NotFound, "There is no stand-in '" + std::string(name) + "'.");
    std::vector<char const*> pointers { "currantvale-standin" };
    for (std::string const& it : arguments)
        pointers.push_back(it.c_str());
    try {
        Arguments parsed = optionsOf(*kind).parse(static_cast<int>(pointers.size()), pointers.data());
        if (!parsed.unmatched().empty())
            return badInput("There is no argument '" + parsed.unmatched().front() + "'.");
        return kind->start(context, parsed);
    } catch (cxxopts::exceptions::exception const& exception) {
        return badInput(exception.what());
    }
}

std::string helpText(std::string_view name)
{
    if (Kind const* kind = findKind(name))
        return optionsOf(*kind).help();
    std::string text = "Usage: currantvale-standin KIND --listen IP:PORT [options]\n\nKinds (--help after a kind shows its options):\n";
    for (Kind const& it : kinds)
        text += "  " + std::string(it.name) + ": " + std::string(it.purpose) + "\n";
    return text + "\nPrints 'listening IP:PORT' when ready and ends with 0 on SIGTERM.\n";
}
