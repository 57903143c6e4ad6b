#include <LibStandIn/EngineReports.h>

#include <LibJson/Reader.h>
#include <LibStandIn/Api.h>
#include <boost/json/array.hpp>

namespace StandIn {

using std::chrono::milliseconds;

Core::Result<EngineOrder> parseOrder(std::string_view body)
{
    BOOST_OUTCOME_TRY(boost::json::object object, Json::parseObject(body));
    BOOST_OUTCOME_TRY(std::optional<std::uint64_t> fencing, Json::optionalNumber(object, "fencing"));
    BOOST_OUTCOME_TRY(std::optional<std::string> role, Json::optionalString(object, "role"));
    EngineOrder order;
    order.fencing = fencing.value_or(0);
    if (role) {
        order.role = Core::valueOf(roleNames, *role);
        if (!order.role)
            return Core::fail(Core::ErrorCode::BadInput, "'role' must be mixed, prefill or decode.");
    }
    BOOST_OUTCOME_TRY(order.model, Json::optionalString(object, "model"));
    BOOST_OUTCOME_TRY(order.adapter, Json::optionalString(object, "adapter"));
    BOOST_OUTCOME_TRY(order.version, Json::optionalString(object, "version"));
    return order;
}

Http::Response stateResponse(EngineCore& core, std::string const& incarnation, EngineCore::Time now)
{
    EngineLoad load = core.reportedLoad(now);
    EngineControl const& control = core.control();
    EngineConfiguration const& it = control.configuration();
    return objectResponse(Http::Status::Ok,
        { { "name", core.settings().name }, { "incarnation", incarnation }, { "checks_fencing", control.checksFencing() },
            { "fencing", control.fencing() }, { "role", Core::nameOf(roleNames, it.role) }, { "phase", Core::nameOf(phaseNames, control.phase()) },
            { "model", it.model }, { "adapter", it.adapter }, { "version", it.version }, { "running", load.running }, { "waiting", load.waiting },
            { "waiting_prompt_tokens", load.waitingPromptTokens }, { "kv_used_tokens", load.kvUsedTokens },
            { "kv_capacity_tokens", core.settings().kvCapacityTokens }, { "as_of_ms_ago", core.settings().loadLag.count() } });
}

Http::Response cacheEventsResponse(PromptCache const& cache, std::uint64_t from, PromptCache::Time now)
{
    boost::json::array events;
    for (CacheEvent const& it : cache.events(from, now))
        events.push_back(boost::json::object { { "offset", it.offset }, { "kind", it.isStored ? "stored" : "evicted" }, { "prefix", std::to_string(it.prefix) } });
    return objectResponse(Http::Status::Ok, { { "first", cache.firstEvent() }, { "next", cache.nextEvent(now) }, { "events", std::move(events) } });
}

Http::Response modelsResponse(EngineConfiguration const& configuration)
{
    boost::json::array models;
    for (std::string const& it : { configuration.model, configuration.adapter }) {
        if (!it.empty())
            models.push_back(boost::json::object { { "id", it }, { "object", "model" }, { "created", 0 }, { "owned_by", "currantvale-standin" } });
    }
    return objectResponse(Http::Status::Ok, { { "object", "list" }, { "data", std::move(models) } });
}

}
