#pragma once

#include <LibDaemon/Dispatcher.h>
#include <LibDaemon/FleetSnapshot.h>
#include <LibDaemon/Metrics.h>
#include <LibDaemon/MixCounter.h>
#include <LibHttp/Client.h>
#include <LibPeer/Clients.h>
#include <LibPlatform/EngineControl.h>
#include <LibRequest/RetryBudget.h>
#include <LibSettings/DaemonSettings.h>
#include <boost/asio/io_context.hpp>

namespace Daemon {

/// What the requests of one traffic thread work with. Only the dispatcher and the budget are shared with other
/// threads. Use from the thread only.
struct TrafficContext {
    boost::asio::io_context& context;
    Settings::DaemonSettings const& settings;
    Dispatcher& dispatcher;
    Request::RetryBudget& retryBudget;
    Http::Client& client;
    Platform::EngineControl& engines;
    Peer::Clients& peers;
    MixCounter& mix;
    Metrics& metrics;
    FleetPointer fleet; ///< The newest; a request keeps the one that it began with.
    std::size_t runningRequests { 0 }; ///< Also those whose caller is gone.
};

}
