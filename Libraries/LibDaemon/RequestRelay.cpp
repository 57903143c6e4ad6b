// The part of RequestRunner that has a peer serve a request whose targets this daemon cannot reach.

#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/RequestRunner.h>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <cmath>
#include <cstdlib>

namespace Daemon {

namespace {

// Peers that refuse a request one after the other are probably all short of targets.
constexpr std::uint32_t maxPeerRefusals = 2;
// A host in the same region acknowledges a request within milliseconds, however busy the process is.
constexpr std::chrono::milliseconds acknowledgementTime { 200 };
// A daemon answers so where it has not read the request whole, or has no room for it (RFC 9110, sections 15.5 and 15.6).
constexpr std::array<std::uint16_t, 5> unreadStatuses { 408, 413, 429, 431, 503 };

constexpr std::uint16_t firstServerError = 500;

std::chrono::milliseconds readRetryAfter(Http::Fields const& fields)
{
    constexpr double longest = 3'600;
    std::string text(fields.find("Retry-After").value_or("0"));
    double seconds = std::strtod(text.c_str(), nullptr);
    bool isUsable = std::isfinite(seconds) && seconds > 0;
    return std::chrono::milliseconds(isUsable ? std::llround(std::min(seconds, longest) * std::milli::den) : 0);
}

// Counts a request at a peer for as long as it exists.
class OpenRelay {
public:
    OpenRelay(PathBook& paths, std::string peer)
        : m_paths(paths)
        , m_peer(std::move(peer))
    {
    }
    ~OpenRelay() { m_paths.endRelay(m_peer); }
    OpenRelay(OpenRelay const&) = delete;
    OpenRelay& operator=(OpenRelay const&) = delete;

private:
    PathBook& m_paths;
    std::string m_peer;
};

}

std::optional<RelayPeer> RequestRunner::beginRelay(std::uint32_t attempt, std::vector<std::string> const& excluded)
{
    bool isPossible = m_context.callers.relayed && !m_work.isRelayed && !m_work.ticket;
    if (!isPossible)
        return std::nullopt;
    return m_context.dispatcher.paths().beginRelay(m_work.name, { excluded, attempt > 1, m_work.mayContinue && goesOn() });
}

boost::asio::awaitable<void> RequestRunner::runAtPeer(LegPointer leg, RelayPeer peer)
{
    OpenRelay open(m_context.dispatcher.paths(), peer.name);
    m_isAtPeer = true;
    m_target = peer.name;
    dropKv();
    m_context.metrics.countRelay();
    Core::logEvent(Core::Severity::Info, Core::Event::RequestRelayed, { { "request", m_work.requestId }, { "attempt", std::to_string(leg->leg.attempt) }, { "work", m_work.name }, { "peer", peer.name }, { "left_ms", std::to_string(timeLeft().count()) } });
    post(Request::TargetPicked { leg->leg.attempt, m_target, true });
    // A kept connection may have been closed meanwhile, which leaves a doubt whether the request ran.
    Http::ConnectionChoice choice = m_work.isRepeatable ? Http::ConnectionChoice::Kept : Http::ConnectionChoice::Fresh;
    Core::Result<std::unique_ptr<Http::Exchange>> connected = co_await m_context.peerClient.connect(peer.address, choice, leg->connecting, m_work.requestId);
    if (leg->isAbandoned)
        co_return;
    if (connected.has_error()) {
        logRelayFailure(connected.error());
        post(Request::ConnectFailed { leg->leg });
        co_return;
    }
    leg->exchange = std::move(connected.value());
    if (finishIfNotSendable(leg))
        co_return;
    post(Request::Connected { leg->leg, {} });
    co_await leg->goAhead.wait();
    if (leg->isAbandoned || !maySend())
        co_return;
    leg->exchange->setHeadTimeout(timeLeft() + deadlineSlack);
    noteContinued();
    std::string lastEventId = m_machine.deliveredPieces() > 0 ? m_lastEventId : std::string();
    Http::Request request = m_context.callers.relayed(m_work, timeLeft(), lastEventId);
    request.fields.set(std::string(relayHeader), m_context.settings.daemon.name);
    if (m_origin)
        writeStreamRelease(request.fields, m_origin->release);
    writeRelayAttempts(request.fields, { m_machine.grantedToPeer(), m_machine.triedTargets() });
    setOnSilence(*leg);
    Core::Result<void> started = co_await leg->exchange->start(request);
    if (leg->isAbandoned)
        co_return;
    if (started.has_error()) {
        logRelayFailure(started.error());
        if (started.error().verdict == Core::Verdict::NotRun)
            post(Request::ConnectFailed { leg->leg });
        else
            post(Request::StreamBroken { leg->leg });
        co_return;
    }
    co_await readPeerAnswer(leg, !lastEventId.empty());
}

boost::asio::awaitable<void> RequestRunner::readPeerAnswer(LegPointer leg, bool isContinued)
{
    leg->head = leg->exchange->head();
    std::uint16_t status = leg->head.status;
    std::optional<RelayAttempts> made = takeRelayAttempts(leg->head.fields);
    m_peerRelease = takeStreamRelease(leg->head.fields).value_or("");
    // A stream that has begun may still be continued at other targets there.
    bool isFinal = status >= firstServerError || leg->head.fields.find(relayVerdictHeader);
    if (made && isFinal)
        post(Request::PeerReported { leg->leg.attempt, made->attempts, std::move(made->triedTargets) });
    std::optional<std::string_view> ownVerdict = leg->head.fields.find(relayVerdictHeader);
    TargetSend send = sendOf(leg->leg.attempt);
    AnswerProof proof = m_context.targets.judge(m_work, send, leg->head, nullptr);
    bool isUnread = !ownVerdict && proof != AnswerProof::Answer && std::find(unreadStatuses.begin(), unreadStatuses.end(), status) != unreadStatuses.end();
    if (isUnread || ownVerdict == Core::toString(Core::Verdict::NotRun)) {
        std::chrono::milliseconds retryAfter = readRetryAfter(leg->head.fields);
        leg->exchange->setPieceTimeout(timeLeft() + deadlineSlack);
        // Reads the whole body, so that the connection can be reused.
        std::ignore = co_await Http::readWhole(*leg->exchange, bufferedBodyLimit);
        Core::Error refusal = Core::makeError(Core::ErrorCode::Unavailable, "The targets cannot be reached from here, and the peers that reach them refused the request.");
        logRelayFailure(refusal);
        // A daemon of an earlier release does not say whether it sent the request to a target.
        if (ownVerdict && !made)
            post(Request::PeerReported { leg->leg.attempt, m_machine.grantedToPeer(), {} });
        if (++m_peerRefusals < maxPeerRefusals)
            post(Request::ConnectFailed { leg->leg });
        else
            post(Request::NoTarget { leg->leg.attempt, std::move(refusal), retryAfter });
        co_return;
    }
    if (ownVerdict || proof != AnswerProof::Answer) {
        logRelayFailure(Core::makeUncertainError(Core::ErrorCode::Unavailable, "the peer answered " + std::to_string(status)));
        leg->exchange->cancel();
        post(Request::StreamBroken { leg->leg });
        co_return;
    }
    if (!isEventStream(leg->head)) {
        co_await readBody(leg, std::move(send));
        co_return;
    }
    post(Request::ResponseHead { leg->leg, status });
    co_await readEvents(leg, 0, isContinued);
}

void RequestRunner::logRelayFailure(Core::Error const& error) const
{
    Core::logEvent(Core::Severity::Warning, Core::Event::AttemptFailed, { { "request", m_work.requestId }, { "work_key", toLogText(m_work.key) }, { "target", m_target }, { "step", "relay" }, { "verdict", std::string(Core::toString(error.verdict)) }, { "error", error.message } });
}

// Finds out whether a target that has not acknowledged a request can be connected to at all. A target that is merely slow, or silent for
// a while, acknowledges what its host receives.
void RequestRunner::watchAcknowledgement(LegPointer const& leg, FleetTarget const& target)
{
    leg->acknowledgementTimer.expires_after(acknowledgementTime);
    leg->acknowledgementTimer.async_wait([weak = weak_from_this(), weakLeg = std::weak_ptr<UpstreamLeg>(leg), target](boost::system::error_code ec) {
        std::shared_ptr<RequestRunner> self = weak.lock();
        LegPointer leg = weakLeg.lock();
        bool isWaiting = !ec && self && leg && !leg->isAbandoned && leg->exchange && leg->head.status == noStatus;
        if (!isWaiting || leg->exchange->unacknowledgedBytes() == 0)
            return;
        // A narrow link takes its time for a long request.
        if (self->m_context.dispatcher.paths().isReached(target.key)) {
            self->watchAcknowledgement(leg, target);
            return;
        }
        boost::asio::co_spawn(self->m_context.context, [self, leg, target] { return self->probePath(leg, target); }, Core::logUncaughtException);
    });
}

boost::asio::awaitable<void> RequestRunner::probePath(LegPointer leg, FleetTarget target)
{
    Http::Reach reach = co_await m_context.client.reach(target.endpoint);
    m_context.dispatcher.paths().note(target.key, reach == Http::Reach::Reached ? Routing::PathEvidence::Connected : Routing::PathEvidence::Unreachable);
    bool isStillWaiting = !leg->isAbandoned && leg->head.status == noStatus && leg->exchange->unacknowledgedBytes() > 0;
    if (!isStillWaiting || m_machine.isFinished())
        co_return;
    if (reach == Http::Reach::Reached || !m_context.dispatcher.paths().isClosed(target.key) || !m_work.isRepeatable) {
        watchAcknowledgement(leg, target);
        co_return;
    }
    // Nothing of it has arrived, and nothing will before the path is back.
    leg->exchange->cancel();
}

}
