#pragma once

#include <LibDaemon/LogTail.h>
#include <LibDaemon/Signal.h>
#include <LibPlatform/LogService.h>
#include <LibState/Config.h>
#include <LibState/ConfigRecord.h>
#include <LibState/Fold.h>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace Daemon {

/// A record of the configuration stream as operators see it in the history.
struct HistoryEntry {
    std::uint64_t offset { 0 };
    State::ConfigRecord record;
    State::Applied applied { State::Applied::Accepted };
    State::Outcome outcome;
};

/// Folds the configuration stream on the control thread, and appends operators' records to it. What is accepted
/// is what was read back. Use from the control thread only.
class ConfigFollower {
public:
    using ChangeHook = std::function<void(std::shared_ptr<State::Config const>)>;

    /// Preconditions: the log service and the context outlive the object.
    ConfigFollower(boost::asio::io_context&, Platform::LogService&, std::chrono::milliseconds retryDelay, ChangeHook);

    /// Starts to read. Precondition: called once.
    void start();

    /// Ends reading; waiting submissions end as unknown.
    void stop();

    /// Appends a record and waits, up to `timeout`, until its outcome was read back. An outcome of kind Unseen
    /// means unknown: it may still be accepted, and sending it again under the same id is safe.
    /// Errors: Unavailable with verdict NotRun when the log certainly does not have it; BadInput.
    boost::asio::awaitable<Core::Result<State::Outcome>> submit(State::ConfigRecord, std::chrono::milliseconds timeout);

    State::Fold const& fold() const { return m_fold; }
    std::shared_ptr<State::Config const> const& config() const { return m_config; }
    std::deque<HistoryEntry> const& history() const { return m_history; }

    /// The moment as of which the configuration is known to be the newest one; moved on by the control thread, read by any.
    std::shared_ptr<std::atomic<Core::BootClock::time_point> const> confirmedAt() const { return m_confirmedAt; }

    /// Returns whether the stream was read to its end at least once.
    bool isCaughtUp() const { return m_tail.isCaughtUp(); }

    /// Returns why the stream cannot be followed now; empty while it can.
    std::string const& problem() const { return m_tail.problem(); }

private:
    LogTail::Hooks tailHooks();
    Core::Result<void> takeEntry(Platform::LogEntry const&);
    void publish();
    void wakeWaiters();

    boost::asio::io_context& m_context;
    Platform::LogService& m_log;
    ChangeHook m_onChange;
    State::Fold m_fold;
    std::shared_ptr<State::Config const> m_config;
    std::shared_ptr<std::atomic<Core::BootClock::time_point>> m_confirmedAt;
    std::deque<HistoryEntry> m_history;
    std::set<Signal*> m_waiters;
    LogTail m_tail;
    bool m_isStopped { false };
};

inline constexpr char const* configStream = "config";

}
