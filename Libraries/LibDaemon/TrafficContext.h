#pragma once

#include <LibDaemon/CallerProtocol.h>
#include <LibDaemon/Dispatcher.h>
#include <LibDaemon/FleetSnapshot.h>
#include <LibDaemon/Metrics.h>
#include <LibDaemon/MixCounter.h>
#include <LibDaemon/TargetProtocol.h>
#include <LibHttp/Client.h>
#include <LibPeer/Clients.h>
#include <LibPlatform/EngineControl.h>
#include <LibRequest/RetryBudget.h>
#include <LibSettings/DaemonSettings.h>
#include <boost/asio/io_context.hpp>

namespace Daemon {

/// Returns the retry budget that a request draws on. Thread-safe.
using BudgetHook = std::function<Request::RetryBudget&(Work const&)>;

/// What the requests of one traffic thread work with. Only the dispatcher and the budget are shared with other
/// threads. Use from the thread only.
struct TrafficContext {
    boost::asio::io_context& context;
    Settings::DaemonSettings const& settings;
    Dispatcher& dispatcher;
    BudgetHook budgetOf; ///< The retry budget that a request draws on.
    Http::Client& client;
    Platform::EngineControl& engines;
    TargetProtocol const& targets;
    CallerProtocol const& callers;
    Peer::Clients& peers;
    MixCounter& mix;
    Metrics& metrics;
    FleetPointer fleet; ///< The newest; a request keeps the one that it began with.
    std::size_t runningRequests { 0 }; ///< Also those whose caller is gone.
};

}
