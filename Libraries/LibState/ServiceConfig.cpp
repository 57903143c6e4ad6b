#include <LibState/ServiceConfig.h>

namespace State {

namespace {

Core::Result<void> addObject(FoldState& state, Kind kind, std::string const& name, Fields const& fields, std::uint64_t revision)
{
    BOOST_OUTCOME_TRY(checkName(name));
    BOOST_OUTCOME_TRY(Content content, parseContent(kind, fields));
    Object object { { kind, name }, revision, std::move(content) };
    ObjectKey key = object.key;
    state.objects.emplace(std::move(key), std::make_shared<Object const>(std::move(object)));
    return Core::ok();
}

std::string servicesOf(EntryRoute const& route)
{
    std::string names;
    for (RouteShare const& share : route.shares)
        names += (names.empty() ? "" : ",") + share.service;
    return names;
}

Core::Result<void> addRoute(FoldState& state, EntryRoute const& route, std::uint64_t revision)
{
    std::string when = std::string(routeLabel) + "=" + route.name;
    std::string set = "priority=" + std::to_string(route.priority) + ",repeatable=" + (route.isRepeatable ? "yes" : "no");
    BOOST_OUTCOME_TRY(addObject(state, Kind::RequestRule, route.name, { { "when", when }, { "set", set } }, revision));
    std::string targets = std::string(serviceLabel) + " in (" + servicesOf(route) + ")";
    return addObject(state, Kind::Route, route.name, { { "requests", when }, { "targets", targets } }, revision);
}

}

ServiceTerms const* ServiceConfig::find(std::string_view service) const
{
    for (ServiceTerms const& terms : services) {
        if (terms.name == service)
            return &terms;
    }
    return nullptr;
}

Core::Result<std::shared_ptr<Config const>> toLabelConfig(ServiceConfig const& config, std::uint64_t revision)
{
    FoldState state;
    state.nextOffset = revision + 1;
    for (EntryRoute const& route : config.routes.all()) {
        BOOST_OUTCOME_TRY(addRoute(state, route, revision));
    }
    for (ServiceTerms const& service : config.services) {
        if (!service.engine)
            continue;
        Fields group { { "targets", std::string(serviceLabel) + "=" + service.name }, { "roles", "prefill,decode" } };
        BOOST_OUTCOME_TRY(addObject(state, Kind::Group, service.name, group, revision));
    }
    return Config::create(state);
}

}
