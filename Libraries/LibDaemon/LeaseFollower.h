#pragma once

#include <LibAuthority/LeaseFold.h>
#include <LibAuthority/LeaseRecord.h>
#include <LibDaemon/LogTail.h>
#include <LibPlatform/LogService.h>
#include <functional>

namespace Daemon {

/// Folds the lease stream on the control thread, and appends lease records to it. Use from that thread only.
class LeaseFollower {
public:
    /// Preconditions: the log service and the context outlive the object. `onChange` gets the pools whose lease changed.
    LeaseFollower(boost::asio::io_context&, Platform::LogService&, std::chrono::milliseconds retryDelay, std::function<void(std::vector<std::string> const& pools)> onChange);

    void start() { m_tail.start(); }
    void stop();

    /// Appends a record. What became of it is known only once it was read back.
    void append(Authority::LeaseRecord const&);

    Authority::LeaseFold const& fold() const { return m_fold; }
    bool isCaughtUp() const { return m_tail.isCaughtUp(); }
    std::string const& problem() const { return m_tail.problem(); }

private:
    LogTail::Hooks tailHooks();
    boost::asio::awaitable<void> send(std::string bytes);

    boost::asio::io_context& m_context;
    Platform::LogService& m_log;
    std::function<void(std::vector<std::string> const&)> m_onChange;
    Authority::LeaseFold m_fold;
    std::vector<std::string> m_changedPools;
    LogTail m_tail;
};

inline constexpr char const* leaseStream = "leases";

}
