// The coroutines of RequestRunner for one attempt: placement, connection and response.

#include <LibCore/EventLog.h>
#include <LibDaemon/EventSplitter.h>
#include <LibDaemon/RequestRunner.h>
#include <LibDaemon/TargetOutcomes.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tuple>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds eventHeadTimeout { 10'000 };
constexpr std::chrono::milliseconds eventTimeout { 5'000 };
// A live engine responds at once whether it knows a stream. The caller is kept waiting while a dead one times out.
constexpr std::chrono::milliseconds resumeHeadTimeout { 2'000 };
// A request may wait for a target for its first-piece limit divided by this.
constexpr int firstPieceWaitDivisor = 4;
// The body of a refusal is small and follows its head at once.
constexpr std::chrono::milliseconds refusalTimeout { 500 };
constexpr std::size_t maxQueuedEvents = 256;
constexpr std::size_t maxQueuedBytes = 256U * 1024; ///< Then the next piece is the last one.
// An attempt skips at most this many consecutive responses to other requests, then it fails.
constexpr int maxForeignAnswers = 2;

}

bool RequestRunner::isEventStream(Http::ResponseHead const& head)
{
    return head.fields.find("Content-Type").value_or("").starts_with("text/event-stream");
}

boost::asio::awaitable<void> RequestRunner::wait(std::chrono::milliseconds duration)
{
    boost::asio::steady_timer timer(m_context.context, duration);
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

// A target's answer is read no faster than its caller reads.
boost::asio::awaitable<void> RequestRunner::postWithBackpressure(Request::RequestEvent event)
{
    while ((m_events.size() >= maxQueuedEvents || m_queuedBytes >= maxQueuedBytes) && !m_machine.isFinished())
        co_await m_queueSpaceSignal.wait();
    post(std::move(event));
}

boost::asio::awaitable<PlacementOutcome> RequestRunner::place(std::vector<std::string> excluded, Routing::Phase phase)
{
    PlacementRequest request;
    request.requestId = m_work.requestId;
    request.organisation = m_work.organisation;
    request.work = m_work.name;
    request.workKey = m_work.key.low;
    request.priority = m_work.priority;
    request.shape = m_work.shape;
    request.shape.phase = phase;
    request.prefix = m_work.prefix;
    request.fleet = m_fleet;
    request.allowed = m_allowed;
    excludeOtherSuspects(excluded);
    request.excluded = std::move(excluded);
    request.stream = streamPlacement();
    request.kvZone = m_kvSource.empty() ? std::string() : m_kvZone;
    request.latestStart = m_machine.deadline();
    // A longer wait is pointless, because callers abandon a stream that begins late; they should retry instead.
    if (m_work.firstPieceLimit.count() > 0)
        request.latestStart = std::min(request.latestStart, Clock::now() + m_work.firstPieceLimit / firstPieceWaitDivisor);
    m_placement = m_context.dispatcher.nextId();
    Clock::time_point askedAt = Clock::now();
    PlacementOutcome outcome = co_await m_context.dispatcher.place(std::move(request), m_context.context.get_executor(), m_placement);
    m_context.metrics.observe(TimeOf::Placement, Clock::now() - askedAt);
    co_return outcome;
}

boost::asio::awaitable<void> RequestRunner::runAttempt(LegPointer leg, Request::Dispatch dispatch)
{
    if (dispatch.delay.count() > 0)
        co_await wait(dispatch.delay);
    if (leg->isAbandoned)
        co_return;
    m_isAtPeer = false;
    m_hasEvent = false;
    if (m_work.resumption && !m_origin)
        co_await findOrigin(leg);
    if (leg->isAbandoned || finishIfStreamCannotGoOn(leg))
        co_return;
    // A peer would have the prompt computed by itself, which is another send.
    std::optional<RelayPeer> peer = dispatch.isWhole ? std::nullopt : beginRelay(leg->leg.attempt, dispatch.excluded);
    if (peer) {
        co_await runAtPeer(leg, std::move(*peer));
        co_return;
    }
    if (!co_await placeAttempt(leg, std::move(dispatch)))
        co_return;
    FleetTarget const* target = targetOf(m_target);
    post(Request::TargetPicked { leg->leg.attempt, m_target });
    if (!co_await connect(leg, *target) || finishIfNotSendable(leg))
        co_return;
    // The target may meanwhile have announced that it leaves or accepts no requests for now.
    if (!m_context.dispatcher.mayWrite(*target, m_placement)) {
        post(Request::ConnectFailed { leg->leg, keepPrompt() });
        co_return;
    }
    post(Request::Connected { leg->leg, target->incarnation });
    co_await leg->goAhead.wait();
    if (leg->isAbandoned || !maySend())
        co_return;
    noteContinued();
    beginRun(*target, RunStep::Answer);
    bool isEventHead = m_work.kind == Work::Kind::Model && m_work.isStreamed && !m_context.targets.hidesSilence;
    leg->exchange->setHeadTimeout(isEventHead ? eventHeadTimeout : timeLeft() + deadlineSlack);
    TargetSend send = sendOf(leg->leg.attempt);
    Http::Request request = m_context.targets.request(m_work, send);
    Core::Result<void> started = co_await sendAndReadHead(leg, std::move(request), send);
    if (leg->isAbandoned)
        co_return;
    if (started.has_error()) {
        postFailure(leg, started.error());
        co_return;
    }
    co_await readAnswer(leg, send);
}

// The target of a silent host may still be at work: a request that has nowhere else to go waits for it.
void RequestRunner::setOnSilence(UpstreamLeg& leg) const
{
    leg.exchange->setOnSilence(m_machine.maySendElsewhere() ? Http::OnSilence::Fail : Http::OnSilence::Wait);
}

// Skips responses to earlier requests on the connection.
boost::asio::awaitable<Core::Result<void>> RequestRunner::sendAndReadHead(LegPointer leg, Http::Request request, TargetSend send)
{
    FleetTarget const* target = targetOf(m_target);
    Core::BootClock::time_point sentAt = Core::BootClock::now();
    watchAcknowledgement(leg, *target);
    setOnSilence(*leg);
    Core::Result<void> started = co_await leg->exchange->start(request);
    bool isForeign = started.has_value() && noteHead(*target, leg->exchange->head(), send, sentAt);
    for (int n = 0; n < maxForeignAnswers && !leg->isAbandoned && isForeign; ++n) {
        started = co_await leg->exchange->skipResponse();
        isForeign = started.has_value() && noteHead(*target, leg->exchange->head(), send, sentAt);
    }
    co_return started;
}

// Chooses the attempt's target. If that is a prefill target, has the prompt computed there and then chooses the decode
// target. Returns false if the attempt has ended.
boost::asio::awaitable<bool> RequestRunner::placeAttempt(LegPointer leg, Request::Dispatch dispatch)
{
    Routing::Phase phase = m_work.kind == Work::Kind::Model ? Routing::Phase::WholeOrPrefill : Routing::Phase::Whole;
    if (std::exchange(m_keepsPrompt, false) && !m_kvSource.empty())
        phase = Routing::Phase::Decode;
    else
        dropKv();
    if (dispatch.isWhole)
        phase = Routing::Phase::Decode;
    while (!finishIfNotSendable(leg)) {
        PlacementOutcome outcome = co_await place(dispatch.excluded, phase);
        if (leg->isAbandoned)
            co_return false;
        logDecision(leg->leg.attempt, outcome);
        m_reason = outcome.decision.reason;
        if (!outcome.position) {
            m_placement = 0;
            post(Request::NoTarget { leg->leg.attempt, outcome.error, outcome.retryAfter });
            co_return false;
        }
        m_target = m_fleet->targets[*outcome.position].name;
        // The urgency of a prompt depends on its length, that of an output on the configured priority.
        bool isPrompt = outcome.prefillSeconds > 0 && outcome.meanPrefillSeconds > 0;
        m_urgency = isPrompt ? Routing::urgencyOf(outcome.prefillSeconds, outcome.meanPrefillSeconds) : m_work.priority;
        if (outcome.decision.role != Routing::TargetRole::Prefill)
            co_return true;
        post(Request::TargetPicked { leg->leg.attempt, m_target });
        std::optional<Request::PromptEnd> end;
        Core::Result<std::string> kvSource = co_await prefill(leg, end);
        if (leg->isAbandoned)
            co_return false;
        releasePlacement();
        if (kvSource.has_error()) {
            postPrefillFailure(leg, end, kvSource.error());
            co_return false;
        }
        post(Request::PromptComputed { leg->leg.attempt });
        m_kvSource = kvSource.value();
        m_kvHolder = targetOf(m_target)->endpoint;
        m_kvZone = targetOf(m_target)->availabilityZone;
        phase = Routing::Phase::Decode;
    }
    co_return false;
}

void RequestRunner::noteOutcome(Routing::TargetOutcome outcome) const
{
    m_context.metrics.countOutcome(outcome);
    if (FleetTarget const* target = targetOf(m_target))
        m_context.dispatcher.noteOutcome(target->key, outcome);
    if (outcome == Routing::TargetOutcome::Answered && m_placement != 0)
        m_context.dispatcher.noteAnswered(m_placement);
}

// Returns whether the response belongs to an earlier request on this connection.
bool RequestRunner::noteHead(FleetTarget const& target, Http::ResponseHead const& head, TargetSend const& send, Core::BootClock::time_point sentAt) const
{
    bool isForeign = m_context.targets.judge(m_work, send, head, nullptr) == AnswerProof::Foreign;
    noteNotice(target, head, isForeign ? Core::BootClock::time_point() : sentAt);
    return isForeign;
}

// Called before any of the response is passed on. `sentAt` is when its request was sent, zero if that is not known.
void RequestRunner::noteNotice(FleetTarget const& target, Http::ResponseHead const& head, Core::BootClock::time_point sentAt) const
{
    constexpr std::uint16_t misdirected = 421; // The response comes from a different target.
    if (!m_context.targets.readNotice || head.status == misdirected)
        return;
    Routing::TargetNotice notice = m_context.targets.readNotice(head.status, head.fields);
    if (notice.pause)
        Core::logEvent(Core::Severity::Info, Core::Event::TargetPaused, { { "target", target.name }, { "pause_ms", std::to_string(notice.pause->count()) } });
    if (!m_context.dispatcher.noteNotice(target.key, notice, sentAt))
        return;
    Core::logEvent(Core::Severity::Info, Core::Event::TargetSaysLeaving, { { "target", target.name } });
    m_context.onLeaving(target.key);
}

boost::asio::awaitable<bool> RequestRunner::connect(LegPointer leg, FleetTarget const& target)
{
    Http::ConnectionChoice choice = m_work.isRepeatable || m_context.targets.keepsConnectionsForAll ? Http::ConnectionChoice::Kept : Http::ConnectionChoice::Fresh;
    if (leg->leg.connection > 1)
        choice = Http::ConnectionChoice::Fresh;
    Core::Result<std::unique_ptr<Http::Exchange>> connected = co_await m_context.client.connect(target.endpoint, choice, leg->connecting, m_work.requestId);
    if (leg->isAbandoned)
        co_return false;
    if (connected.has_error()) {
        Core::logEvent(Core::Severity::Warning, Core::Event::AttemptFailed, { { "request", m_work.requestId }, { "work_key", toLogText(m_work.key) }, { "target", target.name }, { "step", "connect" }, { "error", connected.error().message } });
        noteOutcome(Routing::TargetOutcome::Unreachable);
        post(Request::ConnectFailed { leg->leg, keepPrompt() });
        co_return false;
    }
    leg->exchange = std::move(connected.value());
    m_context.metrics.countConnection(leg->exchange->isOnKeptConnection());
    if (!leg->exchange->isOnKeptConnection())
        m_context.dispatcher.paths().note(target.key, Routing::PathEvidence::Connected);
    co_return true;
}

void RequestRunner::postFailure(LegPointer const& leg, Core::Error const& error)
{
    Core::logEvent(Core::Severity::Warning, Core::Event::AttemptFailed, { { "request", m_work.requestId }, { "work_key", toLogText(m_work.key) }, { "target", m_target }, { "step", "exchange" }, { "verdict", std::string(Core::toString(error.verdict)) }, { "error", error.message } });
    noteOutcome(Routing::TargetOutcome::Broken);
    if (error.verdict != Core::Verdict::NotRun)
        noteLostAnswer();
    if (error.verdict != Core::Verdict::NotRun && error.code == Core::ErrorCode::Unavailable)
        breakOffRun();
    if (error.verdict == Core::Verdict::NotRun)
        post(Request::ConnectFailed { leg->leg, keepPrompt() });
    else if (error.code == Core::ErrorCode::Timeout)
        post(Request::SilentConnection { leg->leg });
    else
        post(Request::StreamBroken { leg->leg });
}

boost::asio::awaitable<void> RequestRunner::runResume(LegPointer leg, Request::Resume resume)
{
    if (resume.delay.count() > 0)
        co_await wait(resume.delay);
    if (leg->isAbandoned)
        co_return;
    FleetTarget const* target = targetOf(resume.target);
    if (!co_await connect(leg, *target) || !maySend())
        co_return;
    Http::Request request;
    request.target = "/v1/streams/" + attemptId(resume.leg.attempt) + "?from=" + std::to_string(resume.from);
    leg->exchange->setHeadTimeout(resumeHeadTimeout);
    Core::Result<void> started = co_await leg->exchange->start(request);
    if (leg->isAbandoned)
        co_return;
    if (started.has_error()) {
        postFailure(leg, started.error());
        co_return;
    }
    if (leg->exchange->head().status != static_cast<std::uint16_t>(Http::Status::Ok)) {
        post(Request::ResumeUnknown { leg->leg });
        co_return;
    }
    post(Request::ResumeAccepted { leg->leg });
    co_await readEvents(leg, resume.from, false);
}

boost::asio::awaitable<void> RequestRunner::readAnswer(LegPointer leg, TargetSend send)
{
    leg->head = leg->exchange->head();
    AnswerProof proof = m_context.targets.judge(m_work, send, leg->head, nullptr);
    noteOutcome(outcomeOf(proof, leg->head.status, !send.kvSource.empty()));
    if (proof == AnswerProof::NotRun || proof == AnswerProof::Replaced) {
        finishRun();
        if (proof == AnswerProof::Replaced)
            noteEnded(*targetOf(m_target), "replaced");
        leg->exchange->setPieceTimeout(refusalTimeout);
        // Reads the whole body, so that the connection can be reused.
        std::ignore = co_await Http::readWhole(*leg->exchange, bufferedBodyLimit);
        logRefusal();
        // The target is either full or could not fetch the KV cache. The refusal does not say which: one retry reuses the cache.
        bool keepsPrompt = !std::exchange(m_hasReusedPrompt, true) && keepPrompt();
        post(Request::TargetRefused { leg->leg, keepsPrompt });
        co_return;
    }
    if (proof != AnswerProof::Answer) {
        finishRun();
        postFailure(leg, Core::makeUncertainError(Core::ErrorCode::Unavailable, "the target answered " + std::to_string(leg->head.status) + ", which is not a valid response to this request"));
        leg->exchange->cancel();
        co_return;
    }
    // A plain service has begun once it responds, an engine with its first event.
    if (!isEventStream(leg->head))
        noteBegun();
    // The decode target has fetched the KV cache by now.
    m_kvSource.clear();
    if (isEventStream(leg->head)) {
        post(Request::ResponseHead { leg->leg, leg->head.status });
        co_await readEvents(leg, 0, !send.lastEventId.empty());
        co_return;
    }
    co_await readBody(leg, std::move(send));
}

void RequestRunner::logRefusal() const
{
    Core::logEvent(Core::Severity::Info, Core::Event::AttemptFailed, { { "request", m_work.requestId }, { "work_key", toLogText(m_work.key) }, { "target", m_target }, { "step", "refused" }, { "verdict", std::string(Core::toString(Core::Verdict::NotRun)) } });
}

boost::asio::awaitable<void> RequestRunner::readEvents(LegPointer leg, std::uint64_t firstIndex, bool isContinued)
{
    leg->exchange->setPieceTimeout(m_context.targets.hidesSilence ? timeLeft() + deadlineSlack : eventTimeout);
    std::string continuedFrom = isContinued ? m_lastEventId : std::string();
    EventSplitter splitter(m_context.settings.limits.eventBytes);
    std::uint64_t index = firstIndex;
    std::optional<Clock::time_point> readAt;
    while (true) {
        Core::Result<std::optional<std::string>> piece = co_await leg->exchange->read();
        if (leg->isAbandoned)
            co_return;
        if (piece.has_error()) {
            postFailure(leg, piece.error());
            co_return;
        }
        if (!piece.value())
            break;
        std::vector<std::string> events = splitter.add(*piece.value());
        if (!events.empty()) {
            noteAnswerBegun();
            noteBegun();
            Clock::time_point now = Clock::now();
            // Events that arrived together share the time since the last read.
            if (readAt)
                m_context.dispatcher.noteEventGap(m_placement, (now - *readAt) / static_cast<int>(events.size()));
            readAt = now;
        }
        for (std::string& event : events) {
            std::string id(eventId(event));
            // Skips events that were already delivered, wherever the target resumes the stream.
            if (!continuedFrom.empty() && !isBehind(id, continuedFrom))
                continue;
            if (!id.empty())
                m_lastEventId = std::move(id);
            // A named variable, because g++ 12 destroys a braced temporary in a co_await expression twice.
            Request::RequestEvent next = Request::Piece { leg->leg, index, std::move(event), true };
            co_await postWithBackpressure(std::move(next));
            ++index;
        }
        if (!splitter.problem().empty()) {
            breakOffEvents(leg, splitter.problem());
            co_return;
        }
    }
    bool isWhole = (splitter.hasSeenDone() || !m_context.targets.marksStreamEnd) && !splitter.hasPartialEvent();
    noteAnswerEnd(leg->head, isWhole);
    if (!isWhole) {
        post(Request::StreamBroken { leg->leg });
        co_return;
    }
    // The target is done with it, however long its caller takes to read the rest.
    releasePlacement();
    post(Request::StreamEnded { leg->leg, index });
}

// What was delivered stays whole: the caller may go on behind it.
void RequestRunner::breakOffEvents(LegPointer const& leg, std::string_view problem)
{
    m_context.metrics.countMalformedEvent();
    finishRun();
    leg->exchange->cancel();
    postFailure(leg, Core::makeUncertainError(Core::ErrorCode::BadInput, std::string(problem)));
}

// Buffers a small body whole before delivering any of it, so that a broken attempt can be retried without the caller
// having received a part.
boost::asio::awaitable<void> RequestRunner::readBody(LegPointer leg, TargetSend send)
{
    leg->exchange->setPieceTimeout(timeLeft() + deadlineSlack);
    std::string body;
    std::uint64_t index = 0;
    bool isHeadPosted = false;
    while (true) {
        Core::Result<std::optional<std::string>> piece = co_await leg->exchange->read();
        if (leg->isAbandoned)
            co_return;
        if (piece.has_error()) {
            postFailure(leg, piece.error());
            co_return;
        }
        if (!piece.value())
            break;
        body += *piece.value();
        if (body.size() <= bufferedBodyLimit)
            continue;
        if (!std::exchange(isHeadPosted, true))
            post(Request::ResponseHead { leg->leg, leg->head.status });
        Request::RequestEvent next = Request::Piece { leg->leg, index++, std::exchange(body, std::string()), false };
        co_await postWithBackpressure(std::move(next));
    }
    if (m_context.targets.judge(m_work, send, leg->head, &body) == AnswerProof::NotRun) {
        finishRun();
        post(Request::TargetRefused { leg->leg });
        co_return;
    }
    noteAnswerEnd(leg->head, true);
    releasePlacement();
    if (!isHeadPosted)
        post(Request::ResponseHead { leg->leg, leg->head.status });
    if (!body.empty())
        post(Request::Piece { leg->leg, index++, std::move(body), false });
    post(Request::StreamEnded { leg->leg, index });
}

TargetSend RequestRunner::sendOf(std::uint32_t attempt) const
{
    FleetTarget const* target = targetOf(m_target);
    return { attempt, target ? target->incarnation : std::string(), timeLeft(), m_kvSource, m_urgency, m_machine.deliveredPieces() > 0 ? m_lastEventId : std::string() };
}

}
