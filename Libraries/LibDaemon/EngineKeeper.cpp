#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>
#include <LibDaemon/EngineKeeper.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace Daemon {

namespace {

using Clock = Core::BootClock;

// After an order that the platform did not take, for another reason than that there are no engines.
constexpr std::chrono::milliseconds retryDelay { 500 };
// From the first order until engines serve and those that they replace are gone.
constexpr std::chrono::milliseconds replaceTime { 1'000 };

std::string_view nameOf(Roles::EngineKind kind)
{
    return kind == Roles::EngineKind::Lasting ? "lasting" : "reclaimable";
}

}

EngineKeeper::EngineKeeper(boost::asio::io_context& context, DutyCalls& calls, Roles::FleetSizerSettings const& settings, Hooks hooks)
    : m_context(context)
    , m_calls(calls)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
{
}

// Counts the engines that serve, of each service that may be ordered.
void EngineKeeper::look(FleetSnapshot const& fleet)
{
    for (std::pair<std::string const, Service>& it : m_services) {
        for (std::pair<std::string const, Roles::ZoneEngines>& zone : it.second.zones)
            zone.second = { zone.first, 0, 0 };
    }
    for (FleetTarget const& target : fleet.targets) {
        State::ServiceTerms const* terms = fleet.services->find(target.pool);
        if (!terms || !terms->offer)
            continue;
        Service& service = m_services.try_emplace(target.pool, Service { Roles::FleetSizer(m_settings), {}, {}, {}, {}, {} }).first->second;
        service.bootTime = terms->offer->bootTime;
        for (std::pair<std::string const, double> const& price : terms->offer->zonePrices)
            service.zones[price.first].availabilityZone = price.first;
        Roles::ZoneEngines& zone = service.zones[target.availabilityZone];
        zone.availabilityZone = target.availabilityZone;
        if (!target.isLeaving)
            ++(target.isReclaimable ? zone.reclaimable : zone.lasting);
    }
}

void EngineKeeper::tick(FleetSnapshot const& fleet, Time now)
{
    if (m_isStopped || !fleet.isReady || !fleet.services)
        return;
    if (!m_hooks.isHolder()) {
        // Whoever comes to have the duty begins with what it finds.
        m_services.clear();
        return;
    }
    look(fleet);
    std::vector<Order> orders;
    for (std::pair<std::string const, Service>& it : m_services) {
        State::ServiceTerms const* terms = fleet.services->find(it.first);
        if (!terms || !terms->offer)
            continue;
        std::map<std::string, double>::const_iterator heard = m_heard.find(it.first);
        if (heard != m_heard.end())
            it.second.sizer.adopt(*terms->offer, heard->second);
        std::vector<Roles::ZoneEngines> zones;
        for (std::pair<std::string const, Roles::ZoneEngines> const& zone : it.second.zones)
            zones.push_back(zone.second);
        Roles::SplitDemand demand = m_hooks.demand(it.first);
        std::optional<double> engines = demand.isKnown ? std::optional(demand.prompts + demand.outputs) : std::nullopt;
        for (Roles::EngineOrder const& order : it.second.sizer.plan(*terms->offer, zones, engines, now))
            orders.push_back({ it.first, order });
        logSize(it.first, it.second, *terms->offer);
    }
    if (m_isWorking || orders.empty())
        return;
    m_isWorking = true;
    boost::asio::co_spawn(
        m_context, [this, orders = std::move(orders)] { return carryOut(orders); }, Core::logUncaughtException);
}

void EngineKeeper::logSize(std::string const& name, Service& service, State::EngineOffer const& offer)
{
    std::optional<Roles::FleetSize> const& size = service.sizer.size();
    if (!size || service.logged == size)
        return;
    service.logged = size;
    service.why = service.sizer.explain(offer);
    Core::logEvent(Core::Severity::Info, Core::Event::EnginesWanted, { { "pool", name }, { "demand", std::to_string(size->demand) }, { "known", size->isDemandKnown ? "yes" : "no" }, { "wanted", std::to_string(size->wanted) }, { "lasting", std::to_string(size->lasting) }, { "strained", std::to_string(size->strained) }, { "why", service.why } });
}

bool EngineKeeper::isFirstSizing(std::string const& service, Time now) const
{
    std::map<std::string, Service>::const_iterator it = m_services.find(service);
    if (it == m_services.end())
        return false;
    bool isYoung = !it->second.firstOrderAt || now - *it->second.firstOrderAt < it->second.bootTime + replaceTime;
    return isYoung && !m_hooks.demand(service).isKnown;
}

boost::asio::awaitable<void> EngineKeeper::carryOut(std::vector<Order> orders)
{
    for (Order const& it : orders) {
        bool mayCall = co_await m_calls.gain();
        if (!mayCall || m_isStopped || !m_hooks.isHolder())
            break;
        Platform::EngineCount count { it.service, it.order.availabilityZone, it.order.count, it.order.kind == Roles::EngineKind::Reclaimable };
        DutyCalls::Reply reply = co_await m_calls.orderEngines(std::move(count));
        bool isAccepted = reply.has_value() && reply.value() == Platform::DutyReply::Accepted;
        // Not even the platform knows yet whether it is carried out: the list of engines will tell.
        bool isUnknown = reply.has_error() && reply.error().verdict != Core::Verdict::NotRun;
        std::string answer = isAccepted ? "accepted" : isUnknown ? "unknown"
            : reply.has_value()                                  ? "refused"
                                                                 : "not taken";
        Core::logEvent(Core::Severity::Info, Core::Event::EnginesOrdered, { { "pool", it.service }, { "availability_zone", it.order.availabilityZone }, { "kind", std::string(nameOf(it.order.kind)) }, { "count", std::to_string(it.order.count) }, { "fencing", std::to_string(m_calls.fencing().value_or(0)) }, { "answer", answer }, { "error", reply.has_error() ? reply.error().message : "-" } });
        std::map<std::string, Service>::iterator service = m_services.find(it.service);
        if (service == m_services.end())
            break;
        Time now = Clock::now();
        m_accepted += isAccepted ? 1 : 0;
        if (isAccepted || isUnknown) {
            service->second.sizer.recordOrder(it.order, now);
            service->second.firstOrderAt = service->second.firstOrderAt.value_or(now);
        } else if (reply.has_value() && it.order.kind == Roles::EngineKind::Reclaimable) {
            service->second.sizer.recordScarcity(it.order, now);
        } else if (reply.has_value()) {
            m_calls.loseAuthority();
            break;
        } else {
            co_await wait(retryDelay);
            break;
        }
    }
    m_isWorking = false;
}

boost::asio::awaitable<void> EngineKeeper::wait(std::chrono::milliseconds duration)
{
    boost::asio::steady_timer timer(m_context, duration);
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

std::map<std::string, double> EngineKeeper::demands() const
{
    std::map<std::string, double> demands;
    for (std::pair<std::string const, Service> const& it : m_services) {
        if (it.second.sizer.size())
            demands[it.first] = it.second.sizer.size()->demand;
    }
    return demands;
}

std::vector<EngineKeeper::Status> EngineKeeper::status() const
{
    std::vector<Status> all;
    for (std::pair<std::string const, Service> const& it : m_services) {
        Status status { it.first, it.second.sizer.size().value_or(Roles::FleetSize()), it.second.why, 0, 0 };
        for (std::pair<std::string const, Roles::ZoneEngines> const& zone : it.second.zones) {
            status.lasting += zone.second.lasting;
            status.reclaimable += zone.second.reclaimable;
        }
        all.push_back(std::move(status));
    }
    return all;
}

}
