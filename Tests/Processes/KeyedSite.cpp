#include "KeyedSite.h"

#include "DescriptorLimit.h"

#include <LibHttp/Client.h>
#include <LibPlatform/Json.h>
#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <platform/Store.h>
#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace Processes {

using namespace std::chrono_literals;
using Platform::arrayOf;
using Platform::numberOf;
using Platform::stringOf;

namespace {

constexpr std::size_t mostShown = 100; ///< Of a text, in an error.

std::string program(std::string const& name)
{
    return std::string(CURRANTVALE_BINARY_DIR "/") + name;
}

// Keeps or drops the sections of a template, as the platform does.
void fillSections(std::string& text, std::map<std::string, std::string> const& values)
{
    constexpr std::string_view begin = "{{#";
    for (std::size_t at = text.find(begin); at != std::string::npos; at = text.find(begin, at)) {
        std::string name = text.substr(at + begin.size(), text.find("}}", at) - at - begin.size());
        std::string close = "{{/" + name + "}}";
        std::size_t bodyAt = at + begin.size() + name.size() + 2;
        std::size_t closeAt = text.find(close, bodyAt);
        std::map<std::string, std::string>::const_iterator value = values.find(name);
        bool isKept = value != values.end() && !value->second.empty() && value->second != "false";
        std::string body = isKept ? text.substr(bodyAt, closeAt - bodyAt) : std::string();
        text.replace(at, closeAt + close.size() - at, body);
    }
}

std::filesystem::path newFolder()
{
    static std::atomic<int> count { 0 };
    return std::filesystem::temp_directory_path() / ("currantvale-keyed-" + std::to_string(getpid()) + "-" + std::to_string(++count));
}

void replaceAll(std::string& text, std::string const& from, std::string const& to)
{
    for (std::size_t found = text.find(from); found != std::string::npos; found = text.find(from, found + to.size()))
        text.replace(found, from.size(), to);
}

}

KeyedSite::KeyedSite(KeyedSiteSettings const& settings)
    : m_settings(settings)
    , m_folder(newFolder())
{
    std::filesystem::create_directories(m_folder);
    m_store = Http::parseEndpoint(spawnStandIn("store", { "keyed-store", "--listen", "127.0.0.1:0" })).value();
    if (m_settings.hasDuties)
        m_dutyService = Http::parseEndpoint(spawnStandIn("duty-service", { "duty-service", "--listen", "127.0.0.1:0" })).value();
    for (SiteEngine const& engine : m_settings.engines)
        addTarget("engine-" + std::to_string(m_targets.size()), "llm", engine);
    for (std::string_view name : { "app-0", "app-1" })
        addTarget(std::string(name), "app", {});
    configure(1, "app");
    for (std::size_t n = 0; n < daemonCount(); ++n) {
        Endpoint store = m_settings.hasForwarders ? startForwarder(storeForwarder(n), m_store) : m_store;
        m_daemons.push_back({ freeEndpoint(), freeEndpoint(), freeEndpoint(), freeEndpoint(), freeEndpoint(), store });
    }
    for (std::size_t n = 0; n < daemonCount(); ++n)
        startDaemon(n);
}

KeyedSite::~KeyedSite()
{
    m_processes.clear();
    if (std::getenv("CURRANTVALE_KEEP_LOGS") != nullptr)
        return;
    std::error_code ec;
    std::filesystem::remove_all(m_folder, ec);
}

bool KeyedSite::waitUntilServing()
{
    for (std::size_t n = 0; n < daemonCount(); ++n) {
        if (!waitFor([&] { return isReady(n) && listed(n).size() == daemonCount(); }))
            return false;
    }
    // The split of roles comes before the first request, and the list shows it.
    return waitFor([&] { return m_settings.hasFixedRoles || countEngines("decode") == 2; }) && waitFor([&] { return ask(0, "POST", "/h/1", "warm-up").status == 200; });
}

void KeyedSite::spawn(std::string const& name, std::vector<std::string> const& arguments, double processorShare)
{
    m_processes[name] = std::make_unique<Process>(arguments, (m_folder / (name + ".out")).string(), (m_folder / (name + ".log")).string(), processorShare);
}

// Returns the address that the stand-in prints, and what follows it on the line.
std::string KeyedSite::spawnStandIn(std::string const& name, std::vector<std::string> arguments)
{
    std::filesystem::remove(m_folder / (name + ".out"));
    arguments.insert(arguments.begin(), program("currantvale-standin"));
    spawn(name, arguments);
    std::string line;
    bool isListening = waitFor([&] {
        std::ifstream file(m_folder / (name + ".out"));
        return std::getline(file, line) && line.starts_with("listening ") && !file.eof();
    });
    if (!isListening)
        throw std::runtime_error("the stand-in " + name + " does not listen");
    return line.substr(line.find(' ') + 1);
}

Endpoint KeyedSite::startForwarder(std::string const& name, Endpoint const& to)
{
    std::string line = spawnStandIn(name, { "forwarder", "--listen", "127.0.0.1:0", "--to", Http::toString(to), "--admin", "127.0.0.1:0" });
    constexpr std::string_view admin = " admin ";
    std::size_t at = line.find(admin);
    m_forwarders[name] = Http::parseEndpoint(line.substr(at + admin.size())).value();
    return Http::parseEndpoint(line.substr(0, at)).value();
}

// A plain service has no role.
void KeyedSite::addTarget(std::string const& name, std::string const& service, SiteEngine const& engine)
{
    std::string const& role = engine.role;
    Target target;
    target.listen = freeEndpoint();
    target.arguments = { "runner", "--listen", Http::toString(target.listen), "--service", service, "--store", Http::toString(m_store) };
    // Some keep their id when they start again, as others do not.
    bool isOdd = (name.back() - '0') % 2 != 0;
    if (isOdd)
        target.arguments.insert(target.arguments.end(), { "--id", targetId(name) });
    if (!role.empty())
        target.arguments.insert(target.arguments.end(), { "--role", role });
    if (!engine.release.empty())
        target.arguments.insert(target.arguments.end(), { "--release", engine.release });
    if (m_settings.hasFixedRoles && !role.empty())
        target.arguments.emplace_back("--refuse-orders");
    // The first target of each service is four times as fast as the others.
    bool isFirst = name.back() == '0';
    if (m_settings.isUneven && role.empty())
        target.arguments.insert(target.arguments.end(), { "--places", "1", "--work-ms", isFirst ? "5" : "20" });
    else if (m_settings.hasLongStreams && !role.empty())
        target.arguments.insert(target.arguments.end(), { "--pieces", std::to_string(pieces()), "--piece-ms", std::to_string(25 * (name.back() - '0' + 1)) });
    else if (m_settings.isUneven)
        target.arguments.insert(target.arguments.end(), { "--piece-ms", isFirst ? "5" : "20" });
    if (!m_settings.crashPart.empty() && !role.empty())
        target.arguments.insert(target.arguments.end(), { "--crash-on-part", m_settings.crashPart });
    if (!m_settings.crashPath.empty())
        target.arguments.insert(target.arguments.end(), { "--crash-on", m_settings.crashPath });
    if (m_settings.hasForwarders)
        target.arguments.insert(target.arguments.end(), { "--listed-as", Http::toString(startForwarder(targetForwarder(name), target.listen)) });
    m_targets[name] = std::move(target);
    startTarget(name);
}

void KeyedSite::writeEntry(std::string const& id, std::string const& entry)
{
    Http::Request request { "POST", "/currantvale/log-append?topic=keyed.servers&part=0", {}, UsersPlatform::encodeRecord(id, entry) };
    if (fetch(m_store, request).status != 200)
        throw std::runtime_error("the store does not take the entry of " + id);
}

std::vector<std::string> KeyedSite::logLines(std::string const& process, std::string const& text) const
{
    return linesWith(m_folder / (process + ".out"), text);
}

void KeyedSite::startTarget(std::string const& name)
{
    spawnStandIn(name, m_targets.at(name).arguments);
}

void KeyedSite::setRelease(std::string const& name, std::string const& release)
{
    std::vector<std::string>& arguments = m_targets.at(name).arguments;
    for (std::string const& option : { std::string("--release"), std::string("--id") }) {
        std::vector<std::string>::iterator it = std::find(arguments.begin(), arguments.end(), option);
        if (it != arguments.end())
            arguments.erase(it, it + 2);
    }
    arguments.insert(arguments.end(), { "--release", release });
}

void KeyedSite::removeEntries(std::string const& service)
{
    Http::Response response = fetch(m_store, { "GET", "/currantvale/log-newest?topic=keyed.servers&part=0", {}, {} });
    Platform::KeyedPage page = UsersPlatform::decodePage(response.body).value();
    for (Platform::KeyedRecord const& record : page.records) {
        if (record.value->find("\"service\":\"" + service + "\"") != std::string::npos)
            writeEntry(record.key, "");
    }
}

void KeyedSite::setCutOff(std::size_t daemon, bool isCutOff)
{
    if (isCutOff)
        m_cutOff.insert(daemon);
    else
        m_cutOff.erase(daemon);
}

// Fills deploy/entry.ini in, as the platform does.
void KeyedSite::startDaemon(std::size_t n)
{
    Addresses const& at = m_daemons[n];
    std::map<std::string, std::string> values { { "node", daemonName(n) }, { "zone", "zone-a" }, { "region", "region-a" }, { "bounds.grace_s", std::to_string(m_settings.stopWithinSeconds) }, { "bounds.lease_ms", "300" }, { "bounds.config_apply_ms", "2000" }, { "bounds.drain_ms", "2000" },
        { "bounds.retry_budget_ratio", "0.2" }, { "bounds.budget_extra", "50" }, { "bounds.budget_window_s", "1" }, { "provider.addr", Http::toString(at.store) },
        { "listen.front", Http::toString(at.front) }, { "listen.directory", Http::toString(at.directory) }, { "listen.ready", Http::toString(at.ready) },
        { "ip", "127.0.0.1" }, { "port_range.0", std::to_string(at.peers.port()) }, { "port_range.1", std::to_string(at.operators.port()) } };
    std::ifstream file(CURRANTVALE_SOURCE_DIR "/deploy/entry.ini");
    std::ostringstream text;
    text << file.rdbuf();
    std::string settings = text.str();
    values["bounds.strict_revoke"] = m_settings.isStrict ? "true" : "false";
    values["bounds.revoke_ms"] = "2000";
    if (m_settings.memoryMegabytes > 0)
        values["limits.memory_mb"] = std::to_string(m_settings.memoryMegabytes);
    if (m_settings.hasDuties) {
        values["cloud.addr"] = Http::toString(m_dutyService);
        values["cloud.duty_per_s"] = "50";
        values["bounds.usage_window_s"] = "2";
        values["bounds.usage_late_s"] = "6";
        values["bounds.require_fence"] = "true";
    }
    fillSections(settings, values);
    for (std::pair<std::string const, std::string> const& it : values)
        replaceAll(settings, "{{" + it.first + "}}", it.second);
    replaceAll(settings, "leave_hold_ms = 3000", "leave_hold_ms = " + std::to_string(m_settings.leaveHoldMs));
    // No host of ours has this address (RFC 5737), so that no connection can be made from it.
    if (m_cutOff.contains(n))
        replaceAll(settings, "[targets]\n", "[targets]\nlocal_address = 192.0.2.1\n");
    // The port of the metrics is one for a VM, and these daemons share one.
    replaceAll(settings, "metrics = 127.0.0.1:9464\n", "");
    std::string name = (m_folder / (daemonName(n) + ".ini")).string();
    std::ofstream(name) << settings;
    std::optional<DescriptorLimit> limit;
    if (m_settings.descriptorLimit > 0)
        limit.emplace(m_settings.descriptorLimit);
    spawn(daemonName(n), { program("currantvaled"), "--settings", name }, m_settings.processorShare);
}

void KeyedSite::configure(std::uint64_t version, std::string const& service)
{
    std::string routes = R"({"name":"histories","host":"a.example","path_prefix":"/h/","kind":"stream","timeout_ms":6000,"goal_ms":600,"priority":2,"service":"llm","max_attempts":3,"resumable":true,"gap_target_ms":150},)"
                         R"({"name":"confirm","host":"a.example","path_prefix":"/c/","kind":"unsafe","timeout_ms":3000,"goal_ms":150,"priority":2,"service":")"
        + service + R"(","max_attempts":3},)"
                    R"({"name":"look-up","host":"a.example","path_prefix":"/s/","kind":"safe","timeout_ms":3000,"goal_ms":150,"priority":2,"service":"app","max_attempts":2},)"
                    R"({"name":"texts","host":"a.example","path_prefix":"/t/","kind":"stream","timeout_ms":3000,"goal_ms":150,"priority":2,"service":"app","max_attempts":2,"resumable":true,"gap_target_ms":150},)"
                    R"({"name":"open","host":"a.example","path_prefix":"/o/","kind":"safe","timeout_ms":3000,"goal_ms":150,"priority":2,"service":"app","max_attempts":2,"public":true})";
    std::string config = R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes + R"(],"services":[{"name":"llm","engine":{"slots":8,"kv_cap_tokens":100000,"stage_switch_s":0.5,"kv_hold_s":5}},{"name":"app"},{"name":"none"}])" + (m_organisations.empty() ? "" : R"(,"tenants":)" + m_organisations) + "}";
    writeConfiguration(config);
}

void KeyedSite::writeConfiguration(std::string const& text)
{
    Http::Request request { "POST", "/currantvale/log-append?topic=keyed.op&part=0", {}, UsersPlatform::encodeRecord("config", text) };
    if (fetch(m_store, request).status != 200)
        throw std::runtime_error("the store does not take the configuration " + text.substr(0, mostShown));
}

Http::Request KeyedSite::request(std::string const& method, std::string const& path, std::string const& id)
{
    Http::Fields fields { { "Host", "a.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "5000" }, { "X-Token-Usage", "100,10" }, { "X-Prompt-Prefix", "a:60,b:40" } };
    return { method, path, std::move(fields), method == "GET" ? "" : "body" };
}

Http::Response KeyedSite::ask(std::size_t daemon, std::string const& method, std::string const& path, std::string const& id) const
{
    return fetch(m_daemons[daemon].front, request(method, path, id));
}

bool KeyedSite::isReady(std::size_t daemon) const
{
    return fetch(m_daemons[daemon].ready, Http::Request()).status == 200;
}

std::vector<std::string> KeyedSite::listed(std::size_t daemon) const
{
    boost::json::object body = getObject(m_daemons[daemon].directory, "/currantvale/resolve?name=a.example&region=region-a&zone=zone-a");
    std::vector<std::string> addresses;
    if (boost::json::array const* list = arrayOf(body, "addrs")) {
        for (boost::json::value const& it : *list)
            addresses.emplace_back(it.as_string());
    }
    return addresses;
}

std::size_t KeyedSite::countEngines(std::string const& role) const
{
    std::size_t count = 0;
    for (Endpoint const& engine : engines())
        count += stringOf(getObject(engine, "/admin/runs"), "role") == role ? 1 : 0;
    return count;
}

std::uint64_t KeyedSite::runs(std::vector<Endpoint> const& targets, std::string const& id) const
{
    std::uint64_t sum = 0;
    for (Endpoint const& target : targets) {
        boost::json::object body = getObject(target, "/admin/runs");
        if (boost::json::value const* counts = body.if_contains("runs"))
            sum += numberOf(counts->get_object(), id);
    }
    return sum;
}

std::uint64_t KeyedSite::arrivals(std::string const& name) const
{
    return numberOf(getObject(target(name), "/admin/runs"), "arrivals");
}

std::optional<double> KeyedSite::metric(std::size_t daemon, std::string const& name) const
{
    std::istringstream lines(fetch(m_daemons[daemon].operators, { "GET", "/metrics", {}, {} }).body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with(name + " "))
            return std::stod(line.substr(name.size() + 1));
    }
    return std::nullopt;
}

std::string KeyedSite::wholeStream(std::uint32_t pieces, std::string const& release)
{
    std::string text;
    for (std::uint32_t n = 1; n <= pieces; ++n)
        text += "id: " + std::to_string(n) + "\ndata: piece " + std::to_string(n) + (release.empty() ? "" : " by " + release) + "\n\n";
    return text;
}

std::vector<std::string> KeyedSite::targetNames() const
{
    std::vector<std::string> names;
    for (std::pair<std::string const, Target> const& it : m_targets)
        names.push_back(it.first);
    return names;
}

std::vector<Endpoint> KeyedSite::endpointsOf(std::string const& prefix) const
{
    std::vector<Endpoint> endpoints;
    for (std::pair<std::string const, Target> const& it : m_targets) {
        if (it.first.starts_with(prefix))
            endpoints.push_back(it.second.listen);
    }
    return endpoints;
}

}
