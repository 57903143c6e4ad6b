#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Blocking HTTP/1.1 on loopback for the stand-ins of the review's scripts.
namespace Review {

/// An HTTP message: `startLine` is the request line or the status line. Field names are kept in lower case.
struct Message {
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::optional<std::string> find(std::string const& name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

/// A TCP connection that closes with the object. One thread at a time.
class Connection {
public:
    explicit Connection(int handle);
    ~Connection();
    Connection(Connection&&) noexcept;
    Connection(Connection const&) = delete;
    Connection& operator=(Connection const&) = delete;

    static std::optional<Connection> open(std::string const& ip, std::uint16_t port, int timeoutMs);

    /// Returns nothing if the connection ends or times out before the message is whole.
    std::optional<Message> readHead();
    bool readBody(Message&);
    std::optional<Message> read();
    bool write(std::string const& bytes);
    void reset();

private:
    bool fill();
    std::optional<std::string> take(std::size_t size);
    std::optional<std::string> takeLine();

    int m_handle;
    std::string m_buffer;
};

/// Serves each connection in a thread of its own until the process ends. Returns the port, 0 if it cannot listen.
std::uint16_t serve(std::string const& ip, std::uint16_t port, std::function<void(Connection&)> handler);

/// Returns the first of so many ports in a row on which nothing listens at any of the addresses, 0 if there are none.
std::uint16_t freePorts(std::vector<std::string> const& ips, int count);

std::string response(int status, std::string const& body, std::vector<std::pair<std::string, std::string>> const& fields = {});

/// Milliseconds since the process started.
std::int64_t nowMs();

}
