#include "Fleet.h"

#include <LibHttp/Client.h>
#include <LibPlatform/Json.h>
#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <sys/file.h>
#include <thread>
#include <unistd.h>

namespace Processes {

namespace {

using boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds pollInterval { 20 };
constexpr std::uint16_t okStatus = 200;
constexpr std::string_view token = "process-tests-token";
constexpr std::array<std::string_view, daemonCount> zones { "tanta-hall", "mansoura-hall", "zagazig-hall" };
// Below the range from which the kernel takes the ports of outgoing connections.
constexpr unsigned firstPort = 20'000;
constexpr unsigned portCount = 12'000;
// Programs that run side by side begin this far apart: more than the ports that one of them uses.
constexpr unsigned portStride = 997;

Endpoint loopback(std::uint16_t port)
{
    return { boost::asio::ip::address_v4::loopback(), port };
}

std::string program(std::string const& name)
{
    return std::string(CURRANTVALE_BINARY_DIR "/") + name;
}

Http::Fields authorization()
{
    return { { "Authorization", "Bearer " + std::string(token) } };
}

boost::json::object newObject(std::string_view kind, std::string_view name, boost::json::object fields)
{
    return { { "kind", kind }, { "name", name }, { "fields", std::move(fields) } };
}

}

namespace {

// Programs that run side by side may come to the same port while whoever has it is being restarted: it stays this program's
// until that ends. Returns whether it was free.
bool reservePort(unsigned port)
{
    std::string name = std::filesystem::temp_directory_path() / ("currantvale-port-" + std::to_string(port));
    int file = open(name.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    if (file < 0)
        throw std::runtime_error("cannot open " + name);
    if (flock(file, LOCK_EX | LOCK_NB) == 0)
        return true; // The lock ends with the process.
    close(file);
    return false;
}

}

// Each call goes on behind the port before.
Endpoint freeEndpoint()
{
    static unsigned next = static_cast<unsigned>(getpid()) * portStride;
    boost::asio::io_context context;
    while (true) {
        unsigned port = firstPort + next++ % portCount;
        if (!reservePort(port))
            continue;
        Endpoint endpoint = loopback(static_cast<std::uint16_t>(port));
        tcp::acceptor acceptor(context, tcp::v4());
        boost::system::error_code ec;
        acceptor.bind(endpoint, ec);
        if (!ec)
            return endpoint;
    }
}

bool waitFor(std::function<bool()> const& isMet, std::chrono::seconds bound)
{
    Clock::time_point end = Clock::now() + bound;
    while (!isMet()) {
        if (Clock::now() > end)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

Http::Response fetch(Endpoint const& endpoint, Http::Request request, std::chrono::seconds timeout)
{
    boost::asio::io_context context(1);
    Http::ClientSettings settings;
    settings.headTimeout = settings.pieceTimeout = timeout;
    std::unique_ptr<Http::Client> client = Http::Client::create(context, settings);
    Http::Response response { 0, {}, {} };
    boost::asio::co_spawn(
        context, [&]() -> boost::asio::awaitable<void> {
            Core::Result<Http::Response> result = co_await client->fetch(endpoint, std::move(request));
            if (result.has_value())
                response = std::move(result.value());
            context.stop();
        },
        boost::asio::detached);
    context.run();
    return response;
}

boost::json::object getObject(Endpoint const& endpoint, std::string const& target, Http::Fields const& fields)
{
    Http::Response response = fetch(endpoint, { "GET", target, fields, {} });
    Core::Result<boost::json::object> object = Platform::parseObject(response.body);
    return response.status == okStatus && object.has_value() ? std::move(object.value()) : boost::json::object();
}

std::uint16_t post(Endpoint const& endpoint, std::string const& target, std::string body)
{
    return fetch(endpoint, { "POST", target, { { "Content-Type", "application/json" } }, std::move(body) }).status;
}

std::vector<std::string> linesWith(std::filesystem::path const& name, std::string const& text)
{
    std::vector<std::string> lines;
    std::ifstream file(name);
    for (std::string line; std::getline(file, line);) {
        if (line.find(text) != std::string::npos)
            lines.push_back(line);
    }
    return lines;
}

Fleet::Fleet(FleetSettings const& settings)
    : m_settings(settings)
{
    std::string name = (std::filesystem::temp_directory_path() / "currantvale-processes-XXXXXX").string();
    if (!mkdtemp(name.data()))
        throw std::runtime_error("cannot make a folder");
    m_folder = name;
    for (std::size_t n = 0; n < daemonCount; ++n)
        m_daemons.push_back({ freeEndpoint(), freeEndpoint(), freeEndpoint() });
    m_log = startStandIn("log", { "log" });
    startEngines();
    m_service = startStandIn("records", { "service", "--name", "records-1" });
    if (m_settings.hasForwarder)
        startForwarder();
    std::ofstream(m_folder / "vms.json") << vmList();
    m_vms = startStandIn("vms", { "vms", "--file", (m_folder / "vms.json").string() });
    for (std::size_t n = 0; n < daemonCount; ++n)
        spawnDaemon(n);
    for (std::size_t n = 0; n < daemonCount; ++n) {
        if (!waitUntilReady(n))
            throw std::runtime_error(daemonName(n) + " does not get ready");
    }
    configure();
}

std::string_view Fleet::operatorToken()
{
    return token;
}

Fleet::~Fleet()
{
    m_processes.clear();
    if (std::getenv("CURRANTVALE_KEEP_LOGS") != nullptr)
        return;
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

void Fleet::spawn(std::string const& name, std::vector<std::string> const& arguments)
{
    m_processes[name] = std::make_unique<Process>(arguments, (m_folder / (name + ".out")).string(), (m_folder / (name + ".log")).string());
}

// Waits for the line with which a stand-in tells that it is ready, and returns its words.
std::vector<std::string> Fleet::listening(std::string const& name)
{
    std::string line;
    waitFor([&] {
        std::ifstream file(m_folder / (name + ".out"));
        return std::getline(file, line) && !file.eof();
    });
    std::istringstream text(line);
    std::vector<std::string> words;
    for (std::string word; text >> word;)
        words.push_back(word);
    if (words.size() < 2 || words.front() != "listening")
        throw std::runtime_error(name + " does not listen");
    return words;
}

Endpoint Fleet::startStandIn(std::string const& name, std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), program("currantvale-standin"));
    arguments.insert(arguments.begin() + 2, std::initializer_list<std::string> { "--listen", "127.0.0.1:0" });
    spawn(name, arguments);
    return Http::parseEndpoint(listening(name).at(1)).value();
}

void Fleet::startEngines()
{
    for (std::size_t n = 0; n < engineCount; ++n) {
        m_engines.push_back(startStandIn(engineName(n), { "engine", "--name", engineName(n), "--model", std::string(modelName), "--checks-fencing", m_settings.checksFencing ? "yes" : "no", "--change-seconds", "0.5", "--stream-tokens-per-s", std::to_string(m_settings.streamTokensPerSecond) }));
    }
    m_listedEngine = m_engines.front();
}

void Fleet::startForwarder()
{
    startStandIn("forwarder", { "forwarder", "--to", Http::toString(m_engines.front()), "--admin", "127.0.0.1:0" });
    std::vector<std::string> words = listening("forwarder");
    m_listedEngine = Http::parseEndpoint(words.at(1)).value();
    m_forwarderAdmin = Http::parseEndpoint(words.at(3)).value();
}

std::string Fleet::vmList() const
{
    boost::json::array vms;
    for (std::size_t n = 0; n < daemonCount; ++n)
        vms.push_back(boost::json::object { { "name", daemonName(n) }, { "kind", "entry" }, { "state", "live" }, { "address", Http::toString(m_daemons[n].peers) }, { "caller_address", Http::toString(m_daemons[n].callers) }, { "availability_zone", zones[n] }, { "region", "delta-north" } });
    std::size_t listed = m_settings.hasForwarder ? 1 : engineCount;
    for (std::size_t n = 0; n < listed; ++n)
        vms.push_back(boost::json::object { { "name", engineName(n) }, { "kind", "engine" }, { "state", "live" }, { "address", Http::toString(n == 0 ? m_listedEngine : m_engines[n]) }, { "availability_zone", zones[n] }, { "region", "delta-north" }, { "pool", "reasoning" } });
    vms.push_back(boost::json::object { { "name", "records-1" }, { "kind", "service" }, { "state", "live" }, { "address", Http::toString(m_service) }, { "availability_zone", zones[0] }, { "region", "delta-north" }, { "pool", "records" } });
    return boost::json::serialize(boost::json::object { { "vms", std::move(vms) } });
}

void Fleet::writeSettings(std::size_t n) const
{
    DaemonAddresses const& it = m_daemons[n];
    std::ofstream file(m_folder / (daemonName(n) + ".ini"));
    file << "[daemon]\nname = " << daemonName(n) << "\navailability_zone = " << zones[n] << "\nregion = delta-north\n"
         << "[callers]\nlisten = " << Http::toString(it.callers) << "\nlist_hold_ms = " << m_settings.listHold.count() << "\n"
         << "[operators]\nlisten = " << Http::toString(it.operators) << "\ntoken = " << token << "\n"
         << "[peers]\nlisten = " << Http::toString(it.peers) << "\n"
         << "[platform]\nlog = " << Http::toString(m_log) << "\nvms = " << Http::toString(m_vms) << "\n";
}

void Fleet::spawnDaemon(std::size_t n)
{
    writeSettings(n);
    m_processes.erase(daemonName(n));
    spawn(daemonName(n), { program("currantvaled"), "--settings", (m_folder / (daemonName(n) + ".ini")).string() });
}

bool Fleet::waitUntilReady(std::size_t n)
{
    return waitFor([&] { return fetch(operators(n), { "GET", "/readyz", {}, {} }).status == okStatus; });
}

void Fleet::startDaemon(std::size_t n)
{
    spawnDaemon(n);
    if (!waitUntilReady(n))
        throw std::runtime_error(daemonName(n) + " does not get ready again");
}

void Fleet::configure()
{
    boost::json::array edits;
    edits.push_back(newObject("target", "records-1", { { "labels", "service=records" } }));
    edits.push_back(newObject("request-rule", "enrolments", { { "when", "kind=service, service=records, method=POST" }, { "set", "repeatable=no" } }));
    edits.push_back(newObject("route", "reasoning", { { "requests", "kind=model" }, { "targets", "kind=engine" } }));
    edits.push_back(newObject("route", "records", { { "requests", "kind=service, service=records" }, { "targets", "kind=service, service=records" } }));
    edits.push_back(newObject("group", "reasoning", { { "targets", "kind=engine" }, { "roles", "mixed" } }));
    // The same record under the same id may be sent again, whatever became of it.
    std::string id = newRecordId(0);
    bool isAccepted = waitFor([&] { return submit(0, id, edits).status == okStatus; });
    std::size_t targets = (m_settings.hasForwarder ? 1 : engineCount) + 1;
    for (std::size_t n = 0; isAccepted && n < daemonCount; ++n) {
        isAccepted = waitFor([&] {
            boost::json::object now = status(n);
            boost::json::array const* rows = Platform::arrayOf(now, "targets");
            boost::json::array const* daemons = Platform::arrayOf(now, "daemons");
            bool isOpen = rows && rows->size() == targets && std::all_of(rows->begin(), rows->end(), [](boost::json::value const& it) { return Platform::flagOf(it.get_object(), "open"); });
            return isOpen && daemons && daemons->size() == daemonCount && Platform::numberOf(now, "config_offset") > 0;
        });
    }
    if (!isAccepted)
        throw std::runtime_error("the configuration does not get in force");
}

boost::json::object Fleet::read(std::size_t n, std::string const& target) const
{
    return getObject(operators(n), target, authorization());
}

boost::json::object Fleet::target(std::size_t n, std::string const& name) const
{
    boost::json::object now = status(n);
    if (boost::json::array const* rows = Platform::arrayOf(now, "targets")) {
        for (boost::json::value const& it : *rows) {
            if (Platform::stringOf(it.get_object(), "name") == name)
                return it.get_object();
        }
    }
    return {};
}

std::string Fleet::newRecordId(std::size_t n)
{
    std::array<char, 32> nonce {};
    std::snprintf(nonce.data(), nonce.size(), "%016llx", static_cast<unsigned long long>(++m_records));
    return std::to_string(Platform::numberOf(config(n), "offset")) + "-" + nonce.data();
}

Http::Response Fleet::submit(std::size_t n, std::string const& id, boost::json::array const& edits) const
{
    Http::Request request { "POST", "/v1/config/records", authorization(), boost::json::serialize(boost::json::object { { "id", id }, { "author", "test" }, { "edits", edits } }) };
    return fetch(operators(n), std::move(request));
}

boost::json::object Fleet::edit(std::size_t n, std::string const& kind, std::string const& name, boost::json::object const& fields) const
{
    boost::json::object result = newObject(kind, name, fields);
    boost::json::object now = config(n);
    if (boost::json::array const* objects = Platform::arrayOf(now, "objects")) {
        for (boost::json::value const& it : *objects) {
            boost::json::object const& object = it.get_object();
            if (Platform::stringOf(object, "kind") == kind && Platform::stringOf(object, "name") == name)
                result["base_revision"] = object.at("revision");
        }
    }
    return result;
}

bool Fleet::change(std::size_t n, std::string const& kind, std::string const& name, boost::json::object const& fields)
{
    boost::json::array edits;
    edits.push_back(edit(n, kind, name, fields));
    return submit(n, newRecordId(n), edits).status == okStatus;
}

bool Fleet::changeVersion(std::size_t n, std::string const& version)
{
    return change(n, "group", "reasoning", { { "targets", "kind=engine" }, { "roles", "mixed" }, { "version", version } });
}

std::vector<std::string> Fleet::logLines(std::string const& process, std::string const& text) const
{
    return linesWith(m_folder / (process + ".out"), text);
}

}
