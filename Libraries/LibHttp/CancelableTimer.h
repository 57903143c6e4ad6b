#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace Http {

/// A timer whose hook is not called after `cancel`, also if it had expired by then and the event loop had not got to it.
/// Use from the executor's thread only.
class CancelableTimer {
public:
    explicit CancelableTimer(boost::asio::any_io_executor const&);
    ~CancelableTimer();
    CancelableTimer(CancelableTimer const&) = delete;
    CancelableTimer& operator=(CancelableTimer const&) = delete;

    /// Calls `onExpired` once, from the event loop, after this time. Replaces what was started before.
    void start(std::chrono::steady_clock::duration, std::function<void()> onExpired);

    /// Forgets the hook.
    void cancel();

private:
    struct State;

    std::shared_ptr<State> m_state;
};

}
