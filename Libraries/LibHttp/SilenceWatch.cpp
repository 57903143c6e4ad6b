#include <LibHttp/SilenceWatch.h>
#include <algorithm>
#include <utility>

namespace Http {

namespace {

constexpr int checksPerLimit = 4;
constexpr std::chrono::milliseconds leastInterval { 10 };

}

std::shared_ptr<SilenceWatch> SilenceWatch::create(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds limit, std::function<void()> onSilent)
{
    if (!transmitStateOf(socket))
        return nullptr;
    return std::shared_ptr<SilenceWatch>(new SilenceWatch(socket, limit, std::move(onSilent)));
}

SilenceWatch::SilenceWatch(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds limit, std::function<void()> onSilent)
    : m_socket(socket)
    , m_timer(socket.get_executor())
    , m_interval(std::max(limit / checksPerLimit, leastInterval))
    , m_detector(limit)
    , m_onSilent(std::move(onSilent))
{
}

void SilenceWatch::noteWrite()
{
    m_detector.noteWrite(std::chrono::steady_clock::now());
    if (!std::exchange(m_isChecking, true))
        checkLater();
}

void SilenceWatch::checkLater()
{
    m_timer.expires_after(m_interval);
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
        std::shared_ptr<SilenceWatch> self = weak.lock();
        if (self && !ec)
            self->check();
    });
}

void SilenceWatch::check()
{
    m_isChecking = false;
    std::optional<TransmitState> state = m_socket.is_open() ? transmitStateOf(m_socket) : std::nullopt;
    if (!state || !m_onSilent)
        return;
    if (m_detector.isSilent(*state, std::chrono::steady_clock::now())) {
        std::exchange(m_onSilent, nullptr)();
        return;
    }
    if (state->isWaiting()) {
        m_isChecking = true;
        checkLater();
    }
}

}
