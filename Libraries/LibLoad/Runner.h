#pragma once

#include <LibHttp/Client.h>
#include <LibLoad/LoadPlan.h>
#include <LibLoad/Summary.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Load {

/// Where requests go: callers' listeners or engines.
struct Side {
    std::string name;
    std::vector<boost::asio::ip::tcp::endpoint> endpoints; ///< Taken in turn.
};

/// How a run is done.
struct RunSettings {
    PlanSettings plan;
    std::vector<Side> sides; ///< Requests go to them in turn, so that all see the same load at the same time.
    std::string model;
    Http::Fields fields; ///< Sent with each request.
    std::chrono::milliseconds deadline { 30'000 };
    std::size_t openLimit { 2000 }; ///< The most requests that are open at once.
    std::size_t workers { 0 }; ///< Above 0: so many send one request after the other, in place of timed arrivals.
    bool isStreamed { true };
};

/// Sends load and checks every answer, on one io_context that the caller's thread runs. Not thread-safe.
class Runner {
public:
    /// Precondition: at least one side, with at least one endpoint each.
    static std::shared_ptr<Runner> create(boost::asio::io_context&, RunSettings);

    /// Starts the load.
    static void start(std::shared_ptr<Runner> const&);

    /// Called once, when all requests have ended.
    std::function<void()> onDone;

    /// The figures of each side, in their order.
    std::vector<Summary> const& summaries() const { return m_summaries; }

    /// How long the load took so far, from its start to the last end of a request.
    std::chrono::nanoseconds time() const { return m_lastEnd - m_start; }
    /// The most requests that were open at once.
    std::size_t mostOpen() const { return m_mostOpen; }

private:
    using Clock = std::chrono::steady_clock;

    Runner(boost::asio::io_context&, RunSettings);
    static boost::asio::awaitable<void> sendArrivals(std::shared_ptr<Runner>);
    static boost::asio::awaitable<void> sendInTurn(std::shared_ptr<Runner>);
    static boost::asio::awaitable<void> sendOne(std::shared_ptr<Runner>, std::uint64_t index, Shape);
    static boost::asio::awaitable<void> receive(Http::Exchange&, std::string const& prompt, Shape, bool isStreamed, Sample&);
    Http::Request requestOf(std::string const& prompt, Shape) const;
    boost::asio::ip::tcp::endpoint endpointOf(std::uint64_t index) const;
    void end(std::size_t side, Sample const&);
    void endIfDone();

    boost::asio::io_context& m_context;
    RunSettings m_settings;
    std::unique_ptr<Http::Client> m_client;
    std::vector<Summary> m_summaries;
    std::uint64_t m_nextIndex { 0 };
    std::size_t m_open { 0 };
    std::size_t m_mostOpen { 0 };
    std::size_t m_senders { 0 }; ///< Coroutines that may still send.
    Clock::time_point m_start;
    Clock::time_point m_lastEnd;
};

}
