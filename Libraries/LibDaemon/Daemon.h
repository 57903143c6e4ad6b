#pragma once

#include <LibDaemon/Adapters.h>
#include <LibDaemon/AnswerKeeper.h>
#include <LibDaemon/ControlPlane.h>
#include <LibDaemon/Dispatcher.h>
#include <LibDaemon/OperatorApi.h>
#include <LibDaemon/StoreControl.h>
#include <LibDaemon/TrafficThread.h>
#include <LibRequest/RetryBudgets.h>
#include <LibSettings/DaemonSettings.h>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <vector>

namespace Daemon {

/// A whole currantvaled: the control thread, the traffic threads and what they share.
class Daemon {
public:
    /// Reads the settings file anew. Errors: BadInput with every problem found.
    using SettingsReader = std::function<Core::Result<Settings::DaemonSettings>()>;

    /// Binds all listeners; nothing runs yet. The adapters speak the platform that the settings name.
    /// Errors: Unavailable when an address cannot be bound.
    static Core::Result<std::unique_ptr<Daemon>> create(Settings::DaemonSettings, Adapters, SettingsReader);

    ~Daemon();

    /// Runs on the calling thread, as the control thread, until SIGTERM or SIGINT has led to a graceful end. Unblocks these and SIGHUP
    /// there: one that is pending takes effect at once.
    void run();

private:
    Daemon(Settings::DaemonSettings, Adapters, SettingsReader);
    Core::Result<void> setUp();
    std::uint64_t heldAnswerLimit() const;
    void publish(FleetPointer const&);
    void callWhenApplied(std::function<void()>);
    Core::Result<void> createTraffic(Peer::Settings const&);
    Core::Result<void> createLogControl(Peer::Settings const&);
    Core::Result<void> createStoreControl();
    Core::Result<void> createEntryServers();
    Core::Result<void> createMetricsServer();
    Http::Response respondWithMetrics();
    Http::Response respondWithSuspects() const;
    Http::Response respondWithLimits() const;
    Http::Response respondWithPaces() const;
    Http::Response respondWithDuties() const;
    void sampleDuties(MetricsSample&) const;
    void noteFindings(std::vector<Quarantine::Finding> const&, std::optional<Quarantine::WorkKey> const& cleared);
    void noteTargetsGone(std::vector<std::uint64_t> const&);
    Core::Result<std::unique_ptr<Http::Server>> createServer(std::string_view name, boost::asio::ip::tcp::endpoint const&, Http::ServerSettings const&, std::function<Http::Response(Http::Request const&)> respond);
    Http::Response respondToOperators(Http::Request const&);
    void setCallerLimits(State::CallerLimits const&);
    bool usesStore() const { return m_settings.platform.kind == Settings::DaemonSettings::PlatformKind::KeyedStore; }
    void waitForSignal();
    void watchSettings();
    void reloadSettings(std::string_view cause);
    void startLeaving();
    void drainTraffic();
    void endRequests();
    void finish();
    void stopWhenAnswered(std::chrono::steady_clock::time_point limit);
    void expireAnswers();

    Settings::DaemonSettings m_settings;
    Adapters m_adapters;
    SettingsReader m_readSettings;
    std::string m_settingsText; ///< As last read, printed: tells whether a new read brings anything.
    std::string m_settingsProblem; ///< Of the last read; empty: none.
    std::uint64_t m_incarnation;
    boost::asio::io_context m_control { 1 };
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_holdTimer;
    boost::asio::steady_timer m_expiryTimer;
    boost::asio::steady_timer m_stopTimer;
    boost::asio::steady_timer m_settingsTimer;
    Request::RetryBudget m_retryBudget;
    Duties::UsageCounter m_usage;
    Request::RetryBudgets m_sharedBudgets;
    MixCounter m_mix;
    Metrics m_metrics;
    Quarantine::Guard m_guard;
    Streams::OriginBook m_origins;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::unique_ptr<AnswerKeeper> m_keeper;
    std::unique_ptr<CallerShared> m_shared;
    MemoryPlan m_memoryPlan;
    std::shared_ptr<Core::MemoryBudget> m_memory; ///< Of all listeners together.
    std::vector<std::unique_ptr<TrafficThread>> m_traffic;
    std::unique_ptr<Control> m_plane;
    StoreControl* m_storeControl { nullptr }; ///< `m_plane`, where the platform has a store.
    std::unique_ptr<OperatorApi> m_operatorApi;
    std::unique_ptr<Http::Server> m_operatorServer;
    std::vector<std::unique_ptr<Http::Server>> m_entryServers;
    std::size_t m_idleThreads { 0 };
    bool m_isDraining { false };
    bool m_isFinishing { false };
};

}
