#pragma once

#include <LibDaemon/CallerProtocol.h>
#include <LibDaemon/Dispatcher.h>
#include <LibDaemon/FleetSnapshot.h>
#include <LibDaemon/Metrics.h>
#include <LibDaemon/MixCounter.h>
#include <LibDaemon/OriginQuestion.h>
#include <LibDaemon/TargetProtocol.h>
#include <LibDuties/UsageCounter.h>
#include <LibHttp/Client.h>
#include <LibPeer/Clients.h>
#include <LibPlatform/EngineControl.h>
#include <LibQuarantine/Guard.h>
#include <LibRequest/RetryBudget.h>
#include <LibSettings/DaemonSettings.h>
#include <LibStreams/OriginBook.h>
#include <boost/asio/io_context.hpp>
#include <set>

namespace Daemon {

/// Returns the retry budget that a request draws on. Thread-safe.
using BudgetHook = std::function<Request::RetryBudget&(Work const&)>;

/// Takes what this daemon's runs have shown of requests: findings, and works that were cleared. Thread-safe.
using FindingsHook = std::function<void(std::vector<Quarantine::Finding> const&, std::optional<Quarantine::WorkKey> cleared)>;

class RequestRunner;
struct CallerShared;

/// What the requests of one traffic thread work with. Only the dispatcher, the budget and the guard are shared with other
/// threads. Use from the thread only.
struct TrafficContext {
    boost::asio::io_context& context;
    Settings::DaemonSettings const& settings;
    Dispatcher& dispatcher;
    BudgetHook budgetOf; ///< The retry budget that a request draws on.
    Http::Client& client; ///< For targets.
    Http::Client& peerClient; ///< For peers that serve requests in place of this daemon.
    Platform::EngineControl& engines;
    TargetProtocol const& targets;
    CallerProtocol const& callers;
    Peer::Clients& peers;
    MixCounter& mix;
    Metrics& metrics;
    Quarantine::Guard& guard;
    Duties::UsageCounter& usage;
    FindingsHook onFindings;
    std::function<void(std::uint64_t target)> onLeaving; ///< Takes targets that say that they leave. Thread-safe.
    Streams::OriginBook& origins;
    OriginHook findOrigin; ///< Empty: nothing but `origins` tells.
    FleetPointer fleet; ///< The newest; a request keeps the one that it began with.
    std::set<RequestRunner*>& runners; ///< All that exist, also those whose caller is gone. Outlives the event loop.
    CallerShared const& shared;
};

}
