#include <LibHttp/CloseWatch.h>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace Http {

namespace {

// A socket with unread bytes is always readable, so that its end cannot be waited for.
constexpr std::chrono::milliseconds checkInterval { 100 };

}

std::shared_ptr<CloseWatch> CloseWatch::create(boost::asio::ip::tcp::socket& socket)
{
    return std::shared_ptr<CloseWatch>(new CloseWatch(socket));
}

CloseWatch::CloseWatch(boost::asio::ip::tcp::socket& socket)
    : m_socket(socket)
    , m_timer(socket.get_executor())
{
}

void CloseWatch::start(std::function<void()> onClosed)
{
    stop();
    m_onClosed = std::move(onClosed);
    waitUntilReadable();
}

void CloseWatch::stop()
{
    ++m_generation;
    m_onClosed = nullptr;
    m_timer.cancel();
}

bool CloseWatch::isClosed() const
{
    return !m_socket.is_open() || peerState() == PeerState::Closed;
}

CloseWatch::PeerState CloseWatch::peerState() const
{
    int handle = m_socket.native_handle();
    char byte = 0;
    ssize_t n = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n == 0)
        return PeerState::Closed;
    if (n < 0) {
        if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)
            return PeerState::Open;
        m_error.assign(errno, boost::system::system_category());
        return PeerState::Closed;
    }
    pollfd descriptor { handle, POLLRDHUP, 0 };
    bool isHungUp = ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    return isHungUp ? PeerState::Closed : PeerState::OpenWithUnreadBytes;
}

void CloseWatch::waitUntilReadable()
{
    ++m_waits;
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read, [weak = weak_from_this(), generation = m_generation](boost::system::error_code ec) {
        std::shared_ptr<CloseWatch> self = weak.lock();
        if (!self)
            return;
        --self->m_waits;
        if (!ec)
            self->check(generation);
    });
}

void CloseWatch::waitForInterval()
{
    m_timer.expires_after(checkInterval);
    m_timer.async_wait([weak = weak_from_this(), generation = m_generation](boost::system::error_code ec) {
        std::shared_ptr<CloseWatch> self = weak.lock();
        if (self && !ec)
            self->check(generation);
    });
}

void CloseWatch::check(std::uint64_t generation)
{
    if (generation != m_generation || !m_socket.is_open())
        return;
    switch (peerState()) {
    case PeerState::Open:
        waitUntilReadable();
        return;
    case PeerState::OpenWithUnreadBytes:
        waitForInterval();
        return;
    case PeerState::Closed:
        std::function<void()> onClosed = std::exchange(m_onClosed, nullptr);
        stop();
        onClosed();
        return;
    }
}

}
