#include <LibCore/EventLog.h>
#include <LibDaemon/AnswerSinks.h>
#include <LibDaemon/CallerApi.h>
#include <LibDaemon/HttpErrors.h>
#include <LibRequest/Fingerprint.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <set>
#include <tuple>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::string_view answersPrefix = "/v1/answers/";

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

// Reads `?from=N` (bytes of the answer, the default) or `?from_piece=N`.
Core::Result<Request::AnswerOffset> readOffset(std::string_view target)
{
    Request::AnswerOffset offset { Request::AnswerOffset::Unit::Bytes, 0 };
    std::size_t question = target.find('?');
    if (question == std::string_view::npos)
        return offset;
    std::string_view query = target.substr(question + 1);
    std::size_t equals = query.find('=');
    std::string_view key = query.substr(0, equals);
    std::string_view digits = equals == std::string_view::npos ? std::string_view() : query.substr(equals + 1);
    std::from_chars_result parsed = std::from_chars(digits.data(), digits.data() + digits.size(), offset.value);
    bool isNumber = !digits.empty() && parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
    if (key == "from_piece")
        offset.unit = Request::AnswerOffset::Unit::Pieces;
    if (!isNumber || (key != "from" && key != "from_piece"))
        return Core::fail(Core::ErrorCode::BadInput, "read \"" + std::string(query) + "\"; allowed is from=N in bytes or from_piece=N in pieces");
    return offset;
}

}

CallerApi::CallerApi(TrafficContext& context, CallerShared& shared)
    : m_context(context)
    , m_shared(shared)
{
}

std::string CallerApi::newRequestId()
{
    return m_shared.requestIdPrefix + std::to_string(m_shared.nextRequest.fetch_add(1));
}

boost::asio::awaitable<void> CallerApi::handle(Http::Request& request, Http::ResponseWriter& writer)
{
    std::string_view path = pathOf(request.target);
    bool isRead = request.method == "GET" || request.method == "HEAD";
    if (isRead && path == "/v1/entries")
        std::ignore = co_await writer.send(entries());
    else if (isRead && path == "/v1/models")
        std::ignore = co_await writer.send(models());
    else if (isRead && path.starts_with(answersPrefix))
        co_await collect(request, writer);
    else
        co_await serveWork(request, writer);
}

boost::asio::awaitable<void> CallerApi::sendError(Core::Error error, std::string requestId, bool isRepeatable, Http::ResponseWriter& writer)
{
    Core::logEvent(Core::Severity::Info, Core::Event::RequestRejected, { { "request", requestId }, { "code", std::string(Core::toString(error.code)) }, { "verdict", std::string(Core::toString(error.verdict)) }, { "error", error.message } });
    Request::HttpErrorContext context;
    context.requestId = requestId;
    context.isRepeatable = isRepeatable;
    std::ignore = co_await writer.send(errorResponse(error, context));
}

boost::asio::awaitable<void> CallerApi::serveWork(Http::Request& request, Http::ResponseWriter& writer)
{
    std::string requestId = newRequestId();
    if (!m_context.fleet->isReady) {
        co_await sendError(Core::makeError(Core::ErrorCode::Unavailable, "this daemon has not read the configuration yet"), requestId, false, writer);
        co_return;
    }
    WorkLimits limits { m_context.settings.callers.defaultDeadline, m_context.settings.callers.longestDeadline };
    Core::Result<Work> parsed = parseWork(request, m_context.fleet->view->config(), limits, requestId);
    if (parsed.has_error()) {
        co_await sendError(parsed.error(), requestId, false, writer);
        co_return;
    }
    Work work = std::move(parsed.value());
    if (work.ticket) {
        co_await serveTicket(std::move(work), request, writer);
        co_return;
    }
    if (!work.idempotencyKey.empty()) {
        std::string ticket = m_shared.keeper.issuer().issue(Clock::now());
        std::ignore = co_await writer.send(toResponse(Request::ticketRequired(ticket, requestId), requestId));
        co_return;
    }
    Core::Result<std::vector<std::uint32_t>> allowed = allowedTargets(work);
    if (allowed.has_error()) {
        co_await sendError(allowed.error(), requestId, work.isRepeatable, writer);
        co_return;
    }
    co_await runDirect(std::move(work), std::move(allowed.value()), writer);
}

Core::Result<std::vector<std::uint32_t>> CallerApi::allowedTargets(Work const& work) const
{
    FleetSnapshot const& fleet = *m_context.fleet;
    bool isKnown = false;
    std::vector<std::uint32_t> allowed;
    State::TargetSet selected = fleet.view->allowedTargets(work.labels);
    Platform::VmKind kind = work.kind == Work::Kind::Model ? Platform::VmKind::Engine : Platform::VmKind::Service;
    for (std::uint32_t position = 0; position < fleet.targets.size(); ++position) {
        FleetTarget const& target = fleet.targets[position];
        if (target.kind != kind || target.work() != work.name)
            continue;
        isKnown = true;
        if (selected.contains(position))
            allowed.push_back(position);
    }
    std::string what = (work.kind == Work::Kind::Model ? "model \"" : "service \"") + work.name + "\"";
    if (!isKnown)
        return Core::fail(Core::ErrorCode::NotFound, "unknown " + what);
    if (allowed.empty())
        return Core::fail(Core::ErrorCode::NotAllowed, "no route lets this request go to a target of " + what);
    return allowed;
}

boost::asio::awaitable<void> CallerApi::runDirect(Work work, std::vector<std::uint32_t> allowed, Http::ResponseWriter& writer)
{
    std::shared_ptr<CallerSink> sink = std::make_shared<CallerSink>(writer, work.requestId, work.isRepeatable);
    std::shared_ptr<RequestRunner> runner = std::make_shared<RequestRunner>(m_context, std::move(work), m_context.fleet, std::move(allowed), sink);
    writer.onCallerGone([weak = std::weak_ptr<RequestRunner>(runner)] {
        if (std::shared_ptr<RequestRunner> alive = weak.lock())
            alive->post(Request::CallerGone());
    });
    co_await runner->run();
    writer.onCallerGone(nullptr);
}

boost::asio::awaitable<void> CallerApi::serveTicket(Work work, Http::Request const& request, Http::ResponseWriter& writer)
{
    std::string requestId = work.requestId;
    Core::Result<Request::Ticket> ticket = m_shared.keeper.issuer().verify(*work.ticket);
    if (ticket.has_error()) {
        co_await sendError(ticket.error(), requestId, work.isRepeatable, writer);
        co_return;
    }
    Request::TicketNonce nonce = ticket.value().nonce;
    Request::Fingerprint fingerprint = Request::fingerprintOf(request.method, request.target, request.body);
    Core::Result<Request::OnceDecision> decision = m_shared.keeper.begin(ticket.value(), fingerprint, work.organisation);
    if (decision.has_error()) {
        co_await sendError(decision.error(), requestId, work.isRepeatable, writer);
        co_return;
    }
    if (decision.value() == Request::OnceDecision::Run) {
        Core::Result<std::vector<std::uint32_t>> allowed = allowedTargets(work);
        if (allowed.has_error()) {
            m_shared.keeper.finish(nonce, Request::AnswerEnd { Core::Verdict::NotRun, allowed.error() });
        } else {
            std::shared_ptr<KeeperSink> sink = std::make_shared<KeeperSink>(m_shared.keeper, nonce);
            std::shared_ptr<RequestRunner> runner = std::make_shared<RequestRunner>(m_context, std::move(work), m_context.fleet, std::move(allowed.value()), sink);
            boost::asio::co_spawn(
                m_context.context, [runner] { return runner->run(); }, boost::asio::detached);
        }
    }
    Request::AnswerOffset start { Request::AnswerOffset::Unit::Bytes, 0 };
    co_await follow(nonce, start, requestId, writer);
}

boost::asio::awaitable<void> CallerApi::collect(Http::Request const& request, Http::ResponseWriter& writer)
{
    std::string requestId = newRequestId();
    std::string_view path = pathOf(request.target);
    Core::Result<Request::AnswerOffset> offset = readOffset(request.target);
    if (offset.has_error()) {
        co_await sendError(offset.error(), requestId, true, writer);
        co_return;
    }
    Core::Result<Request::Ticket> ticket = m_shared.keeper.issuer().verify(path.substr(answersPrefix.size()));
    if (ticket.has_error()) {
        co_await sendError(ticket.error(), requestId, true, writer);
        co_return;
    }
    co_await follow(ticket.value().nonce, offset.value(), requestId, writer);
}

// Sends a kept answer from `offset` on, as it grows, to its end.
boost::asio::awaitable<void> CallerApi::follow(Request::TicketNonce nonce, Request::AnswerOffset offset, std::string requestId, Http::ResponseWriter& writer)
{
    CallerSink sink(writer, requestId, false);
    std::shared_ptr<Signal> signal = std::make_shared<Signal>(m_context.context.get_executor());
    bool isCallerGone = false;
    writer.onCallerGone([&isCallerGone, signal] {
        isCallerGone = true;
        signal->notify();
    });
    bool isHeadSent = false;
    while (!isCallerGone) {
        std::function<void()> wake = [signal, executor = m_context.context.get_executor()] {
            boost::asio::post(executor, [signal] { signal->notify(); });
        };
        Core::Result<KeptPart> kept = m_shared.keeper.read(nonce, offset, std::move(wake));
        if (kept.has_error()) {
            Request::Finish finish { kept.error().verdict, kept.error(), {} };
            co_await sink.finish(std::move(finish));
            break;
        }
        if (kept.value().head && !isHeadSent) {
            isHeadSent = true;
            co_await sink.head(*kept.value().head);
        }
        Request::AnswerPart& part = kept.value().part;
        if (!part.bytes.empty())
            co_await sink.piece(part.nextPiece, std::move(part.bytes));
        offset = Request::AnswerOffset { Request::AnswerOffset::Unit::Bytes, part.nextByte };
        if (part.end) {
            Request::Finish finish { part.end->verdict, part.end->error, {} };
            co_await sink.finish(std::move(finish));
            break;
        }
        if (part.bytes.empty())
            co_await signal->wait();
    }
    writer.onCallerGone(nullptr);
}

Http::Response CallerApi::entries() const
{
    boost::json::array list;
    for (EntryAddress const& entry : m_context.fleet->entries) {
        if (entry.name == m_shared.name && m_shared.isLeaving)
            continue;
        boost::json::object object;
        object["name"] = entry.name;
        object["address"] = Http::toString(entry.callerAddress);
        object["availability_zone"] = entry.availabilityZone;
        list.push_back(std::move(object));
    }
    boost::json::object body;
    body["entries"] = std::move(list);
    body["hold_ms"] = m_context.settings.callers.listHold.count();
    body["ticket"] = m_shared.keeper.issuer().issue(Clock::now());
    body["ticket_home"] = m_shared.name;
    return Http::jsonResponse(Http::Status::Ok, boost::json::serialize(body));
}

Http::Response CallerApi::models() const
{
    std::set<std::string> names;
    for (FleetTarget const& target : m_context.fleet->targets) {
        if (target.kind == Platform::VmKind::Engine && !target.model.empty())
            names.insert(target.model);
    }
    boost::json::array list;
    for (std::string const& name : names) {
        boost::json::object object;
        object["id"] = name;
        object["object"] = "model";
        object["owned_by"] = "currantvale";
        list.push_back(std::move(object));
    }
    boost::json::object body;
    body["object"] = "list";
    body["data"] = std::move(list);
    return Http::jsonResponse(Http::Status::Ok, boost::json::serialize(body));
}

}
