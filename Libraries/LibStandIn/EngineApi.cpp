#include <LibStandIn/EngineApi.h>

#include <LibStandIn/EngineReports.h>
#include <LibStandIn/FaultsReader.h>
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cstdlib>

namespace StandIn {

using Clock = std::chrono::steady_clock;
using std::chrono::microseconds;
using std::chrono::seconds;

namespace {

/// Progress is looked at no more often than this, so that a fast engine does not spend its time on timers.
constexpr microseconds shortestTick { 200 };
constexpr seconds longestWait { 3600 };
constexpr unsigned lowestPriority = 9;

/// An engine's refusals all say that nothing was run.
Http::Response refusal(Core::Error const& error)
{
    return error.code == Core::ErrorCode::Unavailable ? notServingResponse(error.message) : errorResponse(error);
}

Core::Result<unsigned> readPriority(Http::Request const& request)
{
    std::string_view text = request.fields.find("X-Priority").value_or("5");
    unsigned priority = 0;
    std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), priority);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size() || priority > lowestPriority)
        return Core::fail(Core::ErrorCode::BadInput, "X-Priority must be a number from 0 to 9.");
    return priority;
}

}

Core::Result<std::shared_ptr<EngineApi>> EngineApi::create(boost::asio::io_context& context, EngineApiSettings settings)
{
    BOOST_OUTCOME_TRY(EngineCore core, EngineCore::create(settings.engine, Clock::now()));
    std::shared_ptr<EngineApi> api(new EngineApi(context, std::move(settings), std::move(core)));
    api->m_core.onProgress = [it = api.get()](std::string const& id) {
        auto signal = it->m_signals.find(id);
        if (signal != it->m_signals.end())
            signal->second.notifyAll();
    };
    return api;
}

EngineApi::EngineApi(boost::asio::io_context& context, EngineApiSettings settings, EngineCore core)
    : onCrash([] { std::_Exit(1); })
    , m_context(context)
    , m_settings(std::move(settings))
    , m_core(std::move(core))
    , m_client(Http::Client::create(context, {}))
    , m_timer(context)
{
    m_core.control().usesWeightStore = m_settings.weightStore.has_value();
}

boost::asio::awaitable<void> EngineApi::serve(Http::Request& request, Http::ResponseWriter& writer)
{
    Target target = parseTarget(request.target);
    bool isChat = target.path == "/v1/chat/completions";
    if (request.method == "POST" && (isChat || target.path == "/v1/completions")) {
        co_await serveCompletion(request, writer, isChat);
        co_return;
    }
    m_core.advance(Clock::now());
    std::optional<std::string> id = between(target.path, "/v1/streams/", "");
    if (request.method == "GET" && id) {
        Core::Result<std::uint64_t> from = queryNumber(target, "from", 0);
        if (!from)
            (void)co_await writer.send(errorResponse(from.error()));
        else
            co_await sendStream(*id, from.value(), writer);
        co_return;
    }
    Http::Response response = respond(request, target);
    afterChange();
    (void)co_await writer.send(std::move(response));
}

boost::asio::awaitable<void> EngineApi::serveCompletion(Http::Request& request, Http::ResponseWriter& writer, bool isChat)
{
    co_await delay(m_core.faults());
    Core::Result<Completion> completion = parseCompletion(request.body, isChat);
    if (!completion) {
        (void)co_await writer.send(errorResponse(completion.error()));
        co_return;
    }
    bool isStreamed = completion.value().isStreamed;
    Core::Result<EngineRequest> read = co_await readRequest(request, std::move(completion.value()));
    Core::Result<void> started = read ? m_core.start(read.value(), Clock::now()) : Core::Result<void>(read.error());
    if (!started) {
        (void)co_await writer.send(refusal(started.error()));
        co_return;
    }
    afterChange();
    if (isStreamed && !read.value().isPrefillOnly)
        co_await sendStream(read.value().id, 0, writer);
    else
        co_await sendWhole(read.value().id, writer);
}

boost::asio::awaitable<Core::Result<EngineRequest>> EngineApi::readRequest(Http::Request const& request, Completion&& completion)
{
    EngineRequest it { .prompt = std::move(completion.prompt), .maximumTokens = completion.maximumTokens, .model = std::move(completion.model), .isChat = completion.isChat };
    it.id = request.fields.find("X-Request-Id").value_or("");
    if (it.id.empty())
        it.id = "without-id-" + std::to_string(m_requestsWithoutId++);
    Core::Result<unsigned> priority = readPriority(request);
    if (!priority)
        co_return priority.error();
    it.priority = priority.value();
    it.isPrefillOnly = request.fields.find("X-Phase") == "prefill";
    std::optional<std::string_view> source = request.fields.find("X-KV-Source");
    if (source) {
        Core::Result<void> imported = co_await importCache(std::string(*source));
        if (!imported)
            co_return imported.error();
        it.hasImportedCache = true;
    }
    co_return it;
}

boost::asio::awaitable<Core::Result<void>> EngineApi::importCache(std::string source)
{
    std::size_t slash = source.find('/');
    if (slash == std::string::npos)
        co_return Core::fail(Core::ErrorCode::BadInput, "X-KV-Source must be IP:PORT/HANDLE.");
    Core::Result<boost::asio::ip::tcp::endpoint> endpoint = Http::parseEndpoint(std::string_view(source).substr(0, slash));
    if (!endpoint)
        co_return endpoint.error();
    Http::Request request { .target = "/v1/kv" + source.substr(slash), .fields = {}, .body = {} };
    Core::Result<Http::Response> response = co_await m_client->fetch(endpoint.value(), std::move(request));
    if (!response || response.value().status != 200)
        co_return Core::fail(Core::ErrorCode::Unavailable, "The KV cache could not be had from " + source + ".");
    co_return Core::ok();
}

boost::asio::awaitable<void> EngineApi::waitForProgress(std::string const& id)
{
    Signal& signal = m_signals[id];
    co_await signal.wait(Clock::now() + longestWait);
    if (!signal.hasWaiters())
        m_signals.erase(id);
}

boost::asio::awaitable<void> EngineApi::sendStream(std::string id, std::uint64_t from, Http::ResponseWriter& writer)
{
    EngineStream const* stream = m_core.find(id);
    if (!stream || stream->isPrefillOnly) {
        (void)co_await writer.send(errorResponse(Core::makeError(Core::ErrorCode::NotFound, "There is no stream '" + id + "'.")));
        co_return;
    }
    CompletionWriter events(stream->isChat, id, stream->model);
    Http::ResponseHead head { 200, { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-store" } } };
    Core::Result<void> sent = co_await writer.begin(std::move(head));
    std::uint64_t next = from;
    while (sent) {
        stream = m_core.find(id);
        std::uint64_t cut = m_core.faults().cutAfterEvents;
        bool isCut = cut != 0 && next - from >= cut;
        if (!stream || stream->isCanceled || isCut) {
            writer.abort();
            co_return;
        }
        std::uint64_t count = CompletionWriter::eventCount(*stream);
        std::uint64_t end = cut != 0 ? std::min(count, from + cut) : count;
        if (next >= count && stream->isFinished) {
            (void)co_await writer.finish();
            co_return;
        }
        if (next >= end) {
            co_await waitForProgress(id);
            continue;
        }
        std::string piece;
        for (; next < end; ++next)
            piece += events.event(*stream, next);
        sent = co_await writer.write(piece);
    }
}

boost::asio::awaitable<void> EngineApi::sendWhole(std::string id, Http::ResponseWriter& writer)
{
    while (true) {
        EngineStream const* stream = m_core.find(id);
        if (!stream || stream->isCanceled) {
            writer.abort();
            co_return;
        }
        if (!stream->isFinished) {
            co_await waitForProgress(id);
            continue;
        }
        bool isPrefillOnly = stream->isPrefillOnly;
        std::string body = isPrefillOnly ? boost::json::serialize(boost::json::object { { "kv", m_core.exportCache(id) }, { "prompt_tokens", stream->promptTokens } })
                                         : CompletionWriter(stream->isChat, id, stream->model).whole(*stream);
        co_await sendOrLose(m_core.faults(), writer, Http::jsonResponse(Http::Status::Ok, std::move(body)));
        co_return;
    }
}

void EngineApi::afterChange()
{
    if (m_core.control().hasCrashed()) {
        onCrash();
        return;
    }
    if (m_core.control().isWaitingForWeights() && !m_isLoadingWeights) {
        m_isLoadingWeights = true;
        boost::asio::co_spawn(m_context, loadWeights(shared_from_this()), boost::asio::detached);
    }
    std::optional<Time> deadline = m_core.nextDeadline();
    if (!deadline)
        return;
    m_timer.expires_at(std::max(*deadline, Clock::now() + shortestTick));
    m_timer.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
        std::shared_ptr<EngineApi> self = weak.lock();
        if (ec || !self)
            return;
        self->m_core.advance(Clock::now());
        self->afterChange();
    });
}

boost::asio::awaitable<void> EngineApi::loadWeights(std::shared_ptr<EngineApi> self)
{
    while (true) {
        EngineConfiguration const& wanted = self->m_core.control().wanted();
        Http::Request request { .method = "POST", .target = "/v1/loads", .fields = {}, .body = boost::json::serialize(boost::json::object { { "model", wanted.model }, { "version", wanted.version } }) };
        Core::Result<Http::Response> response = co_await self->m_client->fetch(*self->m_settings.weightStore, std::move(request));
        if (response && response.value().status == 200)
            break;
        boost::asio::steady_timer timer(self->m_context, seconds(1));
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    self->m_isLoadingWeights = false;
    self->m_core.control().grantWeights(Clock::now());
    self->afterChange();
}

Http::Response EngineApi::respond(Http::Request const& request, Target const& target)
{
    std::optional<std::string> id = between(target.path, "/v1/streams/", "");
    if (request.method == "DELETE" && id)
        return cancel(*id);
    if (request.method == "GET" && target.path == "/v1/models")
        return modelsResponse(m_core.control().configuration());
    if (std::optional<std::string> handle = between(target.path, "/v1/kv/", "")) {
        std::optional<std::uint64_t> tokens = m_core.exportedTokens(*handle);
        if (tokens)
            return objectResponse(Http::Status::Ok, { { "prompt_tokens", *tokens } });
    }
    if (target.path.starts_with("/control/"))
        return respondControl(request, target);
    if (request.method == "POST" && target.path == "/admin/faults") {
        Core::Result<void> applied = applyFaults(request.body, m_core.faults());
        m_core.control().crashesDuringChange = m_core.faults().crashesDuringChange;
        return resultResponse(applied);
    }
    if (request.method == "GET" && target.path == "/admin/requests")
        return objectResponse(Http::Status::Ok, { { "started", m_core.started() }, { "changes", m_core.control().changes() } });
    return errorResponse(Core::makeError(Core::ErrorCode::NotFound, "The engine has no such call."));
}

Http::Response EngineApi::respondControl(Http::Request const& request, Target const& target)
{
    if (request.method == "GET" && target.path == "/control/state")
        return stateResponse(m_core, m_settings.incarnation, Clock::now());
    if (request.method == "GET" && target.path == "/control/cache-events") {
        Core::Result<std::uint64_t> from = queryNumber(target, "from", 0);
        return from ? cacheEventsResponse(m_core.cache(), from.value(), Clock::now()) : errorResponse(from.error());
    }
    if (request.method == "POST" && target.path == "/control/orders")
        return takeOrder(request.body);
    return errorResponse(Core::makeError(Core::ErrorCode::NotFound, "The engine has no such call."));
}

Http::Response EngineApi::cancel(std::string const& id)
{
    switch (m_core.cancel(id, Clock::now())) {
    case CancelOutcome::Canceled:
        return objectResponse(Http::Status::Ok, { { "state", "canceled" } });
    case CancelOutcome::Finished:
        return objectResponse(Http::Status::Ok, { { "state", "finished" } });
    case CancelOutcome::Unknown:
        break;
    }
    return errorResponse(Core::makeError(Core::ErrorCode::NotFound, "The request was never seen and will be refused."));
}

Http::Response EngineApi::takeOrder(std::string_view body)
{
    Core::Result<EngineOrder> order = parseOrder(body);
    if (!order)
        return errorResponse(order.error());
    Core::Result<void> taken = m_core.order(order.value(), Clock::now());
    if (!taken)
        return objectResponse(Http::Status::Conflict, { { "fencing", m_core.control().fencing() } });
    return objectResponse(Http::Status::Ok, { { "accepted", true } });
}

}
