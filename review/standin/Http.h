#pragma once

// A small blocking HTTP/1.1 toolkit for the stand-ins of the review cases: POSIX sockets, one thread a connection.

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Standin {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct Address {
    std::string ip { "127.0.0.1" };
    std::uint16_t port { 0 };

    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in toNative(Address const& address)
{
    sockaddr_in native {};
    native.sin_family = AF_INET;
    native.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &native.sin_addr);
    return native;
}

/// A message: a request (method, target) or a response (status).
struct Message {
    std::string method;
    std::string target;
    int status { 0 };
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(std::string_view name) const
    {
        for (std::pair<std::string, std::string> const& it : fields) {
            if (it.first.size() == name.size() && strncasecmp(it.first.data(), name.data(), name.size()) == 0)
                return it.second;
        }
        return {};
    }
    std::string path() const { return target.substr(0, target.find('?')); }
    std::string query(std::string const& name) const
    {
        std::size_t question = target.find('?');
        std::string rest = question == std::string::npos ? std::string() : target.substr(question + 1);
        while (!rest.empty()) {
            std::string item = rest.substr(0, rest.find('&'));
            rest = item.size() == rest.size() ? std::string() : rest.substr(item.size() + 1);
            if (item.compare(0, name.size() + 1, name + "=") == 0)
                return item.substr(name.size() + 1);
        }
        return {};
    }
};

/// One TCP connection with a read buffer. Closed by its destructor.
class Connection {
public:
    explicit Connection(int handle)
        : m_handle(handle)
    {
        int one = 1;
        setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    }
    ~Connection() { close(); }
    Connection(Connection const&) = delete;
    Connection& operator=(Connection const&) = delete;

    static int open(Address const& to, milliseconds timeout)
    {
        int handle = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in native = toNative(to);
        int result = connect(handle, reinterpret_cast<sockaddr*>(&native), sizeof(native));
        if (result != 0 && errno == EINPROGRESS) {
            pollfd wait { handle, POLLOUT, 0 };
            int error = ETIMEDOUT;
            socklen_t size = sizeof(error);
            if (poll(&wait, 1, static_cast<int>(timeout.count())) > 0)
                getsockopt(handle, SOL_SOCKET, SO_ERROR, &error, &size);
            result = error == 0 ? 0 : -1;
        }
        if (result != 0) {
            ::close(handle);
            return -1;
        }
        return handle;
    }

    void close()
    {
        if (m_handle >= 0)
            ::close(std::exchange(m_handle, -1));
    }
    /// Closes so that the other end sees a reset.
    void reset()
    {
        linger now { 1, 0 };
        setsockopt(m_handle, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        close();
    }
    int handle() const { return m_handle; }

    bool write(std::string_view bytes)
    {
        while (!bytes.empty()) {
            ssize_t n = send(m_handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
                pollfd wait { m_handle, POLLOUT, 0 };
                if (poll(&wait, 1, 10'000) <= 0)
                    return false;
                continue;
            }
            if (n <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /// Reads more into the buffer; false at the end, at an error (see `wasReset`) and after the time.
    bool fill(Clock::time_point until)
    {
        while (true) {
            std::int64_t left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
            if (left <= 0) {
                m_isTimedOut = true;
                return false;
            }
            pollfd wait { m_handle, POLLIN, 0 };
            if (poll(&wait, 1, static_cast<int>(std::min<std::int64_t>(left, 60'000))) <= 0)
                continue;
            char bytes[16384];
            ssize_t n = recv(m_handle, bytes, sizeof(bytes), MSG_DONTWAIT);
            if (n > 0 && m_bytesPerSecond > 0)
                std::this_thread::sleep_for(std::chrono::microseconds(1'000'000 * static_cast<std::uint64_t>(n) / m_bytesPerSecond));
            if (n < 0 && (errno == EAGAIN || errno == EINTR))
                continue;
            if (n < 0)
                m_wasReset = true;
            if (n <= 0)
                return false;
            m_buffer.append(bytes, static_cast<std::size_t>(n));
            return true;
        }
    }

    /// Reads a whole message. `isResponse` decides about the first line and about bodies that end with the connection.
    bool read(Message& message, bool isResponse, Clock::time_point until)
    {
        message = Message();
        m_isTimedOut = false;
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until))
                return false;
        }
        std::string head = m_buffer.substr(0, end + 2);
        m_buffer.erase(0, end + 4);
        std::size_t lineEnd = head.find("\r\n");
        std::string first = head.substr(0, lineEnd);
        std::size_t space = first.find(' ');
        if (space == std::string::npos)
            return false;
        if (isResponse) {
            message.status = std::atoi(first.c_str() + space + 1);
        } else {
            message.method = first.substr(0, space);
            message.target = first.substr(space + 1, first.rfind(' ') - space - 1);
        }
        for (std::size_t at = lineEnd + 2; at < head.size();) {
            std::size_t next = head.find("\r\n", at);
            std::string line = head.substr(at, next - at);
            at = next + 2;
            std::size_t colon = line.find(':');
            if (colon == std::string::npos)
                return false;
            std::size_t value = line.find_first_not_of(" \t", colon + 1);
            message.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
        }
        if (strcasecmp(message.field("Transfer-Encoding").c_str(), "chunked") == 0)
            return readChunks(message, until);
        std::string length = message.field("Content-Length");
        if (!length.empty())
            return take(message.body, std::strtoull(length.c_str(), nullptr, 10), until);
        if (!isResponse || message.status == 204 || message.status == 304)
            return true;
        while (fill(until)) { }
        message.body.swap(m_buffer);
        return !m_wasReset && !m_isTimedOut;
    }

    /// As `read` of a request, but takes no more than so many bytes a second from the channel.
    bool readAtPace(Message& message, std::size_t bytesPerSecond, Clock::time_point until)
    {
        m_bytesPerSecond = bytesPerSecond;
        bool isRead = read(message, false, until);
        m_bytesPerSecond = 0;
        return isRead;
    }

    bool isTimedOut() const { return m_isTimedOut; }
    bool hasBufferedBytes() const { return !m_buffer.empty(); }

private:
    bool take(std::string& to, std::size_t size, Clock::time_point until)
    {
        while (m_buffer.size() < size) {
            if (!fill(until)) {
                to += m_buffer;
                m_buffer.clear();
                return false;
            }
        }
        to += m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }
    bool readChunks(Message& message, Clock::time_point until)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(until))
                    return false;
            }
            std::size_t size = std::strtoull(m_buffer.c_str(), nullptr, 16);
            m_buffer.erase(0, end + 2);
            std::string crlf;
            if (size > 0 && !take(message.body, size, until))
                return false;
            if (!take(crlf, 2, until) || crlf != "\r\n")
                return false;
            if (size == 0)
                return true;
        }
    }

    int m_handle;
    std::string m_buffer;
    std::size_t m_bytesPerSecond { 0 }; ///< 0: as fast as it comes.
    bool m_wasReset { false };
    bool m_isTimedOut { false };
};

inline std::string encode(Message const& message)
{
    std::string text;
    if (message.status != 0)
        text = "HTTP/1.1 " + std::to_string(message.status) + " X\r\n";
    else
        text = message.method + " " + message.target + " HTTP/1.1\r\n";
    for (std::pair<std::string, std::string> const& it : message.fields)
        text += it.first + ": " + it.second + "\r\n";
    return text + "Content-Length: " + std::to_string(message.body.size()) + "\r\n\r\n" + message.body;
}

/// A listener that runs a function for each connection, in a thread of its own.
class Listener {
public:
    using Serve = std::function<void(Connection&)>;

    explicit Listener(Serve serve, std::string const& ip = "127.0.0.1")
        : m_serve(std::move(serve))
    {
        m_handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        m_address.ip = ip;
        sockaddr_in native = toNative(m_address);
        if (bind(m_handle, reinterpret_cast<sockaddr*>(&native), sizeof(native)) != 0 || listen(m_handle, 512) != 0)
            throw std::runtime_error("cannot listen");
        socklen_t size = sizeof(native);
        getsockname(m_handle, reinterpret_cast<sockaddr*>(&native), &size);
        m_address.port = ntohs(native.sin_port);
        std::thread([this] { accept(); }).detach();
    }
    Address const& address() const { return m_address; }

private:
    void accept()
    {
        while (true) {
            int handle = ::accept4(m_handle, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0)
                continue;
            std::thread([this, handle] {
                Connection connection(handle);
                m_serve(connection);
            }).detach();
        }
    }

    Serve m_serve;
    int m_handle { -1 };
    Address m_address;
};

/// One request on a connection of its own; status 0: no answer.
inline Message fetch(Address const& to, Message request, milliseconds timeout = milliseconds(2'000))
{
    Message response;
    int handle = Connection::open(to, timeout);
    if (handle < 0)
        return response;
    Connection connection(handle);
    if (request.field("Host").empty())
        request.fields.emplace_back("Host", to.text());
    if (!connection.write(encode(request)) || !connection.read(response, true, Clock::now() + timeout))
        response.status = 0;
    return response;
}

}
