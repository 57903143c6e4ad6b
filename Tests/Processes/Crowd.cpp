#include "Crowd.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Processes {

namespace {

constexpr int pollMs = 20;
constexpr std::size_t writesInTurn = 8; ///< So that one member does not keep the others waiting.

}

struct Crowd::Member {
    int handle { -1 };
    std::size_t sent { 0 }; ///< In this round.
    std::size_t roundsLeft { 0 };

    void close()
    {
        if (handle >= 0)
            ::close(handle);
        handle = -1;
    }
};

Crowd::Crowd(Endpoint const& endpoint, std::size_t size, CrowdScript script, int receiveBuffer)
    : m_endpoint(endpoint)
    , m_script(std::move(script))
    , m_receiveBuffer(receiveBuffer)
{
    for (std::size_t n = 0; n < size; ++n) {
        m_members.push_back(std::make_unique<Member>());
        m_members.back()->roundsLeft = m_script.rounds;
    }
    m_thread = std::thread([this] { run(); });
}

Crowd::~Crowd()
{
    leave();
}

void Crowd::leave()
{
    m_isLeaving = true;
    if (m_thread.joinable())
        m_thread.join();
    for (std::unique_ptr<Member> const& it : m_members)
        it->close();
}

void Crowd::run()
{
    while (!m_isLeaving) {
        std::vector<pollfd> descriptors;
        std::vector<Member*> polled;
        bool isSpent = true;
        for (std::unique_ptr<Member> const& it : m_members) {
            if (it->handle < 0 && it->roundsLeft > 0)
                connect(*it);
            if (it->handle < 0)
                continue;
            bool hasMore = !nextBytes(*it).empty();
            isSpent = isSpent && !hasMore && !m_script.readsAnswer;
            descriptors.push_back({ it->handle, static_cast<short>((hasMore ? POLLOUT : 0) | (m_script.readsAnswer ? POLLIN : 0)), 0 });
            polled.push_back(it.get());
        }
        m_isSpent = isSpent;
        ::poll(descriptors.data(), descriptors.size(), pollMs);
        for (std::size_t n = 0; n < descriptors.size(); ++n) {
            if ((descriptors[n].revents & POLLOUT) != 0)
                write(*polled[n]);
            if (polled[n]->handle >= 0 && (descriptors[n].revents & POLLIN) != 0)
                read(*polled[n]);
            if ((descriptors[n].revents & (POLLERR | POLLHUP | POLLNVAL)) != 0)
                polled[n]->close();
        }
    }
}

// A connection that is refused uses its round up.
void Crowd::connect(Member& member)
{
    --member.roundsLeft;
    member.sent = 0;
    member.handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (member.handle < 0)
        return;
    if (m_receiveBuffer > 0)
        ::setsockopt(member.handle, SOL_SOCKET, SO_RCVBUF, &m_receiveBuffer, sizeof(m_receiveBuffer));
    if (::connect(member.handle, m_endpoint.data(), static_cast<socklen_t>(m_endpoint.size())) != 0)
        member.close();
    else
        ::fcntl(member.handle, F_SETFL, O_NONBLOCK);
}

std::string_view Crowd::nextBytes(Member const& member) const
{
    std::size_t at = member.sent;
    if (at < m_script.begin.size())
        return std::string_view(m_script.begin).substr(at);
    at -= m_script.begin.size();
    if (m_script.isEndless || at < m_script.blockBytes) {
        std::string_view block = std::string_view(m_script.block).substr(at % m_script.block.size());
        return m_script.isEndless ? block : block.substr(0, m_script.blockBytes - at);
    }
    at -= m_script.blockBytes;
    return std::string_view(m_script.end).substr(std::min(at, m_script.end.size()));
}

void Crowd::write(Member& member)
{
    for (std::size_t n = 0; n < writesInTurn; ++n) {
        std::string_view bytes = nextBytes(member);
        if (bytes.empty())
            return;
        ssize_t written = ::send(member.handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (written < 0) {
            if (errno != EAGAIN && errno != EWOULDBLOCK)
                member.close();
            return;
        }
        member.sent += static_cast<std::size_t>(written);
        m_sentBytes += static_cast<std::size_t>(written);
    }
}

void Crowd::read(Member& member)
{
    std::array<char, 64 * 1024> buf;
    ssize_t n = ::recv(member.handle, buf.data(), buf.size(), 0);
    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK))
        member.close();
}

}
