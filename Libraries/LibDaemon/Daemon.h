#pragma once

#include <LibDaemon/AnswerKeeper.h>
#include <LibDaemon/ControlPlane.h>
#include <LibDaemon/Dispatcher.h>
#include <LibDaemon/OperatorApi.h>
#include <LibDaemon/TrafficThread.h>
#include <LibRequest/RetryBudget.h>
#include <LibSettings/DaemonSettings.h>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <vector>

namespace Daemon {

/// A whole currantvaled: the control thread, the traffic threads and what they share.
class Daemon {
public:
    /// Binds all listeners; nothing runs yet. Errors: Unavailable when an address cannot be bound.
    static Core::Result<std::unique_ptr<Daemon>> create(Settings::DaemonSettings);

    ~Daemon();

    /// Runs on the calling thread, as the control thread, until SIGTERM or SIGINT has led to a graceful end.
    void run();

private:
    explicit Daemon(Settings::DaemonSettings);
    Core::Result<void> setUp();
    void publish(FleetPointer const&);
    void callWhenApplied(std::function<void()>);
    Core::Result<void> createTraffic(Peer::Settings const&);
    Core::Result<void> createControl(Peer::Settings const&);
    void waitForSignal();
    void startLeaving();
    void drainTraffic();
    void finish();
    void expireAnswers();

    Settings::DaemonSettings m_settings;
    std::uint64_t m_incarnation;
    boost::asio::io_context m_control { 1 };
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_holdTimer;
    boost::asio::steady_timer m_expiryTimer;
    Request::RetryBudget m_retryBudget;
    MixCounter m_mix;
    Metrics m_metrics;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::unique_ptr<AnswerKeeper> m_keeper;
    std::unique_ptr<CallerShared> m_shared;
    std::vector<std::unique_ptr<TrafficThread>> m_traffic;
    std::unique_ptr<ControlPlane> m_plane;
    std::unique_ptr<OperatorApi> m_operatorApi;
    std::unique_ptr<Http::Server> m_operatorServer;
    std::size_t m_idleThreads { 0 };
};

}
