// What a daemon on a platform with a keyed store answers to its operators.

#include <LibCore/EventLog.h>
#include <LibDaemon/Daemon.h>
#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace Daemon {

Http::Response Daemon::respondToOperators(Http::Request const& request)
{
    if (request.target == "/healthz")
        return Http::jsonResponse(Http::Status::Ok, R"({"status":"ok"})");
    if (request.target == "/readyz")
        return Http::jsonResponse(m_storeControl->isReady() ? Http::Status::Ok : Http::Status::ServiceUnavailable, "{}");
    if (request.target == "/suspects")
        return respondWithSuspects();
    if (request.target == "/limits")
        return respondWithLimits();
    if (request.target == "/paces")
        return respondWithPaces();
    if (request.target == "/duties")
        return respondWithDuties();
    if (request.target != "/metrics")
        return Http::jsonResponse(Http::Status::NotFound, Request::errorBody(Core::makeError(Core::ErrorCode::NotFound, "no such path: \"" + request.target + "\""), ""));
    return respondWithMetrics();
}

// Requests that ended targets, those that are refused first.
Http::Response Daemon::respondWithSuspects() const
{
    std::vector<Quarantine::Suspect> suspects = m_guard.suspects();
    std::sort(suspects.begin(), suspects.end(), [](Quarantine::Suspect const& a, Quarantine::Suspect const& b) { return a.ends.size() > b.ends.size(); });
    Core::BootClock::time_point now = Core::BootClock::now();
    boost::json::array list;
    for (Quarantine::Suspect const& suspect : suspects) {
        if (suspect.ends.empty())
            continue;
        boost::json::array ends;
        for (Quarantine::TargetEnd const& end : suspect.ends)
            ends.push_back(boost::json::object { { "target", end.target.name }, { "service", end.target.service }, { "release", end.target.release }, { "age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - end.at).count() } });
        list.push_back(boost::json::object { { "work_key", toLogText(suspect.key) }, { "refused", m_guard.disposition(suspect.key) == Quarantine::Guard::Disposition::Refused }, { "ends", std::move(ends) } });
    }
    return Http::jsonResponse(Http::Status::Ok, boost::json::serialize(boost::json::object { { "suspects", std::move(list) } }));
}

// Rate limits that targets state, and this daemon's share of each.
Http::Response Daemon::respondWithLimits() const
{
    boost::json::array list;
    for (std::pair<std::string const, Routing::RateLimitStatus> const& it : m_dispatcher->rateLimits())
        list.push_back(boost::json::object { { "target", it.first }, { "per_second", it.second.perSecond }, { "share_per_second", it.second.share } });
    return Http::jsonResponse(Http::Status::Ok, boost::json::serialize(boost::json::object { { "limits", std::move(list) } }));
}

// How fast targets are, and how many requests at once they take well, as the answers of all daemons show.
Http::Response Daemon::respondWithPaces() const
{
    boost::json::array list;
    for (PaceStatus const& it : m_dispatcher->paces())
        list.push_back(boost::json::object { { "target", it.target }, { "kind", Core::nameOf(Routing::paceKindNames, it.kind) }, { "time_factor", it.pace.factor }, { "knee", it.pace.knee ? boost::json::value(*it.pace.knee) : boost::json::value() }, { "answers", it.pace.evidence }, { "age_ms", it.pace.age.count() } });
    return Http::jsonResponse(Http::Status::Ok, boost::json::serialize(boost::json::object { { "paces", std::move(list) } }));
}

// Who has the singleton duties, as this daemon sees it, and what it has done of them itself.
Http::Response Daemon::respondWithDuties() const
{
    boost::json::array elders;
    for (std::string const& name : m_storeControl->elders())
        elders.emplace_back(name);
    boost::json::object body { { "holder", elders.empty() ? boost::json::value() : elders.front() }, { "next_holders", std::move(elders) } };
    std::optional<std::uint64_t> fencing = m_storeControl->dutyFencing();
    body["fencing"] = fencing ? boost::json::value(*fencing) : boost::json::value();
    if (UsageKeeper const* usage = m_storeControl->usage()) {
        UsageKeeper::Status status = usage->status();
        body["usage"] = boost::json::object { { "settled_before", status.settledBefore }, { "decided", status.decided }, { "reported", status.reported }, { "missed", status.missed }, { "clocks", status.clocks }, { "wall_ahead_of_boot_ms", status.offset.count() } };
    }
    boost::json::array services;
    if (EngineKeeper const* engines = m_storeControl->engineNumbers()) {
        for (EngineKeeper::Status const& it : engines->status())
            services.push_back(boost::json::object { { "service", it.service }, { "demand", it.size.demand }, { "demand_known", it.size.isDemandKnown }, { "wanted", it.size.wanted }, { "wanted_lasting", it.size.lasting }, { "needed_after_a_loss", it.size.strained }, { "serving_lasting", it.lasting }, { "serving_reclaimable", it.reclaimable }, { "why", it.why } });
    }
    body["engines"] = std::move(services);
    return Http::jsonResponse(Http::Status::Ok, boost::json::serialize(body));
}

void Daemon::sampleDuties(MetricsSample& sample) const
{
    // A lease that was left to another daemon lasts until the end of its term.
    sample.hasDuties = m_storeControl->hasDuties() && m_storeControl->dutyFencing().has_value();
    if (UsageKeeper const* usage = m_storeControl->usage()) {
        UsageKeeper::Status status = usage->status();
        sample.usageDecided = status.decided;
        sample.usageReported = status.reported;
        sample.usageMissed = status.missed;
    }
    EngineKeeper const* engines = m_storeControl->engineNumbers();
    if (!engines)
        return;
    sample.engineOrders = engines->accepted();
    for (EngineKeeper::Status const& it : engines->status()) {
        sample.enginesWanted += it.size.wanted;
        sample.enginesServing += it.lasting + it.reclaimable;
    }
}

Http::Response Daemon::respondWithMetrics()
{
    MetricsSample sample;
    sample.configVersion = m_storeControl->configVersion();
    for (std::pair<std::string const, Routing::RateLimitStatus> const& it : m_dispatcher->rateLimits())
        sample.targetRateLimits.emplace(it.first, it.second.perSecond);
    for (PaceStatus const& it : m_dispatcher->paces())
        sample.targetPaces.emplace(std::pair(it.target, std::string(Core::nameOf(Routing::paceKindNames, it.kind))), it.pace.factor);
    sample.storeReadAge = m_storeControl->storeReadAge();
    sample.targetListAge = m_storeControl->targetListAge().value_or(std::chrono::milliseconds(0));
    sample.heldAnswerBytes = m_shared->answerRoom.heldBytes();
    sample.slowReadersCut = m_shared->answerRoom.cutCount();
    sample.memory = m_memory->usage();
    sample.unsentRecordBytes = m_storeControl->unsentRecordBytes();
    sample.liveDaemons = m_storeControl->liveDaemons();
    for (FleetTarget const& target : m_storeControl->fleet()->targets)
        ++(target.isClosed() ? sample.closedTargets : sample.openTargets);
    sample.mayOrder = m_storeControl->engineLeases().mayOrder();
    sample.suspectedRequests = m_guard.suspectedCount();
    sample.quarantinedRequests = m_guard.refusedCount();
    sample.linesLeftOut = Core::linesLeftOut();
    sample.configOffset = m_storeControl->configVersion();
    sample.openRequests = m_dispatcher->openRequests();
    sample.roleChanges = m_storeControl->roles().accepted();
    sample.paths = m_dispatcher->paths().counts();
    sampleDuties(sample);
    return Http::Response { static_cast<std::uint16_t>(Http::Status::Ok), { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.text(sample) };
}

}
