#pragma once

#include <LibPlatform/LogService.h>
#include <LibState/Snapshot.h>
#include <LibState/SnapshotPolicy.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace Daemon {

/// Appends snapshots of one stream's fold to that stream, so early that what follows them is still kept. Any
/// daemon may append one, since a snapshot depends on its prefix alone. Use from the control thread only.
class SnapshotWriter {
public:
    struct Hooks {
        std::function<State::SnapshotPolicy()> policy; ///< With this daemon's present rank.
        std::function<std::uint64_t()> nextOffset;
        std::function<std::optional<std::uint64_t>()> coveredBelow;
        std::function<State::Snapshot()> snapshot;
    };

    /// Preconditions: the log service and the context outlive the object; all hooks are set.
    SnapshotWriter(boost::asio::io_context&, Platform::LogService&, std::string stream, Hooks);

    /// Starts to look, once a second, whether a snapshot is due. Precondition: called once.
    void start();

    void stop() { m_isStopped = true; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> write();
    bool isDue();

    boost::asio::io_context& m_context;
    Platform::LogService& m_log;
    std::string m_stream;
    Hooks m_hooks;
    std::optional<std::uint64_t> m_newest;
    std::chrono::steady_clock::time_point m_newestSince;
    bool m_isStopped { false };
};

}
