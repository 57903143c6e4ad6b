#pragma once

#include <LibCore/BootClock.h>
#include <LibPlatform/LogService.h>
#include <LibState/Snapshot.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace Daemon {

/// Reads one stream of the log in order, for ever, and hands its records to a fold. Where records have expired
/// before they were read, it looks for a snapshot in what is left. Use from the control thread only.
class LogTail {
public:
    struct Hooks {
        std::function<std::uint64_t()> nextOffset; ///< Of the fold.
        std::function<Core::Result<void>(Platform::LogEntry const&)> apply; ///< Takes a record; an error is logged.
        std::function<Core::Result<bool>(State::Snapshot const&)> adopt; ///< Goes on from a snapshot that covers more.
        std::function<void(bool isAdvanced)> onBatch; ///< Called after each batch was applied.
        /// Called when the fold has all that the stream had at a moment.
        std::function<void(Core::BootClock::time_point)> onConfirmed { [](Core::BootClock::time_point) { } };
    };

    /// Preconditions: the log service and the context outlive the object; all hooks are set.
    LogTail(boost::asio::io_context&, Platform::LogService&, std::string stream, std::chrono::milliseconds retryDelay, Hooks);

    /// Starts to read. Precondition: called once.
    void start();

    /// Ends reading after the present wait.
    void stop() { m_isStopped = true; }

    /// Returns whether the stream was read to its end at least once.
    bool isCaughtUp() const { return m_isCaughtUp; }

    /// Returns why the stream cannot be followed now; empty while it can.
    std::string const& problem() const { return m_problem; }

    std::string const& stream() const { return m_stream; }

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> pause();
    boost::asio::awaitable<void> bridgeGap(std::uint64_t first);
    boost::asio::awaitable<bool> adoptFrom(std::uint64_t first);
    void take(Platform::LogBatch const&, Core::BootClock::time_point asOf);
    void noteProblem(std::string);
    void noteRecovery();

    boost::asio::io_context& m_context;
    Platform::LogService& m_log;
    std::string m_stream;
    std::chrono::milliseconds m_retryDelay;
    Hooks m_hooks;
    std::string m_problem;
    bool m_isCaughtUp { false };
    bool m_isStopped { false };
};

}
