#pragma once

#include "KeyedSite.h"
#include "UnansweredReport.h"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace Processes {

/// What a load asks for.
struct ConnectionLoadSettings {
    std::size_t callers { 200 }; ///< Each uses one connection at a time, to any daemon.
    std::size_t threads { 4 };
    std::chrono::milliseconds longestPause { 100 }; ///< Between an answer and the next request; drawn from 0 to this.
    std::uint64_t seed { 1 };
};

/// Callers on threads of their own who ask all daemons of a site, safe and unsafe requests in turn, over connections that
/// they keep, and who go on using a daemon until its process is gone.
class ConnectionLoad {
public:
    /// Precondition: the site outlives the load.
    ConnectionLoad(KeyedSite const&, ConnectionLoadSettings const&);
    ~ConnectionLoad();
    ConnectionLoad(ConnectionLoad const&) = delete;
    ConnectionLoad& operator=(ConnectionLoad const&) = delete;

    /// Lets the requests that are under way end.
    void stop();

    /// Requests that a connection has taken. Thread-safe.
    std::uint64_t sent() const { return m_sent; }

    /// Precondition: stopped.
    std::vector<Unanswered> unanswered() const;

private:
    struct Thread;

    void run(Thread&);
    boost::asio::awaitable<void> ask(Thread&, Http::Client&, std::size_t caller);

    KeyedSite const& m_site;
    ConnectionLoadSettings m_settings;
    std::atomic<bool> m_isStopped { false };
    std::atomic<std::uint64_t> m_sent { 0 };
    std::vector<std::unique_ptr<Thread>> m_threads;
};

}
