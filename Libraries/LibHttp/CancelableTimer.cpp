#include <LibHttp/CancelableTimer.h>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace Http {

struct CancelableTimer::State {
    explicit State(boost::asio::any_io_executor const& executor)
        : timer(executor)
    {
    }

    boost::asio::steady_timer timer;
    std::function<void()> onExpired;
    std::uint64_t generation { 0 }; ///< Of the present start; expiries of former ones change nothing.
};

CancelableTimer::CancelableTimer(boost::asio::any_io_executor const& executor)
    : m_state(std::make_shared<State>(executor))
{
}

CancelableTimer::~CancelableTimer()
{
    cancel();
}

void CancelableTimer::start(std::chrono::steady_clock::duration time, std::function<void()> onExpired)
{
    m_state->onExpired = std::move(onExpired);
    m_state->timer.expires_after(time);
    m_state->timer.async_wait([weak = std::weak_ptr<State>(m_state), generation = ++m_state->generation](boost::system::error_code ec) {
        std::shared_ptr<State> state = weak.lock();
        if (ec || !state || state->generation != generation || !state->onExpired)
            return;
        std::exchange(state->onExpired, nullptr)();
    });
}

void CancelableTimer::cancel()
{
    ++m_state->generation;
    m_state->onExpired = nullptr;
    m_state->timer.cancel();
}

}
