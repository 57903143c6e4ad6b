// The part of RequestRunner that detects requests which crash their targets, and refuses quarantined ones.

#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/CallerShared.h>
#include <LibDaemon/RequestRunner.h>
#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <charconv>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

// Only a new release of the targets' software lifts the quarantine, and deploying one takes minutes.
constexpr std::chrono::milliseconds retryAfterQuarantine { 60'000 };
// Several targets may end within seconds, each time before it is known.
constexpr std::size_t maxWitnesses = 3;
constexpr std::uint16_t noContent = 204;
constexpr std::uint16_t notModified = 304;

}

std::string RequestRunner::partsText(std::vector<std::uint64_t> const& parts)
{
    std::string text;
    for (std::uint64_t part : parts) {
        std::array<char, 2 * sizeof(part)> digits {};
        std::to_chars_result written = std::to_chars(digits.data(), digits.data() + digits.size(), part, 16);
        text += (text.empty() ? "" : ",") + std::string(digits.data(), written.ptr);
    }
    return text.empty() ? "-" : text;
}

// Called before each send: why nothing of the request may go to a target now.
std::optional<Core::Error> RequestRunner::sendingError() const
{
    if (m_context.shared.isLeaving) {
        std::chrono::duration<double> expected { m_context.dispatcher.expectedOutputSeconds(*m_fleet, m_work.name, m_work.shape) };
        if (!m_context.shared.leaveTimes.maySend(timeLeft(), expected, std::chrono::steady_clock::now()))
            return Core::makeError(Core::ErrorCode::Unavailable, "This daemon is stopping, and would end before the answer does.");
    }
    return quarantineError();
}

std::optional<Core::Error> RequestRunner::quarantineError() const
{
    for (std::size_t n = 0; n < m_parts.size(); ++n) {
        Quarantine::Guard::Disposition disposition = m_context.guard.disposition(m_parts[n]);
        if (disposition == Quarantine::Guard::Disposition::Exclusive && m_context.guard.isOpen(m_parts[n]))
            return Core::makeError(Core::ErrorCode::Unavailable, "A request with the same part of a prompt is being run, and targets have ended while they began to answer such.");
        if (disposition == Quarantine::Guard::Disposition::Refused)
            return Core::makeError(Core::ErrorCode::Quarantined, "Part " + partsText({ m_work.sharedParts[n] }) + " of this prompt has ended several targets that began to answer it. Requests with it are not run until the targets' software is replaced.");
    }
    switch (m_context.guard.disposition(m_work.key)) {
    case Quarantine::Guard::Disposition::Open:
        return std::nullopt;
    case Quarantine::Guard::Disposition::Exclusive:
        if (!m_context.guard.isOpen(m_work.key))
            return std::nullopt;
        return Core::makeError(Core::ErrorCode::Unavailable, "The same request is being run, and targets have ended while they ran it.");
    case Quarantine::Guard::Disposition::Refused:
        break;
    }
    return Core::makeError(Core::ErrorCode::Quarantined, "This request has ended several targets that ran it. It is not run until their software is replaced.");
}

// Returns whether the attempt was ended.
bool RequestRunner::finishIfNotSendable(LegPointer const& leg)
{
    std::optional<Core::Error> error = sendingError();
    if (!error)
        return false;
    std::chrono::milliseconds retryAfter = error->code == Core::ErrorCode::Quarantined ? retryAfterQuarantine : std::chrono::milliseconds(0);
    post(Request::NoTarget { leg->leg.attempt, std::move(*error), retryAfter });
    return true;
}

void RequestRunner::excludeOtherSuspects(std::vector<std::string>& excluded) const
{
    std::set<std::uint64_t> suspectTargets = m_context.guard.targetsOfOtherSuspects(m_work.key);
    if (suspectTargets.empty())
        return;
    for (FleetTarget const& target : m_fleet->targets) {
        if (suspectTargets.contains(target.key))
            excluded.push_back(target.name);
    }
}

// A prompt that was computed shows nothing of its parts: a target may end on one as it begins to write the answer.
void RequestRunner::beginRun(FleetTarget const& target, RunStep step)
{
    finishRun();
    Quarantine::SuspectTarget suspect { target.key, target.work(), target.release, target.name };
    m_run = m_context.guard.begin(m_work.key, suspect, Clock::now());
    if (step == RunStep::Prompt)
        return;
    for (Quarantine::WorkKey const& part : m_parts)
        m_partRuns.push_back(m_context.guard.beginPart(part, suspect, Clock::now()));
}

// Clears the parts at once, also if the target ends later: what it ends on then is not what it began with.
void RequestRunner::noteAnswerBegun()
{
    m_hasEvent = true;
    std::vector<Quarantine::RunTable::Id> runs = std::exchange(m_partRuns, {});
    for (std::size_t n = 0; n < runs.size(); ++n) {
        if (m_context.guard.noteBegun(runs[n], Clock::now()))
            m_context.onFindings({}, m_parts[n]);
    }
}

void RequestRunner::finishRun()
{
    for (Quarantine::RunTable::Id run : std::exchange(m_partRuns, {}))
        m_context.guard.finish(run);
    m_context.guard.finish(std::exchange(m_run, 0));
}

// A response delimited by the end of its connection looks the same when the target crashes.
void RequestRunner::noteAnswerEnd(Http::ResponseHead const& head, bool isWhole)
{
    // RFC 9112, section 6.3: these have no body.
    bool isBodiless = m_work.upstream.method == "HEAD" || head.status == noContent || head.status == notModified;
    bool hasFraming = isBodiless || head.fields.find("Content-Length") || head.fields.find("Transfer-Encoding");
    if (!hasFraming || !isWhole) {
        breakOffRun();
        return;
    }
    noteAnswerBegun();
    Quarantine::RunTable::Id run = std::exchange(m_run, 0);
    if (run != 0 && m_context.guard.finishSuccessfully(run, Clock::now()))
        m_context.onFindings({}, m_work.key);
}

void RequestRunner::breakOffRun()
{
    FleetTarget const* target = targetOf(m_target);
    if (m_run == 0 || !target) {
        finishRun();
        return;
    }
    Core::logEvent(Core::Severity::Info, Core::Event::RunBroken, { { "request", m_work.requestId }, { "work_key", toLogText(m_work.key) }, { "target", target->name }, { "has_begun", m_hasEvent ? "yes" : "no" }, { "parts", partsText(m_work.sharedParts) } });
    // A target that announced its shutdown was not ended by a request.
    if (target->isLeaving) {
        finishRun();
        return;
    }
    std::vector<Quarantine::RunTable::Id> runs = std::exchange(m_partRuns, {});
    runs.push_back(std::exchange(m_run, 0));
    bool needsProbe = false;
    for (Quarantine::RunTable::Id run : runs) {
        Quarantine::Guard::ConnectionLoss broken = m_context.guard.noteConnectionLost(run, Clock::now());
        if (!broken.findings.empty())
            m_context.onFindings(broken.findings, std::nullopt);
        needsProbe = needsProbe || broken.needsProbe;
    }
    if (!needsProbe)
        return;
    boost::asio::co_spawn(
        m_context.context, [self = shared_from_this(), copy = *target] { return self->probeTarget(copy); }, Core::logUncaughtException);
}

// An address that refuses connections shows that the target has crashed. One that takes them shows nothing: the target's next process
// may listen there already.
boost::asio::awaitable<void> RequestRunner::probeTarget(FleetTarget target)
{
    Clock::time_point begunAt = Clock::now();
    Http::Reach reach = co_await m_context.client.reach(target.endpoint);
    std::chrono::milliseconds breakAge = std::chrono::ceil<std::chrono::milliseconds>(Clock::now() - begunAt);
    Core::logEvent(Core::Severity::Info, Core::Event::TargetProbed, { { "target", target.name }, { "key", std::to_string(target.key) }, { "reach", std::string(Core::nameOf(Http::reachNames, reach)) }, { "break_age_ms", std::to_string(breakAge.count()) } });
    if (reach == Http::Reach::Reached)
        m_context.dispatcher.paths().note(target.key, Routing::PathEvidence::Connected);
    else
        m_context.dispatcher.noteOutcome(target.key, Routing::TargetOutcome::Unreachable);
    if (reach == Http::Reach::Refused && co_await reachesAnother(target))
        noteEnded(target, "refused");
    else
        m_context.guard.noteUnknown(target.key);
}

// Whether this daemon can connect to any other target of the service, or there is none to compare with. A path that resets connections
// looks like a host where nothing listens.
boost::asio::awaitable<bool> RequestRunner::reachesAnother(FleetTarget target)
{
    std::vector<FleetTarget const*> others;
    for (FleetTarget const& it : m_context.fleet->targets) {
        if (it.work() == target.work() && it.key != target.key && !it.isClosed())
            others.push_back(&it);
    }
    if (others.empty())
        co_return true;
    std::size_t first = std::hash<std::string>()(m_work.requestId) % others.size();
    std::size_t count = std::min(others.size(), maxWitnesses);
    std::vector<std::pair<std::uint64_t, boost::asio::ip::tcp::endpoint>> witnesses;
    for (std::size_t n = 0; n < count; ++n) {
        FleetTarget const& witness = *others[(first + n) % others.size()];
        witnesses.emplace_back(witness.key, witness.endpoint);
    }
    for (std::pair<std::uint64_t, boost::asio::ip::tcp::endpoint> const& it : witnesses) {
        bool isReached = co_await m_context.client.reach(it.second) == Http::Reach::Reached;
        m_context.dispatcher.paths().note(it.first, isReached ? Routing::PathEvidence::Connected : Routing::PathEvidence::Unreachable);
        if (isReached)
            co_return true;
    }
    co_return false;
}

void RequestRunner::noteEnded(FleetTarget const& target, std::string_view sign)
{
    std::vector<Quarantine::Finding> findings = m_context.guard.noteEnded(target.key, Clock::now());
    if (findings.empty())
        return;
    Core::logEvent(Core::Severity::Warning, Core::Event::TargetEnded, { { "target", target.name }, { "sign", std::string(sign) }, { "requests", std::to_string(findings.size()) } });
    m_context.onFindings(findings, std::nullopt);
}

}
