#include <LibCore/EventLog.h>
#include <LibDaemon/CallerApi.h>
#include <LibDaemon/Eligibility.h>
#include <LibDaemon/HttpErrors.h>
#include <algorithm>
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
// A daemon that has just started reads the configuration within half a second where the store answers.
constexpr std::chrono::milliseconds retryAfterStart { 1'000 };

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
    , m_home(context, shared)
{
}

boost::asio::awaitable<void> CallerApi::handle(Http::Request& request, Http::ResponseWriter& writer)
{
    std::string_view path = pathOf(request.target);
    bool isRead = request.method == "GET" || request.method == "HEAD";
    if (!m_context.callers.hasTickets)
        co_await serveWork(request, writer);
    else if (isRead && path == "/v1/entries")
        std::ignore = co_await writer.send(entries());
    else if (isRead && path == "/v1/models")
        std::ignore = co_await writer.send(models());
    else if (!co_await admit(request, writer))
        co_return;
    else if (isRead && path.starts_with(answersPrefix))
        co_await collect(request, writer);
    else
        co_await serveWork(request, writer);
}

// Returns whether the request may go on; else it has its answer.
boost::asio::awaitable<bool> CallerApi::admit(Http::Request& request, Http::ResponseWriter& writer)
{
    Core::Result<void> admitted = m_context.callers.admit(request, *m_context.fleet, m_context.settings.callers.keys);
    if (admitted.has_value())
        co_return true;
    // What was sent under a ticket before may have run.
    bool mayHaveRun = request.fields.find(Request::ticketHeader) || pathOf(request.target).starts_with(answersPrefix);
    Core::Error error = mayHaveRun ? Core::makeUncertainError(admitted.error().code, admitted.error().message) : admitted.error();
    co_await sendError(std::move(error), m_shared.newRequestId(), false, writer);
    co_return false;
}

boost::asio::awaitable<void> CallerApi::sendError(Core::Error error, std::string requestId, bool isRepeatable, Http::ResponseWriter& writer, bool isRelayed)
{
    Core::logEvent(Core::Severity::Warning, Core::Event::RequestRejected, { { "request", requestId }, { "code", std::string(Core::toString(error.code)) }, { "verdict", std::string(Core::toString(error.verdict)) }, { "error", error.message } });
    m_context.metrics.countError(error.code);
    Request::HttpErrorContext context;
    context.requestId = requestId;
    context.isRepeatable = isRepeatable;
    bool isEarly = error.verdict == Core::Verdict::NotRun && error.code == Core::ErrorCode::Unavailable;
    if (isEarly)
        context.retryAfter = retryAfterStart;
    std::optional<RelayAttempts> relayed;
    if (isRelayed)
        relayed.emplace();
    std::ignore = co_await writer.send(CallerSink::errorResponse(m_context.callers, error, context, relayed));
}

boost::asio::awaitable<void> CallerApi::serveWork(Http::Request& request, Http::ResponseWriter& writer)
{
    std::string requestId = m_shared.newRequestId();
    // First of all the ticket: what was sent with it before decides, whatever the rules or the body say now.
    std::optional<std::string_view> ticket = m_context.callers.hasTickets ? request.fields.find(Request::ticketHeader) : std::nullopt;
    if (ticket) {
        co_await serveTicket(std::string(*ticket), requestId, request, writer);
        co_return;
    }
    // A caller who sends it gets its request served here or not at all.
    bool isRelayed = request.fields.find(relayHeader).has_value();
    request.fields.remove(relayHeader);
    std::optional<RelayAttempts> grant = takeRelayAttempts(request.fields);
    std::optional<std::string> streamRelease = takeStreamRelease(request.fields);
    WorkLimits limits { m_context.settings.callers.defaultDeadline, m_context.settings.callers.longestDeadline, m_context.settings.callers.keys };
    Core::Result<Work> parsed = m_context.callers.parse(request, *m_context.fleet, limits, requestId);
    if (parsed.has_error()) {
        co_await sendError(parsed.error(), requestId, false, writer, isRelayed);
        co_return;
    }
    Work work = std::move(parsed.value());
    work.waited = request.waited;
    work.isRelayed = isRelayed;
    if (isRelayed) {
        work.grant = std::move(grant);
        work.streamRelease = std::move(streamRelease);
    }
    work.key = workKeyOf(request, work);
    if (m_shared.isLeaving) {
        std::chrono::duration<double> expected { m_context.dispatcher.expectedOutputSeconds(*m_context.fleet, work.name, work.shape) };
        if (!m_shared.leaveTimes.accepts(work.timeout - work.waited, expected, Clock::now())) {
            co_await sendError(Core::makeError(Core::ErrorCode::Unavailable, "this daemon is stopping, and would end before the answer does"), work.requestId, work.isRepeatable, writer, isRelayed);
            co_return;
        }
    }
    if (m_context.callers.hasTickets && !work.idempotencyKey.empty()) {
        std::string ticket = m_shared.keeper.issuer().issue(Clock::now());
        std::ignore = co_await writer.send(toResponse(Request::ticketRequired(ticket, requestId), requestId));
        co_return;
    }
    co_await runDirect(std::move(work), writer);
}

boost::asio::awaitable<void> CallerApi::runDirect(Work work, Http::ResponseWriter& writer)
{
    Core::Result<std::vector<std::uint32_t>> eligible = eligibleTargets(*m_context.fleet, work);
    if (eligible.has_error()) {
        co_await sendError(eligible.error(), work.requestId, work.isRepeatable, writer, work.isRelayed);
        co_return;
    }
    std::shared_ptr<CallerSink> sink = std::make_shared<CallerSink>(writer, m_context.callers, work.requestId, work.isRepeatable, work.isRelayed);
    std::shared_ptr<RequestRunner> runner = std::make_shared<RequestRunner>(m_context, std::move(work), m_context.fleet, std::move(eligible.value()), sink);
    writer.onCallerGone([weak = std::weak_ptr<RequestRunner>(runner)] {
        if (std::shared_ptr<RequestRunner> alive = weak.lock())
            alive->callerLeft();
    });
    if (m_shared.answerRoom.hasLimit())
        sink->limitBy(m_shared.answerRoom, m_context.context.get_executor(), [weak = std::weak_ptr<RequestRunner>(runner)] {
            if (std::shared_ptr<RequestRunner> alive = weak.lock())
                alive->callerLeft();
        });
    co_await runner->run();
    sink->limitNoMore();
    writer.onCallerGone(nullptr);
}

bool CallerApi::isHome(Request::Ticket const& ticket) const
{
    return ticket.home == m_shared.name;
}

boost::asio::awaitable<void> CallerApi::serveTicket(std::string text, std::string requestId, Http::Request const& request, Http::ResponseWriter& writer)
{
    CallerSink sink(writer, m_context.callers, requestId, false);
    Core::Result<Request::Ticket> ticket = Request::Ticket::parse(text);
    if (ticket.has_value() && !isHome(ticket.value())) {
        ForwardedRequest forwarded;
        forwarded.request = request;
        forwarded.requestId = requestId;
        forwarded.from = Request::AnswerOffset { Request::AnswerOffset::Unit::Bytes, 0 };
        co_await forward(std::move(forwarded), ticket.value(), m_context.settings.callers.defaultDeadline, sink, writer);
        co_return;
    }
    if (ticket.has_value())
        ticket = m_shared.keeper.issuer().verify(text);
    Core::Result<void> begun = Core::ok();
    if (ticket.has_value())
        begun = m_home.begin(request, ticket.value(), requestId);
    if (ticket.has_error() || begun.has_error()) {
        co_await sendError(ticket.has_error() ? ticket.error() : begun.error(), requestId, false, writer);
        co_return;
    }
    Request::AnswerOffset start { Request::AnswerOffset::Unit::Bytes, 0 };
    co_await follow(ticket.value().nonce, start, sink, writer);
}

boost::asio::awaitable<void> CallerApi::collect(Http::Request const& request, Http::ResponseWriter& writer)
{
    std::string requestId = m_shared.newRequestId();
    std::string text(pathOf(request.target).substr(answersPrefix.size()));
    Core::Result<Request::AnswerOffset> offset = readOffset(request.target);
    Core::Result<Request::Ticket> ticket = Request::Ticket::parse(text);
    if (ticket.has_value() && isHome(ticket.value()))
        ticket = m_shared.keeper.issuer().verify(text);
    if (offset.has_error() || ticket.has_error()) {
        co_await sendError(offset.has_error() ? offset.error() : ticket.error(), requestId, true, writer);
        co_return;
    }
    CallerSink sink(writer, m_context.callers, requestId, true);
    if (isHome(ticket.value())) {
        co_await follow(ticket.value().nonce, offset.value(), sink, writer);
        co_return;
    }
    ForwardedRequest forwarded;
    forwarded.request.target = text;
    forwarded.requestId = requestId;
    forwarded.from = offset.value();
    forwarded.isCollection = true;
    co_await forward(std::move(forwarded), ticket.value(), m_context.settings.callers.defaultDeadline, sink, writer);
}

boost::asio::awaitable<void> CallerApi::follow(Request::TicketNonce nonce, Request::AnswerOffset offset, CallerSink& sink, Http::ResponseWriter& writer)
{
    std::shared_ptr<FollowerWatch> watch = std::make_shared<FollowerWatch>(m_context.context.get_executor());
    writer.onCallerGone([watch] { watch->leave(); });
    co_await m_home.follow(nonce, offset, sink, watch);
    writer.onCallerGone(nullptr);
}

boost::asio::awaitable<void> CallerApi::forward(ForwardedRequest forwarded, Request::Ticket const& ticket, std::chrono::milliseconds timeout, CallerSink& sink, Http::ResponseWriter& writer)
{
    std::vector<EntryAddress> const& peers = m_context.fleet->peers;
    std::vector<EntryAddress>::const_iterator home = std::find_if(peers.begin(), peers.end(), [&](EntryAddress const& it) { return it.name == ticket.home; });
    if (home == peers.end()) {
        Request::Finish finish;
        finish.verdict = Core::Verdict::MayHaveRun;
        finish.error = Core::makeUncertainError(Core::ErrorCode::Unavailable, "the ticket's home \"" + ticket.home + "\" is not on the list of VMs");
        co_await sink.finish(std::move(finish));
        co_return;
    }
    Core::logEvent(Core::Severity::Info, Core::Event::RequestForwarded, { { "request", forwarded.requestId }, { "home", ticket.home }, { "collection", forwarded.isCollection ? "yes" : "no" } });
    HomeForwarder forwarder(m_context.context, m_context.peers, home->peerAddress, Clock::now() + timeout);
    writer.onCallerGone([&forwarder] { forwarder.cancel(); });
    co_await forwarder.run(std::move(forwarded), sink);
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
