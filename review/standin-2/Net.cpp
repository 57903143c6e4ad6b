#include "Net.h"
#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <netinet/tcp.h>
#include <sstream>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace Review {

namespace {

sockaddr_in addressOf(std::string const& ip, std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string word(std::string const& line, int n)
{
    std::istringstream text(line);
    std::string it;
    for (int i = 0; i <= n; ++i)
        text >> it;
    return it;
}

bool bindTo(int handle, std::string const& ip, std::uint16_t port)
{
    sockaddr_in address = addressOf(ip, port);
    return bind(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
}

bool canBind(int type, std::string const& ip, std::uint16_t port)
{
    int handle = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    bool isBound = bindTo(handle, ip, port);
    close(handle);
    return isBound;
}

}

std::optional<std::string> Message::find(std::string const& name) const
{
    for (std::pair<std::string, std::string> const& it : fields) {
        if (it.first == name)
            return it.second;
    }
    return std::nullopt;
}

std::string Message::method() const { return word(startLine, 0); }
std::string Message::target() const { return word(startLine, 1); }
int Message::status() const { return std::atoi(word(startLine, 1).c_str()); }

Connection::Connection(int handle)
    : m_handle(handle)
{
    int on = 1;
    setsockopt(m_handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::Connection(Connection&& other) noexcept
    : m_handle(std::exchange(other.m_handle, -1))
    , m_buffer(std::move(other.m_buffer))
{
}

Connection::~Connection()
{
    if (m_handle >= 0)
        close(m_handle);
}

std::optional<Connection> Connection::open(std::string const& ip, std::uint16_t port, int timeoutMs)
{
    int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval time { timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
    setsockopt(handle, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    setsockopt(handle, SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
    sockaddr_in address = addressOf(ip, port);
    if (connect(handle, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        close(handle);
        return std::nullopt;
    }
    return Connection(handle);
}

bool Connection::fill()
{
    char buf[16384];
    ssize_t n = recv(m_handle, buf, sizeof(buf), 0);
    if (n > 0)
        m_buffer.append(buf, static_cast<std::size_t>(n));
    return n > 0;
}

std::optional<std::string> Connection::take(std::size_t size)
{
    while (m_buffer.size() < size) {
        if (!fill())
            return std::nullopt;
    }
    std::string bytes = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return bytes;
}

std::optional<std::string> Connection::takeLine()
{
    std::size_t end = m_buffer.find("\r\n");
    while (end == std::string::npos) {
        if (!fill())
            return std::nullopt;
        end = m_buffer.find("\r\n");
    }
    std::string line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return line;
}

std::optional<Message> Connection::readHead()
{
    Message message;
    std::optional<std::string> line = takeLine();
    if (!line)
        return std::nullopt;
    message.startLine = *line;
    for (line = takeLine(); line && !line->empty(); line = takeLine()) {
        std::size_t colon = line->find(':');
        std::string name = line->substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        std::size_t value = colon == std::string::npos ? line->size() : line->find_first_not_of(' ', colon + 1);
        message.fields.emplace_back(name, value == std::string::npos ? "" : line->substr(value));
    }
    return line ? std::optional<Message>(std::move(message)) : std::nullopt;
}

bool Connection::readBody(Message& message)
{
    if (message.find("transfer-encoding")) {
        while (true) {
            std::optional<std::string> line = takeLine();
            if (!line || line->empty())
                return false;
            std::size_t size = std::strtoul(line->c_str(), nullptr, 16);
            std::optional<std::string> chunk = take(size);
            if (!chunk || !takeLine())
                return false;
            if (size == 0)
                return true;
            message.body += *chunk;
        }
    }
    std::optional<std::string> body = take(std::strtoul(message.find("content-length").value_or("0").c_str(), nullptr, 10));
    message.body = body.value_or("");
    return body.has_value();
}

std::optional<Message> Connection::read()
{
    std::optional<Message> message = readHead();
    return message && readBody(*message) ? message : std::nullopt;
}

bool Connection::write(std::string const& bytes)
{
    for (std::size_t done = 0; done < bytes.size();) {
        ssize_t n = send(m_handle, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

void Connection::reset()
{
    linger now { 1, 0 };
    setsockopt(m_handle, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(std::exchange(m_handle, -1));
}

std::uint16_t serve(std::string const& ip, std::uint16_t port, std::function<void(Connection&)> handler)
{
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (!bindTo(listener, ip, port) || listen(listener, 512) != 0)
        return 0;
    sockaddr_in address {};
    socklen_t size = sizeof(address);
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            int handle = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0)
                continue;
            std::thread([handle, handler] {
                Connection connection(handle);
                handler(connection);
            }).detach();
        }
    }).detach();
    return ntohs(address.sin_port);
}

std::uint16_t freePorts(std::vector<std::string> const& ips, int count)
{
    constexpr std::uint16_t first = 21000;
    constexpr std::uint16_t last = 29000;
    constexpr std::uint16_t spread = 4000; // Cases that run at one time begin at different ports.
    int inARow = 0;
    for (std::uint16_t port = static_cast<std::uint16_t>(first + getpid() * 10 % spread); port < last; ++port) {
        bool isFree = std::all_of(ips.begin(), ips.end(), [port](std::string const& ip) {
            return canBind(SOCK_STREAM, ip, port) && canBind(SOCK_DGRAM, ip, port);
        });
        inARow = isFree ? inARow + 1 : 0;
        if (inARow == count)
            return static_cast<std::uint16_t>(port - count + 1);
    }
    return 0;
}

std::string response(int status, std::string const& body, std::vector<std::pair<std::string, std::string>> const& fields)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    for (std::pair<std::string, std::string> const& it : fields)
        text += it.first + ": " + it.second + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::int64_t nowMs()
{
    static std::chrono::steady_clock::time_point const start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
}

}
