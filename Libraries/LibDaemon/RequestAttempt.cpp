// The coroutines of RequestRunner that drive one attempt: placement, prefill, connection and answer.

#include <LibCore/EventLog.h>
#include <LibDaemon/EventSplitter.h>
#include <LibDaemon/RequestRunner.h>
#include <LibPlatform/Json.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds eventHeadTimeout { 10'000 };
constexpr std::chrono::milliseconds eventTimeout { 5'000 };
// A live engine answers at once whether it knows a stream; the caller waits while a dead one does not.
constexpr std::chrono::milliseconds resumeHeadTimeout { 2'000 };
constexpr std::size_t wholeBodyLimit = 256U * 1024;
constexpr std::size_t mostWaitingEvents = 256;
constexpr std::string_view refusalCode = "not-serving";

bool isEventStream(Http::ResponseHead const& head)
{
    return head.fields.find("Content-Type").value_or("").starts_with("text/event-stream");
}

bool isRefusal(std::string_view body)
{
    Core::Result<boost::json::object> object = Platform::parseObject(body);
    if (object.has_error())
        return false;
    boost::json::value const* error = object.value().if_contains("error");
    return error && error->is_object() && Platform::stringOf(error->get_object(), "code") == refusalCode;
}

}

boost::asio::awaitable<void> RequestRunner::wait(std::chrono::milliseconds duration)
{
    boost::asio::steady_timer timer(m_context.context, duration);
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

boost::asio::awaitable<void> RequestRunner::postWithRoom(Request::RequestEvent event)
{
    while (m_events.size() >= mostWaitingEvents && !m_machine.isFinished())
        co_await m_roomSignal.wait();
    post(std::move(event));
}

boost::asio::awaitable<PlacementOutcome> RequestRunner::place(std::vector<std::string> excluded, Routing::Phase phase)
{
    PlacementRequest request;
    request.requestId = m_work.requestId;
    request.organisation = m_work.organisation;
    request.work = m_work.name;
    request.priority = m_work.priority;
    request.shape = m_work.shape;
    request.shape.phase = phase;
    request.prefix = m_work.prefix;
    request.fleet = m_fleet;
    request.allowed = m_allowed;
    request.excluded = std::move(excluded);
    request.latestStart = m_machine.deadline();
    m_placement = m_context.dispatcher.nextId();
    co_return co_await m_context.dispatcher.place(std::move(request), m_context.context.get_executor(), m_placement);
}

boost::asio::awaitable<void> RequestRunner::runAttempt(LegPointer leg, std::vector<std::string> excluded, std::chrono::milliseconds delay)
{
    if (delay.count() > 0)
        co_await wait(delay);
    if (leg->isAbandoned || !co_await placeAttempt(leg, std::move(excluded)))
        co_return;
    FleetTarget const* target = targetOf(m_target);
    post(Request::TargetPicked { leg->leg.attempt, m_target });
    if (!co_await connect(leg, *target))
        co_return;
    post(Request::Connected { leg->leg, target->incarnation });
    co_await leg->goAhead.wait();
    if (leg->isAbandoned)
        co_return;
    if (m_work.kind == Work::Kind::Model && m_work.isStreamed)
        leg->exchange->setHeadTimeout(eventHeadTimeout);
    else
        leg->exchange->setHeadTimeout(m_work.timeout);
    Http::Request request = upstreamRequest(leg->leg.attempt);
    Core::Result<void> started = co_await leg->exchange->start(request);
    if (leg->isAbandoned)
        co_return;
    if (started.has_error()) {
        postFailure(leg, started.error());
        co_return;
    }
    co_await readAnswer(leg, 0);
}

// Finds the attempt's target; on a prefill target it also has the prompt computed, and then finds the target
// that decodes. Returns false when the attempt has ended here.
boost::asio::awaitable<bool> RequestRunner::placeAttempt(LegPointer leg, std::vector<std::string> excluded)
{
    Routing::Phase phase = m_work.kind == Work::Kind::Model ? Routing::Phase::WholeOrPrefill : Routing::Phase::Whole;
    m_kvSource.clear();
    while (true) {
        PlacementOutcome outcome = co_await place(excluded, phase);
        if (leg->isAbandoned)
            co_return false;
        logDecision(leg->leg.attempt, outcome);
        if (!outcome.position) {
            m_placement = 0;
            post(Request::NoTarget { leg->leg.attempt, outcome.error, outcome.retryAfter });
            co_return false;
        }
        m_target = m_fleet->targets[*outcome.position].name;
        if (outcome.decision.role != Routing::TargetRole::Prefill)
            co_return true;
        Core::Result<std::string> handle = co_await prefill(leg);
        if (leg->isAbandoned)
            co_return false;
        releasePlacement();
        if (handle.has_error()) {
            // A prompt computed in vain has no effect, so another target may be tried.
            Core::logEvent(Core::Severity::Warning, Core::Event::AttemptFailed, { { "request", m_work.requestId }, { "target", m_target }, { "step", "prefill" }, { "error", handle.error().message } });
            excluded.push_back(m_target);
            continue;
        }
        m_kvSource = handle.value();
        phase = Routing::Phase::Decode;
    }
}

boost::asio::awaitable<Core::Result<std::string>> RequestRunner::prefill(LegPointer leg)
{
    FleetTarget const* target = targetOf(m_target);
    Http::Request request = upstreamRequest(leg->leg.attempt);
    request.fields.set("X-Request-Id", attemptId(leg->leg.attempt) + ".prefill");
    request.fields.add("X-Phase", "prefill");
    Core::Result<Http::Response> response = co_await m_context.client.fetch(target->endpoint, request);
    if (response.has_error())
        co_return Core::Result<std::string>(response.error());
    Core::Result<boost::json::object> body = Platform::parseObject(response.value().body);
    std::string handle = body.has_value() ? Platform::stringOf(body.value(), "kv") : std::string();
    if (response.value().status != static_cast<std::uint16_t>(Http::Status::Ok) || handle.empty())
        co_return Core::Result<std::string>(Core::makeError(Core::ErrorCode::Unavailable, "the target answered " + std::to_string(response.value().status) + " to a prefill"));
    co_return Http::toString(target->endpoint) + "/" + handle;
}

boost::asio::awaitable<bool> RequestRunner::connect(LegPointer leg, FleetTarget const& target)
{
    Http::ConnectionChoice choice = m_work.isRepeatable ? Http::ConnectionChoice::Kept : Http::ConnectionChoice::Fresh;
    if (leg->leg.connection > 1)
        choice = Http::ConnectionChoice::Fresh;
    Core::Result<std::unique_ptr<Http::Exchange>> connected = co_await m_context.client.connect(target.endpoint, choice, leg->connecting);
    if (leg->isAbandoned)
        co_return false;
    if (connected.has_error()) {
        Core::logEvent(Core::Severity::Warning, Core::Event::AttemptFailed, { { "request", m_work.requestId }, { "target", target.name }, { "step", "connect" }, { "error", connected.error().message } });
        post(Request::ConnectFailed { leg->leg });
        co_return false;
    }
    leg->exchange = std::move(connected.value());
    co_return true;
}

void RequestRunner::postFailure(LegPointer const& leg, Core::Error const& error)
{
    Core::logEvent(Core::Severity::Warning, Core::Event::AttemptFailed, { { "request", m_work.requestId }, { "target", m_target }, { "step", "exchange" }, { "verdict", std::string(Core::toString(error.verdict)) }, { "error", error.message } });
    if (error.verdict == Core::Verdict::NotRun)
        post(Request::ConnectFailed { leg->leg });
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
    if (!co_await connect(leg, *target))
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
    co_await readEvents(leg, resume.from);
}

boost::asio::awaitable<void> RequestRunner::readAnswer(LegPointer leg, std::uint64_t firstIndex)
{
    leg->head = leg->exchange->head();
    if (isEventStream(leg->head)) {
        post(Request::ResponseHead { leg->leg, leg->head.status });
        co_await readEvents(leg, firstIndex);
        co_return;
    }
    co_await readBody(leg);
}

boost::asio::awaitable<void> RequestRunner::readEvents(LegPointer leg, std::uint64_t firstIndex)
{
    leg->exchange->setPieceTimeout(eventTimeout);
    EventSplitter splitter;
    std::uint64_t index = firstIndex;
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
        for (std::string& event : events) {
            // Named: g++ 12 destroys a braced temporary inside a co_await expression twice.
            Request::RequestEvent next = Request::Piece { leg->leg, index, std::move(event), true };
            co_await postWithRoom(std::move(next));
            ++index;
        }
    }
    if (splitter.hasSeenDone() && !splitter.hasPartialEvent())
        post(Request::StreamEnded { leg->leg, index });
    else
        post(Request::StreamBroken { leg->leg });
}

// A body that is small is collected whole before any of it is delivered, so that an attempt which breaks leaves
// the caller with nothing and another one may be made.
boost::asio::awaitable<void> RequestRunner::readBody(LegPointer leg)
{
    leg->exchange->setPieceTimeout(m_work.timeout);
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
        if (body.size() <= wholeBodyLimit)
            continue;
        if (!std::exchange(isHeadPosted, true))
            post(Request::ResponseHead { leg->leg, leg->head.status });
        Request::RequestEvent next = Request::Piece { leg->leg, index++, std::exchange(body, std::string()), false };
        co_await postWithRoom(std::move(next));
    }
    bool isEngine = m_work.kind == Work::Kind::Model;
    if (isEngine && leg->head.status == static_cast<std::uint16_t>(Http::Status::ServiceUnavailable) && isRefusal(body)) {
        post(Request::TargetRefused { leg->leg });
        co_return;
    }
    if (!isHeadPosted)
        post(Request::ResponseHead { leg->leg, leg->head.status });
    if (!body.empty())
        post(Request::Piece { leg->leg, index++, std::move(body), false });
    post(Request::StreamEnded { leg->leg, index });
}

Http::Request RequestRunner::upstreamRequest(std::uint32_t attempt) const
{
    Http::Request request = m_work.upstream;
    request.fields.set("X-Request-Id", attemptId(attempt));
    if (m_work.kind == Work::Kind::Model)
        request.fields.set("X-Priority", std::to_string(m_work.priority));
    if (!m_kvSource.empty())
        request.fields.set("X-KV-Source", m_kvSource);
    return request;
}

}
