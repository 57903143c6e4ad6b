#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/HttpErrors.h>
#include <LibDaemon/TrafficThread.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

namespace Daemon {

namespace {

constexpr std::chrono::milliseconds idleCheckInterval { 20 };
constexpr std::chrono::milliseconds lateAccept { 200 }; ///< For an event beside the metric.

// Peers are reached over the VM's own network, whatever leads to the targets.
Http::ClientSettings peerClientSettings(Http::ClientSettings settings)
{
    settings.localAddress.reset();
    return settings;
}

std::string windowText(Http::ConnectionEnd const& end)
{
    return !end.transmit ? "-" : end.transmit->isWindowClosed ? "closed"
                                                              : "open";
}

void logUnanswered(Http::ConnectionEnd const& end)
{
    Core::logEvent(Core::Severity::Warning, Core::Event::ConnectionEndedUnanswered, { { "reason", std::string(Core::nameOf(Http::connectionEndReasonNames, end.reason)) }, { "requests", std::to_string(end.requests) }, { "answers", std::to_string(end.answers) }, { "unread_bytes", std::to_string(end.unreadBytes) }, { "unsent_bytes", std::to_string(end.unsentBytes) }, { "window", windowText(end) }, { "since_ack_ms", end.transmit ? std::to_string(end.transmit->sinceAcknowledgement.count()) : "-" }, { "error", end.error ? end.error.message() : "-" } });
}

}

TrafficThread::TrafficThread(std::unique_ptr<boost::asio::io_context> context, std::shared_ptr<Peer::Clients> peers, TrafficParts const& parts)
    : m_ownContext(std::move(context))
    , m_context(*m_ownContext)
    , m_guard(m_context.get_executor())
    , m_client(Http::Client::create(m_context, parts.settings.targets))
    , m_peerClient(Http::Client::create(m_context, peerClientSettings(parts.settings.targets)))
    , m_engines(Platform::createHttpEngineControl(*m_client))
    , m_peers(std::move(peers))
    , m_traffic { m_context, parts.settings, parts.dispatcher, parts.budgetOf, *m_client, *m_peerClient, *m_engines, parts.targets, parts.callers, *m_peers, parts.mix, parts.shared.metrics, parts.guard, parts.usage, parts.onFindings, parts.onLeaving, parts.origins, parts.findOrigin, std::make_shared<FleetSnapshot>(), m_runners, parts.shared }
    , m_api(std::make_unique<CallerApi>(m_traffic, parts.shared))
    , m_idleTimer(m_context)
{
}

Core::Result<std::unique_ptr<TrafficThread>> TrafficThread::create(TrafficParts const& parts, Peer::Settings const& peers)
{
    std::unique_ptr<boost::asio::io_context> context = std::make_unique<boost::asio::io_context>(1);
    BOOST_OUTCOME_TRY(std::shared_ptr<Peer::Clients> clients, Peer::Clients::create(*context, peers));
    std::unique_ptr<TrafficThread> thread(new TrafficThread(std::move(context), std::move(clients), parts));
    Http::ServerSettings server = parts.settings.callers.server;
    // Targets, peers, the store and the other listeners need descriptors too: without them no request can be served.
    server.connectionLimit = std::max<std::size_t>(parts.plan.callerConnections / parts.settings.daemon.trafficThreads, 1);
    server.receiveBuffer = parts.plan.receiveBuffer;
    server.isPortShared = parts.settings.daemon.trafficThreads > 1;
    CallerApi* api = thread->m_api.get();
    Http::Handler handler = [api](Http::Request& request, Http::ResponseWriter& writer) { return api->handle(request, writer); };
    BOOST_OUTCOME_TRY(thread->m_server, Http::Server::create(thread->m_context, parts.settings.callers.listen, server, std::move(handler), rejectionResponse));
    thread->m_server->onConnectionEnd([&metrics = parts.shared.metrics](Http::ConnectionEnd const& end) {
        metrics.countConnectionEnd(end);
        if (end.isUnanswered())
            logUnanswered(end);
    });
    thread->m_server->limitMemory(parts.memory, [](Http::MemoryRefusal const& refusal) { logMemoryRefusal(refusal, "callers"); });
    thread->m_server->onAccepted([&metrics = parts.shared.metrics](Http::AcceptedConnections const& accepted) {
        if (accepted.longestWait)
            metrics.observe(TimeOf::Accept, *accepted.longestWait);
        if (accepted.longestWait > lateAccept)
            Core::logEvent(Core::Severity::Info, Core::Event::ConnectionsAcceptedLate, { { "connections", std::to_string(accepted.count) }, { "waited_ms", std::to_string(accepted.longestWait->count()) } });
    });
    return thread;
}

TrafficThread::~TrafficThread()
{
    stop();
}

Core::Result<void> TrafficThread::servePeers(Peer::Settings const& settings, ControlMessageHook controlMessage)
{
    m_peerApi = std::make_unique<PeerApi>(m_traffic, m_api->shared(), std::move(controlMessage));
    Peer::Handler handler = [api = m_peerApi.get()](Peer::Request request, std::shared_ptr<Peer::ServerStream> stream) { api->handle(std::move(request), std::move(stream)); };
    BOOST_OUTCOME_TRY(m_peerServer, Peer::Server::create(m_context, m_traffic.settings.peers.listen, settings, std::move(handler)));
    return Core::ok();
}

void TrafficThread::start()
{
    m_server->start();
    m_thread = std::thread([this] { m_context.run(); });
}

void TrafficThread::post(std::function<void()> function)
{
    boost::asio::post(m_context, std::move(function));
}

void TrafficThread::setFleet(FleetPointer fleet)
{
    post([this, fleet = std::move(fleet)] { m_traffic.fleet = fleet; });
}

void TrafficThread::beginDraining()
{
    post([this] { m_server->beginDraining(); });
}

void TrafficThread::setLimits(Http::ServerSettings const& settings)
{
    post([this, settings] { m_server->setLimits(settings); });
}

void TrafficThread::drain(std::function<void()> onIdle)
{
    post([this, onIdle = std::move(onIdle)] {
        logState("closing-listener");
        m_server->stop();
        if (m_peerServer)
            m_peerServer->shutDown([] { });
        // An accepted connection may still be queued behind this.
        checkIdleLater(onIdle);
    });
}

void TrafficThread::probe(std::vector<std::uint64_t> targetKeys)
{
    post([this, keys = std::move(targetKeys)] {
        for (FleetTarget const& target : m_traffic.fleet->targets) {
            if (std::find(keys.begin(), keys.end(), target.key) != keys.end())
                boost::asio::co_spawn(m_context, [this, key = target.key, endpoint = target.endpoint] { return probe(key, endpoint); }, Core::logUncaughtException);
        }
    });
}

boost::asio::awaitable<void> TrafficThread::probe(std::uint64_t targetKey, boost::asio::ip::tcp::endpoint endpoint)
{
    Http::Reach reach = co_await m_client->reach(endpoint);
    m_traffic.dispatcher.paths().note(targetKey, reach == Http::Reach::Reached ? Routing::PathEvidence::Connected : Routing::PathEvidence::Unreachable);
}

void TrafficThread::endRequests()
{
    post([this] {
        logState("ending-requests");
        m_server->stop();
        for (RequestRunner* runner : m_runners)
            runner->endNow();
    });
}

void TrafficThread::waitUntilIdle(std::function<void()> onIdle)
{
    if (m_server->openConnections() == 0 && m_runners.empty() && (!m_peerServer || m_peerServer->openStreams() == 0)) {
        logState("idle");
        onIdle();
        return;
    }
    checkIdleLater(std::move(onIdle));
}

void TrafficThread::checkIdleLater(std::function<void()> onIdle)
{
    m_idleTimer.expires_after(idleCheckInterval);
    m_idleTimer.async_wait([this, onIdle = std::move(onIdle)](boost::system::error_code ec) {
        if (!ec)
            waitUntilIdle(onIdle);
    });
}

void TrafficThread::stop()
{
    m_guard.reset();
    m_context.stop();
    if (!m_thread.joinable())
        return;
    m_thread.join();
    logState("thread-ended");
}

void TrafficThread::logState(std::string_view phase) const
{
    Core::logEvent(Core::Severity::Info, Core::Event::ShutdownPhase, { { "phase", std::string(phase) }, { "requests", std::to_string(m_server->activeRequests()) }, { "connections", std::to_string(m_server->openConnections()) }, { "waiting_connections", std::to_string(m_server->waitingConnections()) } });
}

}
