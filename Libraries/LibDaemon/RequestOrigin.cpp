// The part of RequestRunner that keeps a stream at the release that began it: docs/design/stream-releases.md.

#include <LibCore/EventLog.h>
#include <LibDaemon/RequestRunner.h>
#include <algorithm>
#include <boost/asio/post.hpp>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

// A record of a stream is in the store some tenths of a second after the stream began, so that one that is not found is looked for again.
constexpr std::chrono::milliseconds longestOriginWait { 400 };
constexpr std::chrono::milliseconds originRetryPause { 150 };
constexpr int originWaitDivisor = 4; ///< Of the time that the request has left.

}

// A request that resumes a stream goes on behind what another one has brought.
bool RequestRunner::goesOn() const
{
    return m_machine.deliveredPieces() > 0 || m_work.resumption;
}

std::string const& RequestRunner::streamId() const
{
    return m_work.resumption && !(m_work.isRelayed && m_work.resumption->streamId.empty()) ? m_work.resumption->streamId : m_work.requestId;
}

// Only streams that may go on elsewhere depend on who writes their events.
StreamPlacement RequestRunner::streamPlacement() const
{
    if (!m_work.mayContinue)
        return {};
    if (!goesOn())
        return { StreamPlacement::Kind::Begins, {} };
    return { StreamPlacement::Kind::GoesOn, m_origin ? m_origin->release : std::string() };
}

boost::asio::awaitable<void> RequestRunner::findOrigin(LegPointer leg)
{
    if (m_work.streamRelease) {
        m_origin = Streams::StreamOrigin { m_work.name, *m_work.streamRelease };
        m_originSource = OriginSource::Peer;
        co_return;
    }
    OriginQuestion question { std::nullopt, m_work.name, m_work.isServiceDrawn };
    if (!streamId().empty())
        question.stream = Streams::streamKeyOf(streamId());
    Clock::time_point askedAt = Clock::now();
    std::chrono::milliseconds longestWait = std::min(longestOriginWait, timeLeft() / originWaitDivisor);
    while (!leg->isAbandoned) {
        std::optional<Streams::OriginWindow::Entry> known = question.stream ? m_context.origins.find(*question.stream) : std::nullopt;
        if (known) {
            m_origin = known->origin;
            m_originSource = OriginSource::Memory;
            m_originNotedAt = known->notedAt;
            co_return;
        }
        OriginAnswer answer = co_await askForOrigin(question);
        if (leg->isAbandoned)
            co_return;
        m_isOriginRead = answer.isRead;
        if (answer.origin) {
            m_origin = std::move(answer.origin);
            m_originSource = answer.source;
            co_return;
        }
        if (Clock::now() - askedAt + originRetryPause > longestWait)
            co_return;
        co_await wait(originRetryPause);
    }
}

boost::asio::awaitable<OriginAnswer> RequestRunner::askForOrigin(OriginQuestion const& question)
{
    // What the answer is put into outlives this request.
    struct Slot {
        Signal signal;
        OriginAnswer answer;
    };
    if (!m_context.findOrigin)
        co_return OriginAnswer();
    boost::asio::any_io_executor executor = m_context.context.get_executor();
    std::shared_ptr<Slot> slot = std::make_shared<Slot>(Slot { Signal(executor), {} });
    m_context.findOrigin(question, [executor, slot](OriginAnswer const& answer) {
        boost::asio::post(executor, [slot, answer] {
            slot->answer = answer;
            slot->signal.notify();
        });
    });
    co_await slot->signal.wait();
    co_return slot->answer;
}

// Returns why the stream cannot go on now, if it cannot.
std::optional<StreamRefusal> RequestRunner::whyStreamCannotGoOn() const
{
    if (!m_work.mayContinue || !goesOn())
        return std::nullopt;
    if (!m_origin)
        return m_work.resumption && !m_isOriginRead ? StreamRefusal::Unread : StreamRefusal::Unknown;
    if (!m_origin->isKnown() || m_origin->service != m_work.name)
        return StreamRefusal::Unknown;
    bool isAnyLeft = std::any_of(m_allowed.begin(), m_allowed.end(), [this](std::uint32_t position) {
        FleetTarget const& target = m_fleet->targets[position];
        return target.streamRelease == m_origin->release && !target.isLeaving;
    });
    return isAnyLeft ? std::nullopt : std::optional<StreamRefusal>(StreamRefusal::NoTarget);
}

// Returns whether the attempt has ended.
bool RequestRunner::finishIfStreamCannotGoOn(LegPointer const& leg)
{
    std::optional<StreamRefusal> refusal = whyStreamCannotGoOn();
    if (!refusal)
        return false;
    std::string message = *refusal == StreamRefusal::NoTarget ? "No target is left of the release that began the stream." : "It is not known which release began the stream.";
    m_context.metrics.countRefusedStream(*refusal);
    Core::logEvent(Core::Severity::Warning, Core::Event::StreamRefused, { { "request", m_work.requestId }, { "stream", streamId() }, { "reason", std::string(Core::nameOf(streamRefusalNames, *refusal)) }, { "release", m_origin && m_origin->isKnown() ? m_origin->release : "-" }, { "waited_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_startedAt).count()) } });
    post(Request::NoTarget { leg->leg.attempt, Core::makeError(Core::ErrorCode::Unavailable, std::move(message)), {} });
    return true;
}

// Call before the first piece of an answer is delivered. A stream that a caller resumes keeps the origin that it was placed by.
void RequestRunner::noteStreamBegun()
{
    if (!m_work.mayContinue)
        return;
    if (!m_origin) {
        FleetTarget const* target = targetOf(m_target);
        m_origin = Streams::StreamOrigin { m_work.name, m_isAtPeer ? m_peerRelease : target ? target->streamRelease
                                                                                            : std::string() };
    }
    m_originSource = OriginSource::Answer;
    m_originNotedAt = Core::BootClock::now();
    // A peer that passed the request on may lose this answer and begin the stream elsewhere; it notes what its caller gets.
    if (!streamId().empty() && !m_work.isRelayed)
        m_context.origins.note({ Streams::streamKeyOf(streamId()), *m_origin }, m_originNotedAt);
}

void RequestRunner::noteContinued() const
{
    if (!goesOn())
        return;
    bool isWithinAnswer = m_machine.deliveredPieces() > 0;
    ContinuedIn where = isWithinAnswer ? ContinuedIn::SameAnswer : ContinuedIn::FurtherAnswer;
    m_context.metrics.countContinued(where);
    FleetTarget const* to = targetOf(m_target);
    std::string const& lastEventId = isWithinAnswer ? m_lastEventId : m_work.resumption->lastEventId;
    bool hasAge = m_originNotedAt != Core::BootClock::time_point();
    std::string age = hasAge ? std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(Core::BootClock::now() - m_originNotedAt).count()) : "-";
    Core::logEvent(Core::Severity::Info, Core::Event::StreamContinued, { { "request", m_work.requestId }, { "stream", streamId() }, { "in", std::string(Core::nameOf(continuedInNames, where)) }, { "last_event", lastEventId }, { "from", m_streamTarget.empty() ? "-" : m_streamTarget }, { "from_release", m_origin && m_origin->isKnown() ? m_origin->release : "-" }, { "to", m_target }, { "to_release", to && !to->streamRelease.empty() ? to->streamRelease : "-" }, { "known_by", m_origin ? std::string(Core::nameOf(originSourceNames, m_originSource)) : "-" }, { "age_ms", age } });
}

}
