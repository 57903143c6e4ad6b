#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/RequestRunner.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds cancelTimeout { 1'000 };
constexpr double millisecondsPerSecond = 1e3;
// Each try takes up to a connect timeout. After three failures, the targets are unlikely to be the cause.
constexpr std::uint32_t maxUnsentTries = 3;
// Mean Retry-After for requests that were not run: about the time to detect an unreachable target and choose another.
// Randomized per request, so that callers refused at the same time do not retry at the same time.
constexpr std::chrono::milliseconds meanRetryAfter { 600 };
// An engine takes about 3 s to change its role, and ordering the change takes another 0.5 s.
constexpr std::chrono::milliseconds retryAfterRoleChange { 3'500 };
constexpr int timeLeftDivisor = 3; ///< Retry-After is at most the caller's remaining time divided by this.

std::size_t answerBytesOf(Request::RequestEvent const& event)
{
    Request::Piece const* piece = std::get_if<Request::Piece>(&event);
    return piece ? piece->bytes.size() : 0;
}

std::string toLogText(std::string const& release)
{
    return release.empty() ? "-" : release;
}

std::string millisecondsSince(Clock::time_point start, Clock::time_point end)
{
    return std::to_string(std::chrono::duration<double, std::milli>(end - start).count());
}

}

RequestRunner::RequestRunner(TrafficContext& context, Work work, FleetPointer fleet, std::vector<std::uint32_t> allowed, std::shared_ptr<AnswerSink> sink)
    : m_context(context)
    , m_runners(context.runners)
    , m_dispatcher(context.dispatcher)
    , m_work(std::move(work))
    , m_fleet(std::move(fleet))
    , m_allowed(std::move(allowed))
    , m_sink(std::move(sink))
    , m_startedAt(Clock::now() - m_work.waited)
    , m_startedAtBoot(Core::BootClock::now() - m_work.waited)
    , m_machine(profileOf(m_work, context.targets, m_startedAt + m_work.timeout), context.budgetOf(m_work))
    , m_eventSignal(context.context.get_executor())
    , m_queueSpaceSignal(context.context.get_executor())
    , m_deadlineTimer(context.context.get_executor())
{
    // A plain service computes no prompt, whatever a caller says of one.
    for (std::uint64_t part : m_work.kind == Work::Kind::Model ? m_work.sharedParts : std::vector<std::uint64_t>())
        m_parts.push_back(Quarantine::partKeyOf(m_work.name, part));
    m_runners.insert(this);
}

// A placement holds a timer of the event loop, so that it goes before the loop does.
RequestRunner::~RequestRunner()
{
    m_runners.erase(this);
    if (m_placement != 0)
        m_dispatcher.release(m_placement);
}

Request::RequestProfile RequestRunner::profileOf(Work const& work, TargetProtocol const& targets, Clock::time_point deadline)
{
    Request::RequestProfile profile;
    profile.isRepeatable = work.isRepeatable;
    profile.mayContinue = work.mayContinue;
    profile.canResume = targets.resumesAtTarget && work.kind == Work::Kind::Model && work.isStreamed;
    profile.canCancel = targets.takesCancels && work.kind == Work::Kind::Model;
    profile.maxAttempts = work.grant ? std::min(work.maxAttempts, work.grant->attempts) : work.maxAttempts;
    profile.earnsRetries = !work.grant;
    if (work.grant)
        profile.triedTargets = work.grant->triedTargets;
    profile.mayRunWhole = targets.outputsTakePrompts;
    profile.unsentTries = targets.countsUnsent ? 0 : maxUnsentTries;
    profile.outlivesCaller = work.ticket.has_value();
    profile.deadline = deadline;
    return profile;
}

// The steady clock stops while the VM is suspended, but the caller's deadline does not.
Clock::time_point RequestRunner::now() const
{
    return m_startedAt + std::chrono::duration_cast<Clock::duration>(Core::BootClock::now() - m_startedAtBoot);
}

std::chrono::milliseconds RequestRunner::timeLeft() const
{
    return std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(m_machine.deadline() - now()));
}

void RequestRunner::noteQueued(std::size_t bytes)
{
    m_queuedBytes = bytes;
    m_sink->noteQueued(bytes);
}

void RequestRunner::post(Request::RequestEvent event)
{
    std::size_t bytes = answerBytesOf(event);
    m_events.push_back(std::move(event));
    if (bytes > 0)
        noteQueued(m_queuedBytes + bytes);
    m_eventSignal.notify();
}

// The machine learns of it before anything that is queued, so that no event of an ended attempt starts another one.
void RequestRunner::callerLeft()
{
    if (m_hasCallerLeft || m_machine.isFinished() || m_work.ticket)
        return;
    m_hasCallerLeft = true;
    noteCallerLeft();
    abandonLeg();
    releasePlacement();
    m_events.push_front(Request::CallerGone());
    m_eventSignal.notify();
}

// An answer whose end has come in already is queued in front of this, and is delivered.
void RequestRunner::endNow()
{
    post(Request::ShutdownForced());
}

// The last check before a send. A caller may have left before its request was read, and the watch of its connection reports
// that only after this thread has polled it again.
bool RequestRunner::maySend()
{
    if (m_sink->isAbandoned())
        callerLeft();
    return !m_hasCallerLeft;
}

boost::asio::awaitable<void> RequestRunner::run()
{
    m_deadlineTimer.expires_at(m_machine.deadline());
    m_deadlineTimer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
        std::shared_ptr<RequestRunner> self = weak.lock();
        if (!ec && self)
            self->post(Request::DeadlineReached());
    });
    chooseMixPool();
    if (maySend())
        post(Request::Admitted());
    while (!m_machine.isFinished()) {
        if (m_events.empty()) {
            co_await m_eventSignal.wait();
            continue;
        }
        Request::RequestEvent event = std::move(m_events.front());
        m_events.pop_front();
        if (std::size_t bytes = answerBytesOf(event))
            noteQueued(m_queuedBytes - bytes);
        m_queueSpaceSignal.notify();
        Request::RequestActions actions = m_machine.handle(std::move(event), now());
        for (Request::RequestAction& action : actions)
            co_await perform(std::move(action));
    }
    cleanUp();
}

// If several pools serve the model, a hash of the request id distributes requests over their counts.
void RequestRunner::chooseMixPool()
{
    if (m_work.kind != Work::Kind::Model || m_allowed.empty())
        return;
    std::size_t n = std::hash<std::string>()(m_work.requestId) % m_allowed.size();
    m_mixPool = m_fleet->targets[m_allowed[n]].pool;
    m_context.mix.offered(m_mixPool, m_work.shape.promptTokens);
}

void RequestRunner::cleanUp()
{
    if (!m_mixPool.empty())
        m_context.mix.ended(m_mixPool, m_work.shape.promptTokens, m_work.isStreamed ? m_machine.deliveredPieces() : m_work.shape.expectedOutputTokens);
    m_deadlineTimer.cancel();
    abandonLeg();
    releasePlacement();
    dropKv();
    m_events.clear();
    noteQueued(0);
    m_queueSpaceSignal.notify();
}

boost::asio::awaitable<void> RequestRunner::perform(Request::RequestAction action)
{
    if (Request::Dispatch* dispatch = std::get_if<Request::Dispatch>(&action)) {
        startAttempt(std::move(*dispatch));
    } else if (Request::Continue* again = std::get_if<Request::Continue>(&action)) {
        startAttempt({ again->attempt, std::move(again->excluded) });
    } else if (std::holds_alternative<Request::WriteRequest>(action)) {
        if (m_leg)
            m_leg->goAhead.notify();
    } else if (Request::Resume* resume = std::get_if<Request::Resume>(&action)) {
        startResume(*resume);
    } else if (Request::CancelAtTarget* cancel = std::get_if<Request::CancelAtTarget>(&action)) {
        startCancel(*cancel);
    } else if (Request::DeliverHead* head = std::get_if<Request::DeliverHead>(&action)) {
        Http::ResponseHead delivered;
        if (m_leg)
            delivered = m_leg->head;
        delivered.status = static_cast<std::uint16_t>(head->status);
        // Only a daemon may say how many attempts were made.
        std::ignore = takeRelayAttempts(delivered.fields);
        std::ignore = takeStreamRelease(delivered.fields);
        if (m_work.isRelayed) {
            writeRelayAttempts(delivered.fields, { m_machine.attemptsUsed(), triedTargets() });
            if (FleetTarget const* target = targetOf(m_target))
                writeStreamRelease(delivered.fields, target->streamRelease);
        }
        co_await m_sink->head(std::move(delivered));
    } else if (Request::DeliverPiece* piece = std::get_if<Request::DeliverPiece>(&action)) {
        Clock::time_point now = Clock::now();
        m_streamTarget = m_target;
        // Once a part is delivered, the rest may have to come from the same target.
        if (m_leg && m_leg->exchange)
            setOnSilence(*m_leg);
        if (piece->position == 0) {
            noteStreamBegun();
            m_firstPieceAt = now;
            m_context.metrics.observe(TimeOf::FirstPiece, now - m_startedAt);
            m_context.dispatcher.notePrefillDone(m_placement);
        } else {
            m_longestPause = std::max(m_longestPause, now - m_lastPieceAt);
        }
        m_lastPieceAt = now;
        co_await m_sink->piece(piece->position, std::move(piece->bytes));
    } else if (Request::Finish* finish = std::get_if<Request::Finish>(&action)) {
        if (finish->verdict == Core::Verdict::NotRun && finish->retryAfter.count() == 0)
            finish->retryAfter = retryAfterOf(m_reason);
        logFinish(*finish);
        countLostAnswer();
        // Nothing may be sent to a target while the caller is told that the request has failed.
        if (finish->error) {
            abandonLeg();
            releasePlacement();
        }
        finish->attempts = m_machine.attemptsUsed();
        finish->triedTargets = triedTargets();
        co_await m_sink->finish(std::move(*finish));
    }
}

std::vector<std::string> RequestRunner::triedTargets() const
{
    std::vector<std::string> targets = m_machine.triedTargets();
    if (!m_target.empty() && !m_isAtPeer)
        targets.push_back(m_target);
    return targets;
}

std::chrono::milliseconds RequestRunner::retryAfterOf(Routing::Reason reason) const
{
    // An engine takes seconds to change its role, and an earlier retry would be refused again.
    bool lacksRole = reason == Routing::Reason::NoFittingRole || reason == Routing::Reason::NoOutputTarget;
    if (lacksRole)
        return std::min(retryAfterRoleChange, timeLeft() / timeLeftDivisor);
    constexpr std::uint32_t spreadSteps = 1'000;
    std::chrono::milliseconds spread = meanRetryAfter * (std::hash<std::string>()(m_work.requestId) % spreadSteps) / spreadSteps;
    return std::min(meanRetryAfter / 2 + spread, timeLeft() / timeLeftDivisor);
}

void RequestRunner::abandonLeg()
{
    finishRun();
    if (!m_leg)
        return;
    m_leg->abandon();
    m_leg.reset();
}

void RequestRunner::releasePlacement()
{
    if (m_placement != 0)
        m_context.dispatcher.release(std::exchange(m_placement, 0));
}

void RequestRunner::startAttempt(Request::Dispatch dispatch)
{
    abandonLeg();
    releasePlacement();
    if (m_hasCallerLeft)
        return;
    m_leg = std::make_shared<UpstreamLeg>(m_context.context.get_executor(), Request::Leg { dispatch.attempt, 1 });
    if (dispatch.attempt > 1) {
        m_context.metrics.countRetry();
        Core::logEvent(Core::Severity::Info, Core::Event::RequestRetried, { { "request", m_work.requestId }, { "attempt", std::to_string(dispatch.attempt) }, { "after", m_target } });
    }
    if (dispatch.isWhole) {
        m_context.metrics.countWholeRun();
        Core::logEvent(Core::Severity::Info, Core::Event::RequestRunsWhole, { { "request", m_work.requestId }, { "work_key", toLogText(m_work.key) }, { "attempt", std::to_string(dispatch.attempt) }, { "after", m_target } });
    }
    boost::asio::co_spawn(m_context.context, [self = shared_from_this(), leg = m_leg, dispatch = std::move(dispatch)]() { return self->runAttempt(leg, dispatch); }, Core::logUncaughtException);
}

void RequestRunner::startResume(Request::Resume const& resume)
{
    abandonLeg();
    if (m_hasCallerLeft)
        return;
    m_leg = std::make_shared<UpstreamLeg>(m_context.context.get_executor(), resume.leg);
    Core::logEvent(Core::Severity::Info, Core::Event::AnswerResumed, { { "request", m_work.requestId }, { "target", resume.target }, { "from", std::to_string(resume.from) }, { "connection", std::to_string(resume.leg.connection) } });
    boost::asio::co_spawn(m_context.context, [self = shared_from_this(), leg = m_leg, resume]() { return self->runResume(leg, resume); }, Core::logUncaughtException);
}

void RequestRunner::startCancel(Request::CancelAtTarget const& cancel)
{
    abandonLeg();
    FleetTarget const* target = targetOf(cancel.target);
    if (!target || target->kind != Platform::VmKind::Engine) {
        if (cancel.needsOutcome)
            post(Request::CancelAcknowledged { cancel.attempt, Request::CancelOutcome::Unknown, {} });
        return;
    }
    boost::asio::co_spawn(m_context.context, [self = shared_from_this(), cancel, endpoint = target->endpoint]() { return self->runCancel(cancel, endpoint); }, Core::logUncaughtException);
}

boost::asio::awaitable<void> RequestRunner::runCancel(Request::CancelAtTarget cancel, boost::asio::ip::tcp::endpoint endpoint)
{
    if (cancel.needsOutcome) {
        std::shared_ptr<boost::asio::steady_timer> timer = std::make_shared<boost::asio::steady_timer>(m_context.context, cancelTimeout);
        timer->async_wait([weak = weak_from_this(), timer, attempt = cancel.attempt](boost::system::error_code) {
            if (std::shared_ptr<RequestRunner> self = weak.lock())
                self->post(Request::CancelAcknowledged { attempt, Request::CancelOutcome::Unknown, {} });
        });
    }
    Core::Result<Platform::CancelState> state = co_await m_context.engines.cancel(endpoint, attemptId(cancel.attempt));
    if (!cancel.needsOutcome)
        co_return;
    Request::CancelOutcome outcome = Request::CancelOutcome::Unknown;
    // NeverSeen is conclusive only from the incarnation that the request was sent to.
    Core::Result<Platform::EngineState> engine = co_await m_context.engines.state(endpoint);
    std::string incarnation = engine.has_value() ? engine.value().incarnation : std::string();
    if (state.has_value()) {
        switch (state.value()) {
        case Platform::CancelState::Canceled:
            outcome = Request::CancelOutcome::Canceled;
            break;
        case Platform::CancelState::Finished:
            outcome = Request::CancelOutcome::Finished;
            break;
        case Platform::CancelState::NeverSeen:
            outcome = Request::CancelOutcome::NeverSeen;
            break;
        }
    }
    post(Request::CancelAcknowledged { cancel.attempt, outcome, incarnation });
}

FleetTarget const* RequestRunner::targetOf(std::string const& name) const
{
    std::optional<std::uint32_t> position = m_fleet->view->positionOf(name);
    return position ? &m_fleet->targets[*position] : nullptr;
}

std::string RequestRunner::attemptId(std::uint32_t attempt) const
{
    return m_work.requestId + "." + std::to_string(attempt);
}

void RequestRunner::logDecision(std::uint32_t attempt, PlacementOutcome const& outcome) const
{
    m_context.metrics.countDecision(outcome.decision.reason);
    if (!outcome.position) {
        Core::logEvent(Core::Severity::Warning, Core::Event::RouteRefused, { { "request", m_work.requestId }, { "work_key", toLogText(m_work.key) }, { "work", m_work.name }, { "organisation", m_work.organisation }, { "allowed", std::to_string(m_allowed.size()) }, { "release", goesOn() && m_origin ? toLogText(m_origin->release) : "-" }, { "reason", std::string(Core::nameOf(Routing::reasonNames, outcome.decision.reason)) }, { "error", outcome.error.message }, { "config", std::to_string(m_fleet->configVersion) }, { "fleet_age_ms", fleetAge() }, { "list_age_ms", listAge() }, { "left_ms", std::to_string(timeLeft().count()) } });
        return;
    }
    if (!Core::isLogged(Core::Severity::Info))
        return;
    Routing::Decision const& decision = outcome.decision;
    Core::logEvent(Core::Severity::Info, Core::Event::RouteDecided, { { "request", m_work.requestId }, { "work_key", toLogText(m_work.key) }, { "attempt", std::to_string(attempt) }, { "work", m_work.name }, { "organisation", m_work.organisation }, { "target", m_fleet->targets[*outcome.position].name }, { "release", toLogText(m_fleet->targets[*outcome.position].release) }, { "reason", std::string(Core::nameOf(Routing::reasonNames, decision.reason)) }, { "score", std::to_string(decision.score) }, { "runner_up_score", std::to_string(decision.runnerUpScore) }, { "considered", std::to_string(decision.considered) }, { "allowed", std::to_string(m_allowed.size()) }, { "prefill_ms", std::to_string(std::lround(outcome.prefillSeconds * millisecondsPerSecond)) }, { "config", std::to_string(m_fleet->configVersion) }, { "fleet_age_ms", fleetAge() }, { "list_age_ms", listAge() }, { "left_ms", std::to_string(timeLeft().count()) } });
}

std::string RequestRunner::fleetAge() const
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(Core::BootClock::now() - m_fleet->createdAt).count());
}

// Upper bound on the age of the list of targets, even if the list has not changed.
std::string RequestRunner::listAge() const
{
    if (!m_fleet->listConfirmedAt)
        return "-";
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(Core::BootClock::now() - m_fleet->listConfirmedAt->load()).count());
}

void RequestRunner::noteCallerLeft() const
{
    CallerLeftAt step = CallerLeftAt::Unplaced;
    if (m_leg)
        step = m_run != 0 ? CallerLeftAt::Sent : CallerLeftAt::Waiting;
    m_context.metrics.countCallerLeft(step);
    Core::logEvent(Core::Severity::Info, Core::Event::CallerLeft, { { "request", m_work.requestId }, { "work_key", toLogText(m_work.key) }, { "step", std::string(Core::nameOf(callerLeftNames, step)) }, { "target", m_target }, { "age_ms", millisecondsSince(m_startedAt, Clock::now()) }, { "unacknowledged_bytes", std::to_string(m_leg && m_leg->exchange ? m_leg->exchange->unacknowledgedBytes() : 0) } });
}

void RequestRunner::logFinish(Request::Finish const& finish) const
{
    m_context.metrics.countFinished(finish.verdict, finish.error.has_value());
    Clock::time_point now = Clock::now();
    m_context.metrics.observe(TimeOf::Request, now - m_startedAt);
    if (m_work.isStreamed && m_machine.deliveredPieces() > 1)
        m_context.metrics.observe(TimeOf::Pause, m_longestPause);
    if (finish.error)
        m_context.metrics.countError(finish.error->code);
    std::string first = m_firstPieceAt == Clock::time_point() ? "-" : millisecondsSince(m_startedAt, m_firstPieceAt);
    // Info lines may be dropped under load; failed requests log at Warning and are always kept.
    Core::Severity severity = finish.error ? Core::Severity::Warning : Core::Severity::Info;
    Core::logEvent(severity, Core::Event::RequestFinished, { { "request", m_work.requestId }, { "work_key", toLogText(m_work.key) }, { "verdict", std::string(Core::toString(finish.verdict)) }, { "target", m_target }, { "target_status", m_leg ? std::to_string(m_leg->head.status) : "-" }, { "attempts", std::to_string(m_machine.attempt()) }, { "pieces", std::to_string(m_machine.deliveredPieces()) }, { "first_piece_ms", first }, { "longest_pause_ms", std::to_string(std::chrono::duration<double, std::milli>(m_longestPause).count()) }, { "total_ms", millisecondsSince(m_startedAt, now) }, { "retry_after_ms", std::to_string(finish.retryAfter.count()) }, { "error", finish.error ? finish.error->message : "-" } });
}

}
