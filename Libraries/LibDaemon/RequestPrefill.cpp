// The part of RequestRunner that runs a prefill on a separate target and keeps or releases its KV cache.

#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/RequestRunner.h>
#include <LibDaemon/TargetOutcomes.h>
#include <boost/asio/co_spawn.hpp>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

}

boost::asio::awaitable<Core::Result<std::string>> RequestRunner::prefill(LegPointer leg, std::optional<Request::PromptEnd>& end)
{
    FleetTarget const* target = targetOf(m_target);
    Core::Result<std::unique_ptr<Http::Exchange>> connected = co_await m_context.client.connect(target->endpoint, Http::ConnectionChoice::Kept, leg->connecting, m_work.requestId);
    if (connected.has_error() && connected.error().code != Core::ErrorCode::Canceled)
        noteOutcome(Routing::TargetOutcome::Unreachable);
    if (connected.has_error())
        co_return Core::Result<std::string>(connected.error());
    if (leg->isAbandoned)
        co_return Core::Result<std::string>(Core::makeError(Core::ErrorCode::Canceled, "the attempt was abandoned"));
    // Owned by the leg, so that abandoning the attempt also ends the prefill.
    leg->exchange = std::move(connected.value());
    m_context.metrics.countConnection(leg->exchange->isOnKeptConnection());
    if (!leg->exchange->isOnKeptConnection())
        m_context.dispatcher.paths().note(target->key, Routing::PathEvidence::Connected);
    if (std::optional<Core::Error> refusal = sendingError())
        co_return Core::Result<std::string>(std::move(*refusal));
    if (!maySend())
        co_return Core::Result<std::string>(Core::makeError(Core::ErrorCode::Canceled, "the caller left before the prompt was written"));
    // The target may meanwhile have announced that it leaves or accepts no requests for now.
    if (!m_context.dispatcher.mayWrite(*target, m_placement))
        co_return Core::Result<std::string>(Core::makeError(Core::ErrorCode::Unavailable, "the target was closed before the prompt was written"));
    leg->exchange->setHeadTimeout(timeLeft() + deadlineSlack);
    beginRun(*target, RunStep::Prompt);
    TargetSend send = sendOf(leg->leg.attempt);
    Clock::time_point sentAt = Clock::now();
    watchPrompt(leg, sentAt);
    Http::Request request = m_context.targets.prefillRequest(m_work, send);
    Core::Result<void> started = co_await sendAndReadHead(leg, std::move(request), send);
    if (started.has_value() || started.error().verdict != Core::Verdict::NotRun)
        end = Request::PromptEnd::Lost;
    if (started.has_error())
        leg->overdueTimer.cancel();
    if (started.has_error() && !leg->isAbandoned) {
        noteOutcome(Routing::TargetOutcome::Broken);
        notePrefillBroken(started.error());
        co_return Core::Result<std::string>(started.error());
    }
    if (leg->isAbandoned)
        co_return Core::Result<std::string>(Core::makeError(Core::ErrorCode::Canceled, "the attempt was abandoned"));
    Core::Result<Http::Response> response = co_await Http::readWhole(*leg->exchange, bufferedBodyLimit);
    leg->overdueTimer.cancel();
    if (leg->isAbandoned)
        co_return Core::Result<std::string>(Core::makeError(Core::ErrorCode::Canceled, "the attempt was abandoned"));
    if (response.has_error()) {
        noteOutcome(Routing::TargetOutcome::Broken);
        notePrefillBroken(response.error());
        co_return Core::Result<std::string>(response.error());
    }
    // A completed prefill does not clear the request: its output may still crash a target.
    finishRun();
    Core::Result<std::string> kvSource = m_context.targets.readPrefill(*target, m_work, response.value());
    noteOutcome(outcomeOf(kvSource));
    if (kvSource.has_error())
        end = kvSource.error().verdict == Core::Verdict::NotRun ? Request::PromptEnd::Refused : Request::PromptEnd::Failed;
    if (kvSource.has_error() && kvSource.error().code == Core::ErrorCode::NotFound)
        noteEnded(*target, "replaced");
    if (kvSource.has_value())
        m_context.dispatcher.notePromptTime(m_placement, Clock::now() - sentAt);
    co_return kvSource;
}

// A target that is merely busy has work open, which moves the limit further.
void RequestRunner::watchPrompt(LegPointer const& leg, Clock::time_point sentAt)
{
    std::optional<std::chrono::milliseconds> limit;
    if (m_context.settings.limits.repeatsOverduePrompts)
        limit = m_context.dispatcher.overdueAfter(m_placement);
    if (!limit)
        return;
    leg->overdueTimer.expires_at(sentAt + *limit);
    leg->overdueTimer.async_wait([weak = weak_from_this(), weakLeg = std::weak_ptr<UpstreamLeg>(leg), sentAt](boost::system::error_code ec) {
        std::shared_ptr<RequestRunner> self = weak.lock();
        LegPointer leg = weakLeg.lock();
        if (ec || !self || !leg || leg->isAbandoned || self->m_machine.isFinished())
            return;
        std::optional<std::chrono::milliseconds> limit = self->m_context.dispatcher.overdueAfter(self->m_placement);
        Clock::duration waited = Clock::now() - sentAt;
        bool isOverdue = limit && waited >= *limit;
        // A repeat takes about half of the limit.
        if (isOverdue && self->timeLeft() > *limit / 2)
            self->giveUpPrompt(leg, waited, *limit);
        else if (!isOverdue)
            self->watchPrompt(leg, sentAt);
    });
}

// The machine decides whether the prompt is repeated; the attempt that it then starts closes this one's connection at once.
void RequestRunner::giveUpPrompt(LegPointer const& leg, Clock::duration waited, std::chrono::milliseconds limit)
{
    m_context.dispatcher.notePromptGivenUp(m_placement, waited);
    m_context.metrics.countOverduePrompt();
    Core::logEvent(Core::Severity::Info, Core::Event::PromptOverdue, { { "request", m_work.requestId }, { "work_key", toLogText(m_work.key) }, { "work", m_work.name }, { "target", m_target }, { "waited_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(waited).count()) }, { "limit_ms", std::to_string(limit.count()) }, { "left_ms", std::to_string(timeLeft().count()) } });
    post(Request::PromptOverdue { leg->leg });
}

void RequestRunner::notePrefillBroken(Core::Error const& error)
{
    if (error.verdict != Core::Verdict::NotRun && error.code == Core::ErrorCode::Unavailable)
        breakOffRun();
    else
        finishRun();
}

// Computing a prompt has no side effects, so that a repeat is safe; the machine decides whether to make one. Without an `end`, no target
// was sent the prompt.
void RequestRunner::postPrefillFailure(LegPointer const& leg, std::optional<Request::PromptEnd> end, Core::Error const& error)
{
    Core::logEvent(Core::Severity::Warning, Core::Event::AttemptFailed, { { "request", m_work.requestId }, { "work_key", toLogText(m_work.key) }, { "target", m_target }, { "step", "prefill" }, { "verdict", std::string(Core::toString(error.verdict)) }, { "error", error.message } });
    if (end)
        post(Request::PromptFailed { leg->leg, *end });
    else
        post(Request::ConnectFailed { leg->leg });
}

// An unused KV cache occupies memory at its target until it expires there.
void RequestRunner::dropKv()
{
    std::string source = std::exchange(m_kvSource, std::string());
    if (source.empty() || !m_context.targets.releaseKv)
        return;
    boost::asio::co_spawn(m_context.context, [self = shared_from_this(), holder = m_kvHolder, source]() { return self->releaseKv(holder, source); }, Core::logUncaughtException);
}

boost::asio::awaitable<void> RequestRunner::releaseKv(boost::asio::ip::tcp::endpoint holder, std::string kvSource)
{
    Core::Result<Http::Response> response = co_await m_context.client.fetch(holder, m_context.targets.releaseKv(kvSource), bufferedBodyLimit);
    if (response.has_error())
        Core::logEvent(Core::Severity::Debug, Core::Event::AttemptFailed, { { "request", m_work.requestId }, { "step", "release-kv" }, { "error", response.error().message } });
}

// Lets the next attempt decode from the KV cache that this one did not use. Returns whether there is one.
bool RequestRunner::keepPrompt()
{
    m_keepsPrompt = !m_kvSource.empty();
    return m_keepsPrompt;
}

}
