#include <LibRequest/RequestMachine.h>
#include <algorithm>
#include <iterator>
#include <utility>

namespace Request {

namespace {

constexpr int firstServerError = 500;
constexpr int okStatus = 200;
constexpr std::chrono::milliseconds firstDelay { 100 };
constexpr std::uint32_t mostDoublings = 5;

/// The delay before a retry of the same target after `failures` failures.
std::chrono::milliseconds delayAfter(std::uint32_t failures)
{
    if (failures == 0)
        return std::chrono::milliseconds(0);
    return firstDelay * (1U << std::min(failures - 1, mostDoublings));
}

}

bool isIdempotentMethod(std::string_view method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "TRACE" || method == "PUT" || method == "DELETE";
}

RequestMachine::RequestMachine(RequestProfile profile, RetryBudget& budget)
    : m_profile(std::move(profile))
    , m_budget(&budget)
    , m_mayHaveRunBefore(m_profile.goesToHome)
    , m_allowance(m_profile.maxAttempts)
    , m_excluded(m_profile.triedTargets)
{
}

bool RequestMachine::mayContinue() const
{
    return m_profile.isRepeatable && m_profile.mayContinue && m_endsEvent;
}

bool RequestMachine::maySendElsewhere() const
{
    // Until the request is written, nothing but its prompt can be at a target.
    bool isRepeatable = m_phase == Phase::Connecting || (m_profile.isRepeatable && !m_profile.goesToHome);
    return (m_delivered == 0 ? isRepeatable : mayContinue()) && m_allowance.left() > 0;
}

Core::Verdict RequestMachine::verdict() const
{
    return m_wasWritten || m_mayHaveRunBefore ? Core::Verdict::MayHaveRun : Core::Verdict::NotRun;
}

// Built in place: g++ 12 warns of uninitialized members when a variant is moved in.
template <typename Action>
void RequestMachine::act(Action action)
{
    m_actions->emplace_back(std::in_place_type<Action>, std::move(action));
}

RequestActions RequestMachine::handle(RequestEvent event, TimePoint now)
{
    RequestActions actions;
    if (isFinished())
        return actions;
    m_actions = &actions;
    std::visit([this, now](auto&& it) { on(std::forward<decltype(it)>(it), now); }, std::move(event));
    m_actions = nullptr;
    return actions;
}

bool RequestMachine::isCurrent(Leg const& leg) const
{
    return leg.attempt == m_attempt && leg.connection == m_connection;
}

/// Whether pieces of the current attempt are accepted. A resumed stream has the same pieces on each connection.
bool RequestMachine::isAnswering() const
{
    return m_phase == Phase::AwaitingHead || m_phase == Phase::Streaming || m_phase == Phase::Resuming;
}

void RequestMachine::on(Admitted&&, TimePoint now)
{
    if (m_phase != Phase::Queued || m_attempt != 0)
        return;
    if (startAttempt(now) && m_profile.earnsRetries)
        m_budget->earn();
}

void RequestMachine::on(Refused&& event, TimePoint)
{
    if (m_phase != Phase::Queued)
        return;
    finishWith(event.error.code, event.error.message, event.retryAfter);
}

void RequestMachine::on(TargetPicked&& event, TimePoint)
{
    if (m_phase != Phase::Connecting || event.attempt != m_attempt)
        return;
    m_target = std::move(event.target);
    m_isAtPeer = event.isPeer;
}

void RequestMachine::on(PeerReported&& event, TimePoint)
{
    if (event.attempt != m_attempt || !m_isAtPeer)
        return;
    m_allowance.settle(event.attempts);
    m_hasPeerSent = event.attempts > 0;
    m_excluded.insert(m_excluded.end(), std::make_move_iterator(event.triedTargets.begin()), std::make_move_iterator(event.triedTargets.end()));
}

void RequestMachine::on(NoTarget&& event, TimePoint)
{
    if (m_phase != Phase::Connecting || event.attempt != m_attempt)
        return;
    if (!m_hasComputedPrompt)
        m_allowance.takeBack();
    finishWith(event.error.code, event.error.message, event.retryAfter);
}

void RequestMachine::on(Connected&& event, TimePoint now)
{
    if (m_phase != Phase::Connecting || !isCurrent(event.leg))
        return;
    // A daemon that was paused here must not start work after its caller has timed out.
    if (now >= m_profile.deadline) {
        finishWith(Core::ErrorCode::Timeout, "The deadline passed before a target was reached.");
        return;
    }
    m_wasWritten = true;
    m_targetIncarnation = std::move(event.targetIncarnation);
    m_phase = Phase::AwaitingHead;
    if (m_isAtPeer)
        m_granted = m_allowance.grant();
    act(WriteRequest { event.leg });
}

void RequestMachine::on(ConnectFailed&& event, TimePoint now)
{
    if (!isCurrent(event.leg))
        return;
    if (m_phase == Phase::Resuming) {
        connectionLost(now);
        return;
    }
    bool isFirstWrite = m_phase == Phase::AwaitingHead && event.leg.connection == 1 && m_status == 0;
    if (m_phase != Phase::Connecting && !isFirstWrite)
        return;
    m_wasWritten = false;
    m_keepsPrompt = event.keepsPrompt;
    m_allowance.settle(1);
    bool isFree = !m_hasPeerSent && m_unsent < m_profile.unsentTries;
    if (isFree && (repeatedPrompts() == 0 || m_budget->take(now, repeatedPrompts()))) {
        ++m_unsent;
        m_allowance.takeBack();
        startAttempt(now);
        return;
    }
    retryOrFinish(now, Core::ErrorCode::Unavailable, "No target could be reached.");
}

void RequestMachine::on(TargetRefused&& event, TimePoint now)
{
    bool isUnanswered = isAnswering() && m_status == 0 && m_delivered == m_base;
    if (event.leg.attempt != m_attempt || !isUnanswered)
        return;
    m_wasWritten = false;
    m_keepsPrompt = event.keepsPrompt;
    retryOrFinish(now, Core::ErrorCode::Unavailable, "The targets refused the request.");
}

void RequestMachine::on(ResponseHead&& event, TimePoint now)
{
    if (event.leg.attempt != m_attempt || !isAnswering() || m_status != 0)
        return;
    m_status = event.status;
    if (m_phase == Phase::AwaitingHead)
        m_phase = Phase::Streaming;
    // The caller already has the head of the first attempt's answer: an error head can't follow it.
    if (m_headDelivered && event.status != okStatus) {
        attemptLost(now);
        return;
    }
    bool isRepeatable = m_profile.isRepeatable && !m_profile.goesToHome && m_delivered == 0;
    if (event.status < firstServerError || !isRepeatable)
        return;
    if (now < m_profile.deadline && mayRetry(now)) {
        m_mayHaveRunBefore = true;
        m_wasWritten = false;
        startAttempt(now);
    }
}

void RequestMachine::on(Piece&& event, TimePoint)
{
    bool isNext = m_base + event.index == m_delivered;
    if (event.leg.attempt != m_attempt || !isAnswering() || m_status == 0 || !isNext)
        return;
    deliverHeadOnce();
    m_resumes = 0;
    m_endsEvent = event.endsEvent;
    act(DeliverPiece { m_delivered, std::move(event.bytes) });
    ++m_delivered;
}

void RequestMachine::on(StreamEnded&& event, TimePoint now)
{
    if (event.leg.attempt != m_attempt || !isAnswering() || m_status == 0)
        return;
    if (m_base + event.count == m_delivered) {
        finishWhole();
        return;
    }
    // Pieces are missing. For a former connection, a resume is already in progress.
    if (isCurrent(event.leg))
        connectionLost(now);
}

void RequestMachine::on(StreamBroken&& event, TimePoint now)
{
    if (isCurrent(event.leg) && isAnswering())
        connectionLost(now);
}

void RequestMachine::on(SilentConnection&& event, TimePoint now)
{
    if (!isCurrent(event.leg))
        return;
    if (m_phase == Phase::Connecting)
        retryOrFinish(now, Core::ErrorCode::Unavailable, "No target could be reached.");
    else if (isAnswering())
        connectionLost(now);
}

void RequestMachine::on(ResumeAccepted&& event, TimePoint)
{
    if (m_phase == Phase::Resuming && isCurrent(event.leg))
        m_phase = m_status == 0 ? Phase::AwaitingHead : Phase::Streaming;
}

void RequestMachine::on(ResumeUnknown&& event, TimePoint now)
{
    if (m_phase == Phase::Resuming && isCurrent(event.leg))
        attemptLost(now);
}

void RequestMachine::on(CancelAcknowledged&& event, TimePoint now)
{
    if (m_phase != Phase::Fencing || event.attempt != m_attempt)
        return;
    // An incarnation never reappears: if the one known before the write answers after it, no other one can have
    // received the request.
    bool isSameTarget = !m_targetIncarnation.empty() && event.targetIncarnation == m_targetIncarnation;
    if (event.outcome != CancelOutcome::NeverSeen || !isSameTarget) {
        finishWith(Core::ErrorCode::Unavailable, "The target was lost after the request had been sent to it.");
        return;
    }
    m_wasWritten = false;
    retryOrFinish(now, Core::ErrorCode::Unavailable, "The target was lost before the request reached it.");
}

void RequestMachine::on(HomeAnswered&& event, TimePoint)
{
    if (!m_profile.goesToHome || event.leg.attempt != m_attempt || !isAnswering())
        return;
    // The home's verdict covers every send of the ticket. Only pieces already delivered to this caller can contradict it.
    Core::Error error = std::move(event.error);
    if (m_delivered > 0)
        error.verdict = Core::combine(error.verdict, Core::Verdict::MayHaveRun);
    m_phase = Phase::Finished;
    act(Finish { error.verdict, std::move(error), event.retryAfter });
}

void RequestMachine::on(CallerGone&&, TimePoint)
{
    if (m_profile.outlivesCaller)
        return;
    cancelAttempt(false);
    finishWith(Core::ErrorCode::Canceled, "The caller went away.");
}

void RequestMachine::on(DeadlineReached&&, TimePoint now)
{
    // A timer that fires early changes nothing.
    if (now < m_profile.deadline)
        return;
    cancelAttempt(false);
    finishWith(Core::ErrorCode::Timeout, "The deadline passed.");
}

void RequestMachine::on(ShutdownForced&&, TimePoint)
{
    cancelAttempt(false);
    finishWith(Core::ErrorCode::Unavailable, "The daemon had to stop before the request ended.");
}

/// The connection ended or is dead before the answer was complete.
void RequestMachine::connectionLost(TimePoint now)
{
    if (m_profile.canResume && m_resumes < m_profile.maxResumes && now < m_profile.deadline) {
        resume();
        return;
    }
    attemptLost(now);
}

void RequestMachine::resume()
{
    std::chrono::milliseconds delay = delayAfter(m_resumes);
    ++m_resumes;
    ++m_connection;
    m_phase = Phase::Resuming;
    act(Resume { Leg { m_attempt, m_connection }, m_target, m_delivered - m_base, delay });
}

/// The attempt can't be completed: retries it, continues on another target, asks whether it ran, or fails the request.
void RequestMachine::attemptLost(TimePoint now)
{
    constexpr std::string_view message = "The target was lost after the request had been sent to it.";
    bool isRepeatable = m_profile.isRepeatable || m_profile.goesToHome;
    if (m_delivered == 0 && !isRepeatable && m_profile.canCancel && now < m_profile.deadline) {
        m_phase = Phase::Fencing;
        cancelAttempt(true);
        return;
    }
    cancelAttempt(false);
    bool mayGoOn = m_delivered == 0 ? isRepeatable : mayContinue();
    if (!mayGoOn) {
        finishWith(Core::ErrorCode::Unavailable, message);
        return;
    }
    m_mayHaveRunBefore = true;
    retryOrFinish(now, Core::ErrorCode::Unavailable, message);
}

/// Starts the next attempt. Returns false when the deadline forbids it; the request is finished then.
bool RequestMachine::startAttempt(TimePoint now, bool isWhole)
{
    if (now >= m_profile.deadline) {
        finishWith(Core::ErrorCode::Timeout, "The deadline passed.");
        return false;
    }
    if (!m_target.empty() && !m_profile.goesToHome)
        m_excluded.push_back(std::move(m_target));
    m_target.clear();
    std::chrono::milliseconds delay = m_profile.goesToHome ? delayAfter(m_attempt) : std::chrono::milliseconds(0);
    ++m_attempt;
    m_allowance.begin();
    m_isAtPeer = false;
    m_hasPeerSent = false;
    m_granted = 0;
    m_connection = 1;
    m_resumes = 0;
    m_status = 0;
    m_wasWritten = false;
    m_keepsPrompt = false;
    m_base = m_delivered;
    m_phase = Phase::Connecting;
    if (m_delivered > 0)
        act(Continue { m_attempt, m_excluded, m_delivered });
    else
        act(Dispatch { m_attempt, m_excluded, delay, isWhole });
    return true;
}

void RequestMachine::retryOrFinish(TimePoint now, Core::ErrorCode code, std::string_view message)
{
    if (now >= m_profile.deadline) {
        finishWith(Core::ErrorCode::Timeout, "The deadline passed.");
        return;
    }
    if (!mayRetry(now)) {
        finishWith(code, message);
        return;
    }
    startAttempt(now);
}

/// Takes the sends of another attempt from the budget. Targets that share an allowance count each send beyond a request's
/// first, so recomputing a prompt is one send and the run is another.
bool RequestMachine::mayRetry(TimePoint now)
{
    return m_allowance.left() > 0 && m_budget->take(now, 1 + repeatedPrompts());
}

void RequestMachine::deliverHeadOnce()
{
    if (m_headDelivered)
        return;
    m_headDelivered = true;
    act(DeliverHead { m_attempt, m_status });
}

void RequestMachine::cancelAttempt(bool needsOutcome)
{
    if (m_wasWritten && m_profile.canCancel)
        act(CancelAtTarget { m_attempt, m_target, needsOutcome });
}

void RequestMachine::finishWhole()
{
    deliverHeadOnce();
    m_phase = Phase::Finished;
    Core::Verdict verdict = m_status < firstServerError ? Core::Verdict::Ran : Core::Verdict::MayHaveRun;
    act(Finish { verdict, std::nullopt, {} });
}

void RequestMachine::finishWith(Core::ErrorCode code, std::string_view message, std::chrono::milliseconds retryAfter)
{
    m_phase = Phase::Finished;
    act(Finish { verdict(), Core::Error { code, std::string(message), verdict() }, retryAfter });
}

}
