#pragma once

#include "Net.h"
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <sys/types.h>

/// A small deployment for the review's scripts: the platform's store, and daemons with the commands of the deploy file.
namespace Review {

/// What was sent, answered and run, with times. Thread-safe.
class Record {
public:
    explicit Record(std::string const& path);
    void note(std::string const& text);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// The platform's store of keyed records: appends, reads that wait, and the newest record of each key. Thread-safe.
class Store {
public:
    /// Listens at a free port. Precondition: called once.
    bool start(std::string const& ip);
    std::uint16_t port() const { return m_port; }
    void put(std::string const& topic, std::string const& key, std::string const& value);

private:
    std::string answer(Message const&);
    std::string append(std::string const& topic, std::optional<std::size_t> at, std::string const& body);
    std::string newest(std::string const& topic);
    std::string read(std::string const& topic, std::size_t from, int waitMs);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<std::string>> m_topics;
    std::uint16_t m_port { 0 };
};

/// One daemon on an address of its own, as the platform starts it: with the deploy file's command and filled template.
class Daemon {
public:
    Daemon(std::string name, std::string ip, std::uint16_t firstPort, std::string folder);

    /// Starts the process. Returns false if it cannot be started.
    bool start(Store const&, std::map<std::string, std::string> const& bounds);
    void signal(int) const;
    /// Waits until the process has ended, at most so long. Returns whether it has.
    bool waitForEnd(int timeoutMs);
    /// Whether the process has ended by itself.
    bool hasEnded();
    bool isReady() const;
    /// How the last process that was waited for has ended, as text.
    std::string endedBy() const;

    std::string const& name() const { return m_name; }
    std::string const& ip() const { return m_ip; }
    std::uint16_t callerPort() const { return m_firstPort; }
    std::uint16_t directoryPort() const { return static_cast<std::uint16_t>(m_firstPort + 1); }
    std::uint16_t readyPort() const { return static_cast<std::uint16_t>(m_firstPort + 2); }
    std::string callerAddress() const { return m_ip + ":" + std::to_string(callerPort()); }

private:
    std::string m_name;
    std::string m_ip;
    std::uint16_t m_firstPort;
    std::string m_folder;
    pid_t m_process { -1 };
    int m_status { 0 };
};

/// Figures of the small deployment that the users' pages describe, by their names in the template.
std::map<std::string, std::string> smallBounds();

/// A configuration with one host and its routes; each route is a JSON object without the braces' host.
std::string configuration(int version, std::vector<std::string> const& routes, std::vector<std::string> const& services);

/// Returns a new folder below the system's folder for temporary files.
std::string temporaryFolder();

}
