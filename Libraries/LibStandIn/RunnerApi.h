#pragma once

#include <LibHttp/Client.h>
#include <LibStandIn/Api.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>

namespace StandIn {

/// What a runner is told at its start.
struct RunnerSettings {
    std::string service;
    std::string availabilityZone;
    std::string incarnation; ///< What it lists itself under, and requests name; it may start again under the same.
    std::uint64_t bornAtMs { 0 }; ///< When it started, Unix milliseconds.
    std::string release; ///< Of its software. If set, it lists it and its events name it; empty: it lists v1, and they do not.
    std::string role; ///< "prefill" or "decode" for an engine; empty: a plain service.
    boost::asio::ip::tcp::endpoint store;
    bool refusesOrders { false }; ///< It keeps its role.
    std::chrono::milliseconds changeTime { 500 }; ///< Out of service for a change of role.
    std::chrono::milliseconds pieceTime { 10 }; ///< Between two events of a stream.
    std::uint32_t pieces { 10 }; ///< Events of a stream.
    std::uint32_t places { 6 }; ///< Requests that it says it runs at once.
    std::chrono::milliseconds workTime { 0 }; ///< Of a request to a plain service.
    std::string crashesOnPart; ///< It ends as it begins to write an answer on a prompt that has this id among its parts; empty: never.
    std::string crashesOn; ///< It ends as soon as it begins to run a request whose path holds this; empty: never.
};

/// Stands in for a target on the users' platform: it lists itself in the store, checks that requests are meant for it,
/// computes prompts and keeps handles, streams events with ids and a seal, and takes orders to change its role. It counts
/// how often each request ran. Use from its thread only.
class RunnerApi final : public Api, public std::enable_shared_from_this<RunnerApi> {
public:
    /// Precondition: the io_context outlives it.
    static std::shared_ptr<RunnerApi> create(boost::asio::io_context&, RunnerSettings);

    /// Lists itself under this address from now on, again and again.
    void startHeartbeats(boost::asio::ip::tcp::endpoint const&);

    boost::asio::awaitable<void> serve(Http::Request&, Http::ResponseWriter&) override;

private:
    RunnerApi(boost::asio::io_context&, RunnerSettings);
    boost::asio::awaitable<void> heartbeat(std::string address);
    boost::asio::awaitable<bool> work(Http::ResponseWriter&);
    boost::asio::awaitable<void> run(Http::Request const&, Http::ResponseWriter&);
    boost::asio::awaitable<void> stream(Http::Request const&, Http::ResponseWriter&);
    std::string entry(std::string const& address) const;
    Http::Response report() const;
    Http::Response order(Http::Request const&);
    Http::Response prefill(Http::Request const&);
    Http::Response runs() const;
    Http::Response refusal(Http::Request const&, std::uint16_t status) const;
    void noteArrival();
    void addNotice(Http::Fields&) const;
    Http::Fields sealed(Http::Request const&) const;
    bool takesOutput(Http::Request const&);
    bool isChanging() const { return std::chrono::steady_clock::now() < m_changingUntil; }

    boost::asio::io_context& m_context;
    RunnerSettings m_settings;
    std::unique_ptr<Http::Client> m_client;
    std::uint64_t m_heartbeats { 0 };
    std::uint64_t m_orders { 0 };
    std::uint64_t m_fencing { 0 };
    std::uint64_t m_prefills { 0 };
    std::uint64_t m_arrivals { 0 }; ///< Requests, whatever became of them.
    std::chrono::steady_clock::time_point m_changingUntil {};
    std::map<std::string, std::uint64_t> m_runs; ///< By request id.
    std::map<std::string, std::set<std::string>> m_organisations; ///< By request id, all that its sends named.
    std::uint64_t m_keys { 0 }; ///< Requests that came with a caller's key.
    std::deque<std::chrono::steady_clock::time_point> m_recentArrivals; ///< Of the last four seconds.
    std::uint64_t m_mostIn4Seconds { 0 }; ///< Arrivals in any four seconds since the last change of faults.
    std::uint64_t m_working { 0 }; ///< Runs and prompts at work now.
    std::uint64_t m_abandoned { 0 }; ///< Runs and prompts that ended because the caller closed its connection.
    Faults m_faults;
};

}
