#include "Site.h"
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Review {

namespace {

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int n = bytes - 1; n >= 0; --n)
        text += static_cast<char>(number >> (8 * n) & 0xffU);
    return text;
}

std::string base64(std::string const& bytes)
{
    constexpr char const* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        unsigned block = 0;
        for (std::size_t k = 0; k < 3; ++k)
            block = block << 8U | (n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += n + k <= bytes.size() ? digits[block >> (18 - 6 * k) & 63U] : '=';
    }
    return text;
}

std::map<std::string, std::string> queryOf(std::string const& target)
{
    std::map<std::string, std::string> query;
    std::size_t mark = target.find('?');
    std::istringstream text(mark == std::string::npos ? "" : target.substr(mark + 1));
    for (std::string part; std::getline(text, part, '&');) {
        std::size_t equals = part.find('=');
        if (equals != std::string::npos)
            query[part.substr(0, equals)] = part.substr(equals + 1);
    }
    return query;
}

std::string readFile(std::string const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void replaceAll(std::string& text, std::string const& from, std::string const& to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

// Keeps a section whose value is set and true, as the platform does.
std::string filled(std::string text, std::map<std::string, std::string> const& values)
{
    for (std::size_t at = text.find("{{#"); at != std::string::npos; at = text.find("{{#")) {
        std::string name = text.substr(at + 3, text.find("}}", at) - at - 3);
        std::string end = "{{/" + name + "}}";
        std::size_t bodyAt = at + name.size() + 5;
        std::size_t endAt = text.find(end, at);
        std::map<std::string, std::string>::const_iterator value = values.find(name);
        bool isKept = value != values.end() && value->second != "false";
        text = text.substr(0, at) + (isKept ? text.substr(bodyAt, endAt - bodyAt) : "") + text.substr(endAt + end.size());
    }
    for (std::pair<std::string const, std::string> const& it : values)
        replaceAll(text, "{{" + it.first + "}}", it.second);
    return text;
}

}

Record::Record(std::string const& path)
    : m_file(path, std::ios::trunc)
{
}

void Record::note(std::string const& text)
{
    std::lock_guard lock(m_mutex);
    m_file << nowMs() << " ms  " << text << std::endl;
}

bool Store::start(std::string const& ip)
{
    m_port = serve(ip, 0, [this](Connection& connection) {
        while (std::optional<Message> request = connection.read()) {
            if (!connection.write(answer(*request)))
                return;
        }
    });
    return m_port != 0;
}

void Store::put(std::string const& topic, std::string const& key, std::string const& value)
{
    std::lock_guard lock(m_mutex);
    m_topics[topic].push_back(bigEndian(key.size(), 1) + key + value);
    m_changed.notify_all();
}

std::string Store::answer(Message const& request)
{
    std::map<std::string, std::string> query = queryOf(request.target());
    std::string path = request.target().substr(0, request.target().find('?'));
    std::optional<std::size_t> at = query.contains("at") ? std::optional<std::size_t>(std::stoul(query["at"])) : std::nullopt;
    if (path == "/currantvale/log-append")
        return append(query["topic"], at, request.body);
    if (path == "/currantvale/log-newest")
        return newest(query["topic"]);
    if (path == "/currantvale/log-read")
        return read(query["topic"], std::stoul(query["from"]), std::atoi(query["wait_ms"].c_str()));
    return response(404, "{}");
}

std::string Store::append(std::string const& topic, std::optional<std::size_t> at, std::string const& body)
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string>& records = m_topics[topic];
    if (at && *at != records.size())
        return response(412, "{\"end_offset\":" + std::to_string(records.size()) + "}");
    std::size_t offset = records.size();
    for (std::size_t n = 0; n + 4 <= body.size();) {
        std::size_t size = 0;
        for (std::size_t k = 0; k < 4; ++k)
            size = size << 8U | static_cast<unsigned char>(body[n + k]);
        records.push_back(body.substr(n + 4, size));
        n += 4 + size;
    }
    m_changed.notify_all();
    return response(200, "{\"offset\":" + std::to_string(offset) + ",\"end_offset\":" + std::to_string(records.size()) + "}");
}

std::string Store::newest(std::string const& topic)
{
    std::lock_guard lock(m_mutex);
    std::vector<std::string> const& records = m_topics[topic];
    std::map<std::string, std::size_t> last;
    for (std::size_t n = 0; n < records.size(); ++n)
        last[records[n].substr(1, static_cast<unsigned char>(records[n][0]))] = n;
    std::string items;
    for (std::pair<std::string const, std::size_t> const& it : last) {
        std::string value = records[it.second].substr(1 + it.first.size());
        if (!value.empty())
            items += (items.empty() ? "" : ",") + ("{\"key\":\"" + it.first + "\",\"value\":\"" + base64(value) + "\",\"offset\":" + std::to_string(it.second) + "}");
    }
    return response(200, "{\"items\":[" + items + "],\"has_more\":false,\"end_offset\":" + std::to_string(records.size()) + "}");
}

std::string Store::read(std::string const& topic, std::size_t from, int waitMs)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, std::chrono::milliseconds(waitMs), [&] { return m_topics[topic].size() > from; });
    std::vector<std::string> const& records = m_topics[topic];
    std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::size_t n = from; n < records.size(); ++n)
        body += bigEndian(records[n].size(), 4) + records[n];
    return response(200, body);
}

Daemon::Daemon(std::string name, std::string ip, std::uint16_t firstPort, std::string folder)
    : m_name(std::move(name))
    , m_ip(std::move(ip))
    , m_firstPort(firstPort)
    , m_folder(std::move(folder))
{
}

bool Daemon::start(Store const& store, std::map<std::string, std::string> const& bounds)
{
    std::map<std::string, std::string> values = bounds;
    values["node"] = m_name;
    values["ip"] = m_ip;
    values["listen.front"] = callerAddress();
    values["listen.directory"] = m_ip + ":" + std::to_string(directoryPort());
    values["listen.ready"] = m_ip + ":" + std::to_string(readyPort());
    values["port_range.0"] = std::to_string(m_firstPort + 3);
    values["port_range.1"] = std::to_string(m_firstPort + 4);
    values["provider.addr"] = "127.0.0.1:" + std::to_string(store.port());
    std::string settings = m_folder + "/" + m_name + ".ini";
    std::ofstream(settings) << filled(readFile("deploy/entry.ini"), values);
    std::string log = m_folder + "/" + m_name + ".log";
    m_process = fork();
    if (m_process != 0)
        return m_process > 0;
    prctl(PR_SET_PDEATHSIG, SIGKILL); // A script that is ended leaves no daemon behind.
    int handle = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(handle, STDOUT_FILENO);
    dup2(handle, STDERR_FILENO);
    execl("target/bin/currantvaled", "target/bin/currantvaled", "--settings", settings.c_str(), nullptr);
    _exit(127);
}

void Daemon::signal(int number) const
{
    if (m_process > 0)
        kill(m_process, number);
}

bool Daemon::hasEnded()
{
    if (m_process > 0 && waitpid(m_process, &m_status, WNOHANG) == m_process)
        m_process = -1;
    return m_process < 0;
}

std::string Daemon::endedBy() const
{
    return WIFSIGNALED(m_status) ? "signal " + std::to_string(WTERMSIG(m_status)) : std::to_string(WEXITSTATUS(m_status));
}

bool Daemon::waitForEnd(int timeoutMs)
{
    for (std::int64_t end = nowMs() + timeoutMs; !hasEnded() && nowMs() < end;)
        usleep(5'000);
    return hasEnded();
}

bool Daemon::isReady() const
{
    std::optional<Connection> connection = Connection::open(m_ip, readyPort(), 1'000);
    if (!connection || !connection->write("GET /currantvale/ready HTTP/1.1\r\nHost: " + m_ip + "\r\n\r\n"))
        return false;
    std::optional<Message> answer = connection->read();
    return answer && answer->status() == 200;
}

std::map<std::string, std::string> smallBounds()
{
    return { { "zone", "zone-a" }, { "region", "region-a" }, { "bounds.grace_s", "8" }, { "bounds.config_apply_ms", "2000" }, { "bounds.drain_ms", "2000" }, { "bounds.lease_ms", "3000" }, { "bounds.retry_budget_ratio", "0.2" }, { "bounds.budget_extra", "52" }, { "bounds.budget_window_s", "10" }, { "limits.link_mbps", "1000.0" }, { "limits.memory_mb", "260" } };
}

std::string configuration(int version, std::vector<std::string> const& routes, std::vector<std::string> const& services)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (std::size_t n = 0; n < routes.size(); ++n)
        text += (n > 0 ? "," : "") + ("{\"host\":\"site.example\"," + routes[n] + "}");
    text += "],\"services\":[";
    for (std::size_t n = 0; n < services.size(); ++n)
        text += (n > 0 ? ",{" : "{") + services[n] + "}";
    return text + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

std::string temporaryFolder()
{
    char const* base = std::getenv("TMPDIR");
    std::string name = std::string(base ? base : "/tmp") + "/currantvale-review-XXXXXX";
    char const* made = mkdtemp(name.data());
    return made ? name : std::string();
}

}
