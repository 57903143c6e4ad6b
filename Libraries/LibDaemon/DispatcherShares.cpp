// The part of Dispatcher that divides the places of scarce targets with the other daemons: docs/design/place-shares.md.

#include <LibCore/EventLog.h>
#include <LibDaemon/DispatcherWaiter.h>
#include <algorithm>
#include <numeric>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

// Demand is measured ten times a second and averaged over about a third of one. A mean that rises faster than it falls would count
// requests that have ended, at each daemon, and places would seem scarce that are free.
constexpr double demandSmoothing = 0.3;
constexpr double negligibleDemand = 0.01;
// The time of a request at its target is averaged over about so many answers.
constexpr double serviceTimeAnswers = 32;
// Peers are told of the demand before the places are all taken, so that the first division knows it.
constexpr double tellAt = 0.7;
// Organisations that are named in a beacon; the others' demand is summed up.
constexpr std::size_t namedOrganisations = 8;

Admission::PlaceDemand summarize(std::string const& service, std::map<std::string, double> const& demands)
{
    Admission::PlaceDemand summary { service, {} };
    for (std::pair<std::string const, double> const& it : demands)
        summary.organisations.push_back({ it.first, it.second });
    if (summary.organisations.size() <= namedOrganisations)
        return summary;
    std::sort(summary.organisations.begin(), summary.organisations.end(), [](Admission::OrganisationDemand const& left, Admission::OrganisationDemand const& right) { return left.places > right.places; });
    double others = std::accumulate(summary.organisations.begin() + namedOrganisations, summary.organisations.end(), 0.0, [](double sum, Admission::OrganisationDemand const& it) { return sum + it.places; });
    summary.organisations.resize(namedOrganisations);
    summary.organisations.push_back({ "", others });
    return summary;
}

}

// Called with the mutex held. A target whose places are not known cannot be divided.
void Dispatcher::setPlaces(FleetSnapshot const& fleet)
{
    if (!m_sharesPlaces)
        return;
    std::map<std::string, std::vector<Admission::TargetPlaces>> before = std::exchange(m_places, {});
    for (FleetTarget const& target : fleet.targets) {
        bool isDivisible = target.kind == Platform::VmKind::Service && target.slots != 0 && !target.isClosed();
        if (isDivisible)
            m_places[target.work()].push_back({ target.key, target.slots });
    }
    for (std::pair<std::string const, std::vector<Admission::TargetPlaces>> const& it : before) {
        if (m_places.contains(it.first))
            continue;
        m_shares.setTargets(it.first, {});
        m_fleetQueue.remove(it.first);
        m_divided.erase(it.first);
    }
    // A target that closes loses its allotment, which would bind it when it opens after the division has ended.
    std::set<std::uint32_t> divisible;
    for (std::pair<std::string const, std::vector<Admission::TargetPlaces>> const& service : m_places) {
        for (Admission::TargetPlaces const& it : service.second)
            divisible.insert(m_targetIdsByKey.at(it.target));
    }
    std::erase_if(m_allotted, [&divisible](std::pair<std::uint32_t const, std::uint32_t> const& it) { return !divisible.contains(it.first); });
    for (std::pair<std::string const, std::vector<Admission::TargetPlaces>> const& it : m_places)
        m_shares.setTargets(it.first, it.second);
}

// Called with the mutex held.
void Dispatcher::measureDemand()
{
    std::map<std::string, std::map<std::string, double>> now;
    for (std::pair<std::uint64_t const, std::shared_ptr<Waiter>> const& it : m_waiters) {
        PlacementRequest const& request = it.second->request;
        if (m_places.contains(request.work))
            now[request.work][request.organisation] += 1;
    }
    for (std::pair<std::string const, std::map<std::string, double>>& service : m_placeDemands) {
        for (std::pair<std::string const, double>& it : service.second) {
            double current = now[service.first][it.first];
            it.second += demandSmoothing * (current - it.second);
        }
        std::erase_if(service.second, [](std::pair<std::string const, double> const& it) { return it.second < negligibleDemand; });
    }
    for (std::pair<std::string const, std::map<std::string, double>> const& service : now) {
        for (std::pair<std::string const, double> const& it : service.second) {
            if (it.second > 0)
                m_placeDemands[service.first].try_emplace(it.first, demandSmoothing * it.second);
        }
    }
}

// Called with the mutex held.
bool Dispatcher::mayBecomeScarce(std::string const& service, std::vector<Admission::TargetPlaces> const& targets)
{
    double open = 0;
    double places = 0;
    for (Admission::TargetPlaces const& it : targets) {
        open += m_openWork.total(it.target, Clock::now()).requests;
        places += it.places;
    }
    return m_divided.contains(service) || open >= tellAt * places;
}

void Dispatcher::updateShares()
{
    std::lock_guard lock(m_mutex);
    if (!m_sharesPlaces)
        return;
    Clock::time_point now = Clock::now();
    measureDemand();
    m_scarceServices.clear();
    std::vector<Admission::PlaceDemand> own;
    for (std::pair<std::string const, std::vector<Admission::TargetPlaces>> const& it : m_places) {
        if (mayBecomeScarce(it.first, it.second))
            m_scarceServices.insert(it.first);
        own.push_back(summarize(it.first, m_placeDemands[it.first]));
    }
    m_shares.setOwn(std::move(own), now);
    std::chrono::milliseconds wallClock = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    for (std::pair<std::string const, std::vector<Admission::TargetPlaces>> const& it : m_places) {
        updateFleetQueue(it.first, now);
        setAllotment(it.first, m_shares.allotment(it.first, now, wallClock));
    }
    applyAdmissionResults();
}

// Called with the mutex held. What the targets work off follows from their places at once, also when some have gone.
void Dispatcher::updateFleetQueue(std::string const& service, Clock::time_point now)
{
    Admission::FleetQueueState state;
    state.demand = m_shares.demand(service, now);
    for (std::pair<std::string const, double> const& it : m_placeDemands[service])
        state.ownDemand += it.second;
    std::map<std::string, double>::const_iterator seconds = m_serviceSeconds.find(service);
    state.perSecond = seconds == m_serviceSeconds.end() ? 0 : state.demand.places / seconds->second;
    m_fleetQueue.update(service, state, now);
}

// Called with the mutex held, when the placement of an answered request ends. A request that found the places taken has waited at the
// target for those before it.
void Dispatcher::noteServiceTime(Waiter const& waiter)
{
    FleetTarget const& target = waiter.request.fleet->targets[*waiter.outcome.position];
    bool isDivisible = target.kind == Platform::VmKind::Service && target.slots != 0;
    if (!m_sharesPlaces || !waiter.isAnswered || !isDivisible)
        return;
    double seconds = std::chrono::duration<double>(Clock::now() - waiter.sentAt).count() * target.slots / std::max(target.slots, waiter.openAtSend);
    std::pair<std::map<std::string, double>::iterator, bool> mean = m_serviceSeconds.try_emplace(waiter.request.work, seconds);
    mean.first->second += (seconds - mean.first->second) / serviceTimeAnswers;
}

// Called with the mutex held. Nothing of this attempt has been sent.
bool Dispatcher::isRefusedForFleet(Waiter& waiter)
{
    PlacementRequest const& request = waiter.request;
    if (!m_sharesPlaces || !m_places.contains(request.work))
        return false;
    double spread = std::uniform_real_distribution<double>(0, 1)(m_random);
    std::optional<Admission::FleetRefusal> refusal = m_fleetQueue.enter({ request.work, request.organisation, request.workKey, request.latestStart }, spread, Clock::now());
    if (!refusal)
        return false;
    waiter.outcome.error = Core::makeError(Core::ErrorCode::Overloaded, "The targets cannot start the request in time, with what all daemons have waiting.");
    waiter.outcome.retryAfter = refusal->retryAfter;
    waiter.isResolved = true;
    std::chrono::milliseconds left = std::chrono::duration_cast<std::chrono::milliseconds>(request.latestStart - Clock::now());
    Core::logEvent(Core::Severity::Warning, Core::Event::RefusedForFleet, { { "request", request.requestId }, { "service", request.work }, { "organisation", request.organisation }, { "ahead", std::to_string(refusal->ahead) }, { "per_s", std::to_string(refusal->perSecond) }, { "left_ms", std::to_string(left.count()) }, { "retry_after_ms", std::to_string(refusal->retryAfter.count()) } });
    return true;
}

// Called with the mutex held. Requests that are open beyond the allotment end as they would.
void Dispatcher::setAllotment(std::string const& service, std::optional<Admission::PlaceAllotment> const& allotment)
{
    bool wasDivided = m_divided.contains(service);
    if (allotment)
        m_divided[service] = m_shares.scarcity(service, Clock::now());
    else
        m_divided.erase(service);
    if (!allotment && !wasDivided)
        return;
    for (Admission::TargetPlaces const& it : m_places[service]) {
        std::unordered_map<std::uint64_t, std::uint32_t>::const_iterator id = m_targetIdsByKey.find(it.target);
        if (id == m_targetIdsByKey.end())
            continue;
        if (!allotment) {
            m_allotted.erase(id->second);
        } else {
            std::map<std::uint64_t, std::uint32_t>::const_iterator places = allotment->places.find(it.target);
            m_allotted[id->second] = places == allotment->places.end() ? 0 : places->second;
        }
        resolve(m_admission->setTarget(id->second, admittedAt(id->second), m_groupsOfTarget[id->second]));
    }
    if (wasDivided != allotment.has_value())
        logDivision(service, allotment.has_value());
}

// Called with the mutex held.
std::uint32_t Dispatcher::admittedAt(std::uint32_t targetId) const
{
    std::unordered_map<std::uint32_t, std::uint32_t>::const_iterator limit = m_limits.find(targetId);
    std::unordered_map<std::uint32_t, std::uint32_t>::const_iterator allotted = m_allotted.find(targetId);
    std::uint32_t admitted = limit == m_limits.end() ? 0 : limit->second;
    return allotted == m_allotted.end() ? admitted : std::min(admitted, allotted->second);
}

// Called with the mutex held.
void Dispatcher::logDivision(std::string const& service, bool isDivided) const
{
    std::uint32_t places = 0;
    for (Admission::TargetPlaces const& it : m_places.at(service)) {
        std::unordered_map<std::uint32_t, std::uint32_t>::const_iterator own = m_allotted.find(m_targetIdsByKey.at(it.target));
        places += own == m_allotted.end() ? 0 : own->second;
    }
    double demand = 0;
    std::map<std::string, std::map<std::string, double>>::const_iterator own = m_placeDemands.find(service);
    if (own != m_placeDemands.end()) {
        for (std::pair<std::string const, double> const& it : own->second)
            demand += it.second;
    }
    Core::logEvent(Core::Severity::Info, Core::Event::PlacesDivided, { { "service", service }, { "divided", isDivided ? "yes" : "no" }, { "scarcity", std::to_string(m_shares.scarcity(service, Clock::now())) }, { "own_places", std::to_string(places) }, { "own_demand", std::to_string(demand) } });
}

std::vector<Admission::PlaceDemand> Dispatcher::placeDemands() const
{
    std::lock_guard lock(m_mutex);
    std::vector<Admission::PlaceDemand> demands;
    for (std::string const& service : m_scarceServices) {
        std::map<std::string, std::map<std::string, double>>::const_iterator own = m_placeDemands.find(service);
        if (own != m_placeDemands.end() && !own->second.empty())
            demands.push_back(summarize(service, own->second));
    }
    return demands;
}

void Dispatcher::takePeerPlaceDemands(std::string const& peer, std::vector<Admission::PlaceDemand> demands, std::chrono::milliseconds lifetime)
{
    std::lock_guard lock(m_mutex);
    if (m_sharesPlaces)
        m_shares.setPeer(peer, std::move(demands), Clock::now(), lifetime);
}

std::map<std::string, double> Dispatcher::scarcities() const
{
    std::lock_guard lock(m_mutex);
    return m_divided;
}

}
