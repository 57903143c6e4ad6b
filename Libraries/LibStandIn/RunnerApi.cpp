#include <LibStandIn/FaultsReader.h>
#include <LibStandIn/RunnerApi.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <tuple>

namespace StandIn {

namespace {

constexpr std::chrono::milliseconds heartbeatInterval { 300 };
constexpr std::uint16_t accepted = 202;
constexpr std::uint16_t conflict = 409;
constexpr std::uint16_t olderFencing = 412;
constexpr std::uint16_t misdirected = 421;
constexpr std::uint16_t unavailable = 503;
constexpr double millisecondsPerSecond = 1e3;
constexpr int crashedStatus = 70; // Of the process.

std::string field(Http::Request const& request, std::string_view name)
{
    return std::string(request.fields.find(name).value_or(""));
}

// Whether a part of the prompt, other than the last, has this id.
bool hasPart(Http::Request const& request, std::string const& id)
{
    std::string parts = field(request, "X-Prompt-Prefix");
    std::string shared = "," + parts.substr(0, parts.rfind(','));
    return !id.empty() && parts.find(',') != std::string::npos && shared.find("," + id + ":") != std::string::npos;
}

std::uint64_t numberUnder(boost::json::object const& object, std::string_view key, std::uint64_t fallback)
{
    boost::json::value const* value = object.if_contains(key);
    return value && value->is_number() ? value->to_number<std::uint64_t>() : fallback;
}

}

std::shared_ptr<RunnerApi> RunnerApi::create(boost::asio::io_context& context, RunnerSettings settings)
{
    return std::shared_ptr<RunnerApi>(new RunnerApi(context, std::move(settings)));
}

RunnerApi::RunnerApi(boost::asio::io_context& context, RunnerSettings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_client(Http::Client::create(context, {}))
{
}

void RunnerApi::startHeartbeats(boost::asio::ip::tcp::endpoint const& address)
{
    boost::asio::co_spawn(m_context, heartbeat(Http::toString(address)), boost::asio::detached);
}

std::string RunnerApi::entry(std::string const& address) const
{
    boost::json::object entry { { "service", m_settings.service }, { "addr", address }, { "zone", m_settings.availabilityZone }, { "version", m_settings.release.empty() ? "v1" : m_settings.release }, { "slots", m_settings.places }, { "state", "ready" }, { "seq", m_heartbeats }, { "born", m_settings.bornAtMs } };
    if (!m_settings.role.empty())
        entry["stage"] = m_settings.role;
    return boost::json::serialize(entry);
}

boost::asio::awaitable<void> RunnerApi::heartbeat(std::string address)
{
    boost::asio::steady_timer timer(m_context);
    while (true) {
        ++m_heartbeats;
        std::string value = entry(address);
        std::string const& key = m_settings.incarnation;
        std::uint32_t size = static_cast<std::uint32_t>(1 + key.size() + value.size());
        std::string record;
        for (unsigned shift : { 24U, 16U, 8U, 0U })
            record += static_cast<char>(size >> shift & 0xffU);
        record += static_cast<char>(key.size());
        record += key + value;
        Http::Request request { "POST", "/currantvale/log-append?topic=keyed.servers&part=0", {}, std::move(record) };
        // A heartbeat that is lost is followed by the next.
        std::ignore = co_await m_client->fetch(m_settings.store, request);
        timer.expires_after(heartbeatInterval);
        boost::system::error_code ec;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
}

boost::asio::awaitable<void> RunnerApi::serve(Http::Request& request, Http::ResponseWriter& writer)
{
    std::string path = parseTarget(request.target).path;
    Http::Response response { 200, {}, {} };
    for (Http::Fields::Entry const& entry : request.fields.entries()) {
        m_keys += Http::isSameFieldName(entry.first, "Api-Key") ? 1 : 0;
        if (Http::isSameFieldName(entry.first, "X-Tenant"))
            m_organisations[field(request, "X-Request-Id")].insert(entry.second);
    }
    if (!path.starts_with("/admin/") && !path.starts_with("/currantvale/"))
        noteArrival();
    if (path == "/admin/runs")
        response = runs();
    else if (path == "/admin/faults") {
        response = resultResponse(applyFaults(request.body, m_faults));
        m_mostIn4Seconds = 0;
        m_recentArrivals.clear();
    } else if (path == "/currantvale/report")
        response = report();
    else if (std::string meant = field(request, "X-Target-Instance"); !meant.empty() && meant != m_settings.incarnation)
        response = refusal(request, misdirected);
    else if (path == "/currantvale/order") {
        response = order(request);
        addNotice(response.fields);
    } else if (path.starts_with("/currantvale/"))
        response.status = static_cast<std::uint16_t>(Http::Status::Ok);
    else if (field(request, "X-Stage") == "prefill") {
        if (!co_await work(writer))
            co_return;
        response = prefill(request);
    } else {
        co_await run(request, writer);
        co_return;
    }
    std::ignore = co_await writer.send(std::move(response));
}

Http::Response RunnerApi::report() const
{
    return objectResponse(Http::Status::Ok, { { "stage", m_settings.role }, { "busy", isChanging() }, { "seq", m_orders }, { "queued", 0 }, { "running", 0 }, { "kv_used", 0 }, { "kv_total", 1'000'000 }, { "born", m_settings.bornAtMs } });
}

Http::Response RunnerApi::order(Http::Request const& request)
{
    boost::json::object body = boost::json::parse(request.body.text()).as_object();
    std::uint64_t fencing = numberUnder(body, "fence_token", 0);
    Http::Response response;
    if (fencing < m_fencing)
        response.status = olderFencing;
    else if (m_settings.refusesOrders || isChanging() || numberUnder(body, "precondition", m_orders) != m_orders)
        response.status = conflict;
    else
        response.status = accepted;
    if (response.status != accepted)
        return response;
    m_fencing = fencing;
    ++m_orders;
    m_settings.role = std::string(body.at("stage").as_string());
    m_changingUntil = std::chrono::steady_clock::now() + m_settings.changeTime;
    return response;
}

Http::Response RunnerApi::refusal(Http::Request const& request, std::uint16_t status) const
{
    Http::Fields fields { { "X-Request-Id", field(request, "X-Request-Id") }, { "X-Not-Executed", "1" }, { "X-Instance-Id", m_settings.incarnation } };
    addNotice(fields);
    if (status == unavailable && m_faults.turnAwayMs > 0)
        fields.set("Retry-After", std::to_string(static_cast<double>(m_faults.turnAwayMs) / millisecondsPerSecond));
    return { status, std::move(fields), {} };
}

void RunnerApi::noteArrival()
{
    constexpr std::chrono::seconds window { 4 };
    std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    ++m_arrivals;
    m_recentArrivals.push_back(now);
    while (now - m_recentArrivals.front() > window)
        m_recentArrivals.pop_front();
    m_mostIn4Seconds = std::max<std::uint64_t>(m_mostIn4Seconds, m_recentArrivals.size());
}

void RunnerApi::addNotice(Http::Fields& fields) const
{
    if (m_faults.limitPer1000Seconds > 0)
        fields.set("Server-Limit", std::to_string(static_cast<double>(m_faults.limitPer1000Seconds) / millisecondsPerSecond));
    if (m_faults.saysLeaving)
        fields.set("Server-Leaving", "1");
}

Http::Response RunnerApi::prefill(Http::Request const& request)
{
    if (m_settings.role != "prefill" || isChanging() || m_faults.refuses)
        return refusal(request, m_settings.role != "prefill" ? misdirected : unavailable);
    Http::Response response = objectResponse(Http::Status::Ok, { { "handle", "h" + std::to_string(++m_prefills) }, { "tokens", 1 }, { "version", 1 } });
    addNotice(response.fields);
    return response;
}

Http::Fields RunnerApi::sealed(Http::Request const& request) const
{
    Http::Fields fields { { "X-Request-Id", field(request, "X-Request-Id") }, { "X-Server-Seal", "seal-of-" + m_settings.incarnation } };
    addNotice(fields);
    return fields;
}

// An output needs a KV cache that a prefill target keeps, or computes the prompt itself.
bool RunnerApi::takesOutput(Http::Request const& request)
{
    std::string source = field(request, "X-Kv-Source");
    return m_settings.role == "decode" && !isChanging() && !m_faults.refuses && (source.empty() || source.find('/') != std::string::npos);
}

// Returns false if the caller closed the connection meanwhile; the work ends then.
boost::asio::awaitable<bool> RunnerApi::work(Http::ResponseWriter& writer)
{
    if (m_faults.workMs == 0)
        co_return true;
    std::shared_ptr<boost::asio::steady_timer> timer = std::make_shared<boost::asio::steady_timer>(m_context, std::chrono::milliseconds(m_faults.workMs));
    std::shared_ptr<bool> isAbandoned = std::make_shared<bool>(false);
    writer.onCallerGone([timer, isAbandoned] {
        *isAbandoned = true;
        timer->cancel();
    });
    ++m_working;
    boost::system::error_code ec;
    co_await timer->async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    --m_working;
    writer.onCallerGone(nullptr);
    m_abandoned += *isAbandoned ? 1 : 0;
    co_return !*isAbandoned;
}

boost::asio::awaitable<void> RunnerApi::run(Http::Request const& request, Http::ResponseWriter& writer)
{
    bool isEngine = !m_settings.role.empty();
    if (m_faults.refuses || (isEngine && !takesOutput(request))) {
        Http::Response response = refusal(request, unavailable);
        std::ignore = co_await writer.send(std::move(response));
        co_return;
    }
    ++m_runs[field(request, "X-Request-Id")];
    if (!m_settings.crashesOn.empty() && request.target.find(m_settings.crashesOn) != std::string::npos)
        std::_Exit(crashedStatus);
    if (!co_await work(writer))
        co_return;
    if (isEngine && hasPart(request, m_settings.crashesOnPart))
        std::_Exit(crashedStatus);
    if (isEngine) {
        co_await stream(request, writer);
        co_return;
    }
    if (m_settings.workTime.count() > 0) {
        boost::asio::steady_timer timer(m_context, m_settings.workTime);
        boost::system::error_code ec;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
    if (m_faults.loseReplies > 0) {
        --m_faults.loseReplies;
        writer.abort();
        co_return;
    }
    Http::Response response { 200, sealed(request), request.method + " " + request.target + " " + request.body.text() };
    std::ignore = co_await writer.send(std::move(response));
}

boost::asio::awaitable<void> RunnerApi::stream(Http::Request const& request, Http::ResponseWriter& writer)
{
    Http::ResponseHead head { 200, sealed(request) };
    head.fields.set("Content-Type", "text/event-stream");
    if (!(co_await writer.begin(std::move(head))))
        co_return;
    std::string last = field(request, "Last-Event-Id");
    std::uint32_t first = last.empty() ? 1 : static_cast<std::uint32_t>(std::stoul(last)) + 1;
    boost::asio::steady_timer timer(m_context);
    for (std::uint32_t n = first; n <= m_settings.pieces; ++n) {
        if (m_faults.cutAfterEvents != 0 && n - first >= m_faults.cutAfterEvents) {
            m_faults.cutAfterEvents = 0;
            writer.abort();
            co_return;
        }
        std::string event = "id: " + std::to_string(n) + "\ndata: piece " + std::to_string(n) + (m_settings.release.empty() ? "" : " by " + m_settings.release) + "\n\n";
        if (!(co_await writer.write(event)))
            co_return;
        timer.expires_after(m_settings.pieceTime);
        boost::system::error_code ec;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
    std::ignore = co_await writer.finish();
}

Http::Response RunnerApi::runs() const
{
    boost::json::object counts;
    for (std::pair<std::string const, std::uint64_t> const& it : m_runs)
        counts[it.first] = it.second;
    boost::json::object organisations;
    for (std::pair<std::string const, std::set<std::string>> const& it : m_organisations)
        organisations[it.first] = boost::json::array(it.second.begin(), it.second.end());
    return objectResponse(Http::Status::Ok, { { "role", m_settings.role }, { "keys", m_keys }, { "organisations", std::move(organisations) }, { "orders", m_orders }, { "prefills", m_prefills }, { "arrivals", m_arrivals }, { "most_in_4_s", m_mostIn4Seconds }, { "working", m_working }, { "abandoned", m_abandoned }, { "runs", std::move(counts) } });
}

}
