#include <LibDaemon/HttpErrors.h>
#include <LibDaemon/OperatorApi.h>
#include <LibDaemon/OperatorJson.h>
#include <LibDaemon/Work.h>
#include <LibPlatform/Json.h>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <openssl/crypto.h>
#include <tuple>

namespace Daemon {

namespace {

constexpr std::chrono::milliseconds submitTimeout { 3'000 };
constexpr std::string_view bearer = "Bearer ";
constexpr std::uint64_t defaultHistory = 50;

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

// Returns the number under `key` in the query, or `fallback`.
std::uint64_t queryNumber(std::string_view target, std::string_view key, std::uint64_t fallback)
{
    std::size_t at = target.find(key);
    if (at == std::string_view::npos || at == 0 || (target[at - 1] != '?' && target[at - 1] != '&'))
        return fallback;
    std::string_view text = target.substr(at + key.size());
    if (!text.starts_with('='))
        return fallback;
    text.remove_prefix(1);
    std::uint64_t number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

Http::Response ok(boost::json::object const& object)
{
    return Http::jsonResponse(Http::Status::Ok, boost::json::serialize(object));
}

Http::Response failure(Http::Status status, Core::Error const& error)
{
    return Http::jsonResponse(status, Request::errorBody(error, ""));
}

Http::Status statusOf(State::Outcome const& outcome)
{
    if (outcome.kind == State::OutcomeKind::Accepted)
        return Http::Status::Ok;
    return outcome.kind == State::OutcomeKind::Refused ? Http::Status::Conflict : Http::Status::ServiceUnavailable;
}

}

OperatorApi::OperatorApi(Settings::DaemonSettings const& settings, ControlPlane& control, Dispatcher& dispatcher, AnswerKeeper& keeper, Metrics& metrics)
    : m_settings(settings)
    , m_control(control)
    , m_dispatcher(dispatcher)
    , m_keeper(keeper)
    , m_metrics(metrics)
{
}

bool OperatorApi::isAuthorized(Http::Request const& request) const
{
    std::string_view shown = request.fields.find("Authorization").value_or("");
    if (!shown.starts_with(bearer))
        return false;
    shown.remove_prefix(bearer.size());
    std::string const& token = m_settings.operators.token;
    // The comparison takes the same time wherever the first difference lies.
    return shown.size() == token.size() && CRYPTO_memcmp(shown.data(), token.data(), token.size()) == 0;
}

boost::asio::awaitable<void> OperatorApi::handle(Http::Request& request, Http::ResponseWriter& writer)
{
    Http::Response response = co_await respond(request);
    std::ignore = co_await writer.send(std::move(response));
}

boost::asio::awaitable<Http::Response> OperatorApi::respond(Http::Request const& request)
{
    std::string_view path = pathOf(request.target);
    if (path == "/healthz")
        co_return Http::jsonResponse(Http::Status::Ok, R"({"status":"ok"})");
    if (path == "/readyz")
        co_return readiness();
    if (path == "/metrics")
        co_return metrics();
    if (!isAuthorized(request))
        co_return failure(Http::Status::Unauthorized, Core::makeError(Core::ErrorCode::Unauthorized, "the bearer token is missing or wrong"));
    if (path == "/v1/config/records" && request.method == "POST")
        co_return co_await submit(request);
    if (path == "/v1/config")
        co_return config();
    if (path == "/v1/config/history")
        co_return history(request.target);
    if (path == "/v1/config/progress")
        co_return co_await progress(request.target);
    if (path == "/v1/status")
        co_return status();
    if (path == "/v1/explain" && request.method == "POST")
        co_return explain(request);
    co_return failure(Http::Status::NotFound, Core::makeError(Core::ErrorCode::NotFound, "no such path: \"" + std::string(path) + "\""));
}

boost::asio::awaitable<Http::Response> OperatorApi::submit(Http::Request const& request)
{
    Core::Result<State::ConfigRecord> record = parseRecord(request.body);
    if (record.has_error())
        co_return failure(Http::Status::BadRequest, record.error());
    Core::Result<State::Outcome> outcome = co_await m_control.config().submit(std::move(record.value()), submitTimeout);
    if (outcome.has_error()) {
        bool isBadInput = outcome.error().code == Core::ErrorCode::BadInput;
        co_return failure(isBadInput ? Http::Status::BadRequest : Http::Status::ServiceUnavailable, outcome.error());
    }
    co_return Http::jsonResponse(statusOf(outcome.value()), boost::json::serialize(toJson(outcome.value())));
}

Http::Response OperatorApi::config() const
{
    State::Config const& config = *m_control.config().config();
    boost::json::array objects;
    for (State::ObjectPointer const& object : config.objects())
        objects.push_back(toJson(*object));
    boost::json::object body;
    body["offset"] = config.nextOffset();
    body["objects"] = std::move(objects);
    return ok(body);
}

Http::Response OperatorApi::history(std::string_view target) const
{
    std::uint64_t limit = queryNumber(target, "limit", defaultHistory);
    boost::json::array records;
    std::deque<HistoryEntry> const& entries = m_control.config().history();
    for (std::deque<HistoryEntry>::const_reverse_iterator it = entries.rbegin(); it != entries.rend() && records.size() < limit; ++it)
        records.push_back(toJson(*it));
    boost::json::object body;
    body["records"] = std::move(records);
    return ok(body);
}

boost::asio::awaitable<Http::Response> OperatorApi::progress(std::string target)
{
    std::uint64_t revision = queryNumber(target, "revision", 0);
    std::vector<DaemonProgress> progress = co_await m_control.askProgress();
    bool isInForce = true;
    boost::json::array daemons;
    for (DaemonProgress const& it : progress) {
        boost::json::object one;
        one["name"] = it.name;
        if (it.offset)
            one["offset"] = *it.offset;
        isInForce = isInForce && it.offset && *it.offset > revision;
        daemons.push_back(std::move(one));
    }
    boost::json::object body;
    body["daemons"] = std::move(daemons);
    body["in_force"] = isInForce;
    co_return ok(body);
}

Http::Response OperatorApi::status() const
{
    FleetSnapshot const& fleet = *m_control.fleet();
    boost::json::array targets;
    boost::json::array blocked;
    for (FleetTarget const& target : fleet.targets) {
        boost::json::object object;
        object["name"] = target.name;
        object["work"] = target.work();
        object["role"] = Core::nameOf(Routing::targetRoleNames, target.role);
        object["open"] = !target.isClosed();
        object["in_flight"] = m_dispatcher.inFlightAt(target.id);
        object["labels"] = fleet.view->labels(*fleet.view->positionOf(target.name)).toString();
        if (target.isClosed())
            object["closed_because"] = target.closeReason;
        targets.push_back(std::move(object));
    }
    boost::json::array daemons;
    for (EntryAddress const& entry : fleet.entries)
        daemons.push_back(boost::json::object { { "name", entry.name }, { "address", Http::toString(entry.callerAddress) }, { "availability_zone", entry.availabilityZone } });
    if (!m_control.config().problem().empty())
        blocked.push_back(boost::json::object { { "what", "configuration" }, { "why", m_control.config().problem() } });
    for (BlockedStatus const& it : m_control.authority().blocked())
        blocked.push_back(boost::json::object { { "what", it.what }, { "why", it.why } });
    if (m_control.membership().protocol().isIsolated(std::chrono::steady_clock::now()))
        blocked.push_back(boost::json::object { { "what", "membership" }, { "why", "no other daemon answers" } });
    if (!m_control.vmListProblem().empty())
        blocked.push_back(boost::json::object { { "what", "VM list" }, { "why", m_control.vmListProblem() } });
    boost::json::object body;
    body["daemon"] = m_settings.daemon.name;
    body["config_offset"] = m_control.config().fold().nextOffset();
    body["daemons"] = std::move(daemons);
    body["targets"] = std::move(targets);
    body["leases"] = leases();
    body["blocked"] = std::move(blocked);
    return ok(body);
}

boost::json::array OperatorApi::leases() const
{
    boost::json::array leases;
    for (LeaseStatus const& it : m_control.authority().leaseStatus())
        leases.push_back(boost::json::object { { "pool", it.pool }, { "holder", it.holder }, { "fencing", it.fencing }, { "here", it.phase } });
    return leases;
}

Http::Response OperatorApi::explain(Http::Request const& request) const
{
    Core::Result<boost::json::object> object = Platform::parseObject(request.body);
    if (object.has_error())
        return failure(Http::Status::BadRequest, object.error());
    Core::Result<Label::LabelSet> labels = Label::LabelSet::parse(Platform::stringOf(object.value(), "labels"));
    if (labels.has_error())
        return failure(Http::Status::BadRequest, labels.error());
    for (std::string_view key : { "model", "service" }) {
        std::string value = Platform::stringOf(object.value(), key);
        if (value.empty())
            continue;
        Core::Result<void> set = labels.value().set(key, value);
        // The label that the system itself gives to each request.
        if (set.has_value())
            set = labels.value().set("kind", key);
        if (set.has_error())
            return failure(Http::Status::BadRequest, set.error());
    }
    FleetSnapshot const& fleet = *m_control.fleet();
    State::Config const& config = fleet.view->config();
    State::LabelDecision decision = config.explainRequestLabels(labels.value());
    boost::json::array rules;
    for (State::Decider const& decider : decision.deciders)
        rules.push_back(boost::json::object { { "object", decider.key.toString() }, { "revision", decider.revision } });
    boost::json::array targets;
    for (std::uint32_t position = 0; position < fleet.targets.size(); ++position) {
        FleetTarget const& target = fleet.targets[position];
        boost::json::array routes;
        for (State::Decider const& decider : config.explainAllowed(decision.labels, fleet.view->labels(position)))
            routes.push_back(boost::json::object { { "object", decider.key.toString() }, { "revision", decider.revision } });
        boost::json::object one;
        one["name"] = target.name;
        one["allowed"] = !routes.empty();
        one["routes"] = std::move(routes);
        one["closed_because"] = target.closeReason;
        targets.push_back(std::move(one));
    }
    boost::json::object body;
    body["labels"] = decision.labels.toString();
    body["rules"] = std::move(rules);
    body["targets"] = std::move(targets);
    return ok(body);
}

Http::Response OperatorApi::readiness() const
{
    if (m_control.fleet()->isReady)
        return Http::jsonResponse(Http::Status::Ok, R"({"status":"ready"})");
    return Http::jsonResponse(Http::Status::ServiceUnavailable, R"({"status":"the configuration or the VM list has not been read yet"})");
}

Http::Response OperatorApi::metrics() const
{
    MetricsSample sample;
    sample.configOffset = m_control.config().fold().nextOffset();
    sample.openRequests = m_dispatcher.openRequests();
    sample.keptAnswerBytes = m_keeper.keptBytes();
    sample.rememberedTickets = m_keeper.rememberedTickets();
    sample.blockedChanges = m_control.authority().blocked().size();
    sample.roleChanges = m_control.authority().roleChanges();
    return Http::Response { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.text(sample) };
}

}
