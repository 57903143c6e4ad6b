#pragma once

#include <LibDaemon/CallerApi.h>
#include <LibDaemon/MemoryPlan.h>
#include <LibDaemon/PeerApi.h>
#include <LibHttp/Server.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <future>
#include <memory>
#include <string_view>
#include <thread>

namespace Daemon {

/// What all traffic threads share. Everything outlives them.
struct TrafficParts {
    Settings::DaemonSettings const& settings;
    Dispatcher& dispatcher;
    MixCounter& mix;
    CallerShared& shared;
    TargetProtocol const& targets;
    CallerProtocol const& callers;
    BudgetHook budgetOf;
    Quarantine::Guard& guard;
    Duties::UsageCounter& usage;
    FindingsHook onFindings;
    std::function<void(std::uint64_t target)> onLeaving;
    Streams::OriginBook& origins;
    OriginHook findOrigin;
    MemoryPlan const& plan;
    std::shared_ptr<Core::MemoryBudget> memory;
};

/// One thread that serves callers: its own event loop, listener, connections and view of the fleet.
class TrafficThread {
public:
    /// Binds the callers' listener; nothing runs yet. Errors: Unavailable.
    /// Precondition: all parts outlive the object.
    static Core::Result<std::unique_ptr<TrafficThread>> create(TrafficParts const&, Peer::Settings const&);

    ~TrafficThread();

    /// Binds the peers' listener on this thread. Errors: Unavailable. Precondition: before `start`.
    Core::Result<void> servePeers(Peer::Settings const&, ControlMessageHook);

    /// Starts the thread. Precondition: called once.
    void start();

    /// Hands a newer view of the fleet over. Thread-safe.
    void setFleet(FleetPointer);

    /// Announces to callers, on each further answer, that the connection closes behind it. Thread-safe.
    void beginDraining();

    /// Takes other limits of what callers may send. Thread-safe.
    void setLimits(Http::ServerSettings const&);

    /// Stops accepting; `onIdle` is called on the traffic thread once no request is served. Thread-safe.
    void drain(std::function<void()> onIdle);

    /// Connects to targets to find out whether they can be reached. Thread-safe.
    void probe(std::vector<std::uint64_t> targetKeys);

    /// Gives every open request its last answer, and takes no more connections. Thread-safe.
    void endRequests();

    /// Ends the event loop and joins the thread. Precondition: called from another thread.
    void stop();

    std::uint16_t port() const { return m_server->port(); }

    /// Runs a function on the traffic thread. Thread-safe.
    void post(std::function<void()>);

    boost::asio::io_context& context() { return m_context; }
    CallerApi& api() { return *m_api; }

private:
    TrafficThread(std::unique_ptr<boost::asio::io_context>, std::shared_ptr<Peer::Clients>, TrafficParts const&);
    boost::asio::awaitable<void> probe(std::uint64_t targetKey, boost::asio::ip::tcp::endpoint);
    void waitUntilIdle(std::function<void()> onIdle);
    void checkIdleLater(std::function<void()> onIdle);
    void logState(std::string_view phase) const;

    std::set<RequestRunner*> m_runners; ///< The event loop holds runners until it is destroyed.
    std::unique_ptr<boost::asio::io_context> m_ownContext;
    boost::asio::io_context& m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::unique_ptr<Http::Client> m_client;
    std::unique_ptr<Http::Client> m_peerClient;
    std::unique_ptr<Platform::EngineControl> m_engines;
    std::shared_ptr<Peer::Clients> m_peers;
    TrafficContext m_traffic;
    std::unique_ptr<CallerApi> m_api;
    std::unique_ptr<Http::Server> m_server;
    std::unique_ptr<PeerApi> m_peerApi;
    std::shared_ptr<Peer::Server> m_peerServer; ///< Of the first traffic thread only.
    boost::asio::steady_timer m_idleTimer;
    std::thread m_thread;
};

}
