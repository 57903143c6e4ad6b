#pragma once

// A small site on loopback: the store, and daemons started with the command and the template of the deploy file.

#include "Store.h"
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace Standin {

inline bool hasTrouble()
{
    char const* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// Writes record.txt: a line an event, with the time since the start.
class Record {
public:
    explicit Record(std::string const& path)
        : m_file(path)
        , m_start(Clock::now())
    {
    }
    void line(std::string const& text)
    {
        std::lock_guard lock(m_mutex);
        m_file << std::chrono::duration_cast<milliseconds>(Clock::now() - m_start).count() << " ms  " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start;
};

/// The bounds that the sheets of the small deployments name, as the platform fills them in.
inline std::map<std::string, std::string> smallBounds()
{
    return { { "bounds.grace_s", "8" }, { "bounds.config_apply_ms", "2000" }, { "bounds.drain_ms", "2000" }, { "bounds.lease_ms", "3000" },
        { "bounds.retry_budget_ratio", "0.2" }, { "bounds.budget_extra", "52" }, { "bounds.budget_window_s", "10" }, { "limits.link_mbps", "1000" } };
}

inline void replaceAll(std::string& text, std::string const& from, std::string const& to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

/// Fills a template in as DEPLOY.md tells: sections and values.
inline std::string fill(std::string text, std::map<std::string, std::string> const& values)
{
    for (std::size_t at = text.find("{{#"); at != std::string::npos; at = text.find("{{#", at)) {
        std::string name = text.substr(at + 3, text.find("}}", at) - at - 3);
        std::string close = "{{/" + name + "}}";
        std::size_t bodyAt = at + name.size() + 5;
        std::size_t closeAt = text.find(close, bodyAt);
        std::map<std::string, std::string>::const_iterator value = values.find(name);
        bool isKept = value != values.end() && !value->second.empty() && value->second != "false";
        std::string body = isKept ? text.substr(bodyAt, closeAt - bodyAt) : std::string();
        text.replace(at, closeAt + close.size() - at, body);
    }
    for (std::pair<std::string const, std::string> const& it : values)
        replaceAll(text, "{{" + it.first + "}}", it.second);
    return text;
}

inline std::uint16_t freePort(std::string const& ip)
{
    int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in native = toNative({ ip, 0 });
    socklen_t size = sizeof(native);
    if (bind(handle, reinterpret_cast<sockaddr*>(&native), sizeof(native)) != 0)
        throw std::runtime_error("no port at " + ip);
    getsockname(handle, reinterpret_cast<sockaddr*>(&native), &size);
    ::close(handle);
    return ntohs(native.sin_port);
}

/// A daemon process on a loopback address of its own.
class Daemon {
public:
    Daemon(std::string folder, std::string name, std::string ip, Address const& store, std::map<std::string, std::string> const& extra = {})
        : m_folder(std::move(folder))
        , m_name(std::move(name))
    {
        front = { ip, freePort(ip) };
        directory = { ip, freePort(ip) };
        ready = { ip, freePort(ip) };
        std::map<std::string, std::string> values = smallBounds();
        values.insert({ { "node", m_name }, { "zone", "zone-a" }, { "region", "region-a" }, { "ip", ip }, { "provider.addr", store.text() }, { "listen.front", front.text() }, { "listen.directory", directory.text() }, { "listen.ready", ready.text() }, { "port_range.0", std::to_string(freePort(ip)) }, { "port_range.1", std::to_string(freePort(ip)) } });
        for (std::pair<std::string const, std::string> const& it : extra)
            values[it.first] = it.second;
        std::ifstream file("deploy/entry.ini");
        std::ostringstream text;
        text << file.rdbuf();
        m_settings = m_folder + "/" + m_name + ".ini";
        std::ofstream(m_settings) << fill(text.str(), values);
    }
    ~Daemon() { kill(SIGKILL); }
    Daemon(Daemon const&) = delete;
    Daemon& operator=(Daemon const&) = delete;

    void start()
    {
        std::string log = m_folder + "/" + m_name + ".log";
        m_status.reset();
        m_pid = fork();
        if (m_pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            execl("target/bin/currantvaled", "target/bin/currantvaled", "--settings", m_settings.c_str(), static_cast<char*>(nullptr));
            _exit(127);
        }
    }

    void signal(int number)
    {
        if (m_pid > 0 && !hasEnded())
            ::kill(m_pid, number);
    }

    /// Sends the signal and waits for the end.
    void kill(int number)
    {
        if (m_pid <= 0)
            return;
        signal(number);
        signal(SIGCONT);
        int status = 0;
        if (!m_status && waitpid(m_pid, &status, 0) == m_pid)
            m_status = status;
        m_pid = -1;
    }

    /// Whether the process is gone without having been told to end here.
    bool hasEnded()
    {
        int status = 0;
        if (!m_status && m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid)
            m_status = status;
        return m_status.has_value();
    }
    std::string endText() const
    {
        if (!m_status)
            return "it runs";
        return WIFSIGNALED(*m_status) ? "it ended by signal " + std::to_string(WTERMSIG(*m_status)) : "it exited with " + std::to_string(WEXITSTATUS(*m_status));
    }

    bool isReady() const { return fetch(ready, { "GET", "/currantvale/ready", 0, {}, {} }, milliseconds(500)).status == 200; }

    bool waitUntilReady(milliseconds timeout) const
    {
        for (Clock::time_point until = Clock::now() + timeout; Clock::now() < until; std::this_thread::sleep_for(milliseconds(50))) {
            if (isReady())
                return true;
        }
        return false;
    }

    std::string const& name() const { return m_name; }
    pid_t pid() const { return m_pid; }

    Address front;
    Address directory;
    Address ready;

private:
    std::string m_folder;
    std::string m_name;
    std::string m_settings;
    pid_t m_pid { -1 };
    std::optional<int> m_status;
};

/// A temporary folder that goes with the object; CURRANTVALE_KEEP_LOGS keeps it.
class Folder {
public:
    Folder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "currantvale-review-XXXXXX").string();
        if (mkdtemp(name.data()) == nullptr)
            throw std::runtime_error("no temporary folder");
        m_path = name;
    }
    ~Folder()
    {
        std::error_code ec;
        if (std::getenv("CURRANTVALE_KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(m_path, ec);
    }
    std::string const& path() const { return m_path; }

private:
    std::string m_path;
};

/// Keeps a target's entry in the store, as a runner does with its heartbeats, and what clients and targets of one plain service need.
class Entry {
public:
    Entry(Store& store, std::string id, std::string fields)
        : m_store(store)
        , m_id(std::move(id))
        , m_fields(std::move(fields))
    {
        std::thread([this] {
            while (!m_isGone) {
                beat();
                std::this_thread::sleep_for(milliseconds(1'200));
            }
        }).detach();
    }
    void setState(std::string const& state)
    {
        std::lock_guard lock(m_mutex);
        m_state = state;
        write();
    }
    void remove()
    {
        std::lock_guard lock(m_mutex);
        m_isGone = true;
        m_store.put("keyed.servers", m_id, "");
    }

private:
    void beat()
    {
        std::lock_guard lock(m_mutex);
        if (!m_isGone)
            write();
    }
    void write() { m_store.put("keyed.servers", m_id, "{" + m_fields + ",\"state\":\"" + m_state + "\",\"version\":\"1\",\"cold_left_ms\":0,\"seq\":" + std::to_string(++m_beats) + "}"); }

    Store& m_store;
    std::string m_id;
    std::string m_fields;
    std::mutex m_mutex;
    std::string m_state { "ready" };
    std::uint64_t m_beats { 0 };
    std::atomic<bool> m_isGone { false };
};

inline std::string limitsJson()
{
    return "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":20000}";
}

}
