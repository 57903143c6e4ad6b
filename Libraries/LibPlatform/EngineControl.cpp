#include <LibPlatform/EngineControl.h>
#include <LibPlatform/Json.h>
#include <boost/json/serialize.hpp>

namespace Platform {

namespace {

namespace Asio = boost::asio;
using Endpoint = Asio::ip::tcp::endpoint;

constexpr std::size_t replyLimit = 64U * 1024;

std::uint32_t smallNumber(boost::json::object const& object, std::string_view key)
{
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(numberOf(object, key), UINT32_MAX));
}

Core::Result<EngineState> parseState(std::string_view json)
{
    BOOST_OUTCOME_TRY(boost::json::object object, parseObject(json));
    EngineState state;
    state.incarnation = stringOf(object, "incarnation");
    state.checksFencing = flagOf(object, "checks_fencing");
    state.fencing = numberOf(object, "fencing");
    state.role = stringOf(object, "role");
    std::optional<EnginePhase> phase = Core::valueOf(enginePhaseNames, stringOf(object, "phase"));
    if (!phase || state.role.empty())
        return Core::fail(Core::ErrorCode::BadInput, "the engine's state lacks a known \"phase\" or \"role\"");
    state.phase = *phase;
    state.model = stringOf(object, "model");
    state.adapter = stringOf(object, "adapter");
    state.version = stringOf(object, "version");
    state.running = smallNumber(object, "running");
    state.waiting = smallNumber(object, "waiting");
    state.waitingPromptTokens = smallNumber(object, "waiting_prompt_tokens");
    state.kvUsedTokens = smallNumber(object, "kv_used_tokens");
    state.kvCapacityTokens = smallNumber(object, "kv_capacity_tokens");
    state.asOfAge = std::chrono::milliseconds(smallNumber(object, "as_of_ms_ago"));
    return state;
}

std::string printOrder(EngineOrder const& order)
{
    boost::json::object object;
    if (!order.id.empty())
        object["order_id"] = order.id;
    object["fencing"] = order.fencing;
    if (order.role)
        object["role"] = *order.role;
    if (order.model)
        object["model"] = *order.model;
    if (order.adapter)
        object["adapter"] = *order.adapter;
    if (order.version)
        object["version"] = *order.version;
    return boost::json::serialize(object);
}

Core::Result<OrderReply> parseReply(Http::Response const& response)
{
    if (response.status == static_cast<std::uint16_t>(Http::Status::Ok))
        return OrderReply { true, 0 };
    if (response.status != static_cast<std::uint16_t>(Http::Status::Conflict))
        return Core::makeUncertainError(Core::ErrorCode::Unavailable, "the engine answered " + std::to_string(response.status) + " to an order");
    BOOST_OUTCOME_TRY(boost::json::object object, parseObject(response.body));
    return OrderReply { false, numberOf(object, "fencing") };
}

Core::Result<CancelState> parseCancel(Http::Response const& response)
{
    if (response.status == static_cast<std::uint16_t>(Http::Status::NotFound))
        return CancelState::NeverSeen;
    if (response.status != static_cast<std::uint16_t>(Http::Status::Ok))
        return Core::makeUncertainError(Core::ErrorCode::Unavailable, "the engine answered " + std::to_string(response.status) + " to a cancel");
    BOOST_OUTCOME_TRY(boost::json::object object, parseObject(response.body));
    return stringOf(object, "state") == "finished" ? CancelState::Finished : CancelState::Canceled;
}

class HttpEngineControl final : public EngineControl {
public:
    explicit HttpEngineControl(Http::Client& client)
        : m_client(client)
    {
    }

    Asio::awaitable<Core::Result<EngineState>> state(Endpoint endpoint) override
    {
        Http::Request request;
        request.target = "/control/state";
        Core::Result<Http::Response> response = co_await m_client.fetch(endpoint, request, replyLimit);
        if (response.has_error())
            co_return Core::Result<EngineState>(response.error());
        if (response.value().status != static_cast<std::uint16_t>(Http::Status::Ok))
            co_return Core::Result<EngineState>(Core::makeError(Core::ErrorCode::Unavailable, "the engine answered " + std::to_string(response.value().status)));
        co_return parseState(response.value().body);
    }

    Asio::awaitable<Core::Result<OrderReply>> order(Endpoint endpoint, EngineOrder order, std::function<bool()> mayWrite) override
    {
        Http::Request request;
        request.method = "POST";
        request.target = "/control/orders";
        request.body = printOrder(order);
        Core::Result<std::unique_ptr<Http::Exchange>> connected = co_await m_client.connect(endpoint, Http::ConnectionChoice::Fresh);
        if (connected.has_error())
            co_return Core::Result<OrderReply>(connected.error());
        if (!mayWrite())
            co_return Core::Result<OrderReply>(Core::makeError(Core::ErrorCode::LostAuthority, "the lease lapsed before the order was written"));
        Http::Exchange& exchange = *connected.value();
        Core::Result<void> started = co_await exchange.start(request);
        if (started.has_error())
            co_return Core::Result<OrderReply>(started.error());
        Core::Result<Http::Response> response = co_await Http::readWhole(exchange, replyLimit);
        if (response.has_error())
            co_return Core::Result<OrderReply>(response.error());
        co_return parseReply(response.value());
    }

    Asio::awaitable<Core::Result<CancelState>> cancel(Endpoint endpoint, std::string requestId) override
    {
        Http::Request request;
        request.method = "DELETE";
        request.target = "/v1/streams/" + requestId;
        Core::Result<Http::Response> response = co_await m_client.fetch(endpoint, request, replyLimit);
        if (response.has_error())
            co_return Core::Result<CancelState>(response.error());
        co_return parseCancel(response.value());
    }

private:
    Http::Client& m_client;
};

}

std::unique_ptr<EngineControl> createHttpEngineControl(Http::Client& client)
{
    return std::make_unique<HttpEngineControl>(client);
}

}
