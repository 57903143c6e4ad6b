// The part of Dispatcher that measures the speed of engines and the demand of requests on them.

#include <LibDaemon/DispatcherWaiter.h>
#include <algorithm>
#include <utility>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

double secondsOf(Clock::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

}

void Dispatcher::notePromptTime(std::uint64_t id, Clock::duration duration)
{
    std::lock_guard lock(m_mutex);
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>>::iterator it = m_waiters.find(id);
    if (it == m_waiters.end() || !it->second->outcome.position)
        return;
    noteUsualPrompt(*it->second, duration);
    notePromptPace(*it->second, duration);
    if (!it->second->isOnlyPrompt)
        return;
    Waiter const& waiter = *it->second;
    std::uint64_t key = waiter.request.fleet->targets[*waiter.outcome.position].key;
    // Prompts that were sent there in the meantime shared the engine with it.
    constexpr double negligibleSeconds = 1e-6;
    if (m_openWork.total(key, Clock::now()).prefillSeconds > waiter.work.prefillSeconds + negligibleSeconds)
        return;
    // The cost of an average target, whichever targets get most prompts.
    double factor = m_learnsPace ? promptFactor(key) : 1;
    m_speeds.notePrompt(waiter.request.work, key, { waiter.promptTokens, waiter.request.shape.promptTokens, secondsOf(duration) / factor });
}

void Dispatcher::noteEventGap(std::uint64_t id, Clock::duration duration)
{
    std::lock_guard lock(m_mutex);
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>>::iterator it = m_waiters.find(id);
    if (it == m_waiters.end() || !it->second->outcome.position)
        return;
    Waiter& waiter = *it->second;
    std::uint64_t key = waiter.request.fleet->targets[*waiter.outcome.position].key;
    // One event of each stream tells its pace: the others are no new evidence, and would be most of what daemons tell each other.
    if (m_learnsPace && !std::exchange(waiter.hasTakenEventPace, true))
        m_paces.note(key, Routing::PaceKind::Event, m_openWork.total(key, Clock::now()).requests, m_speeds.speed(waiter.request.work, Clock::now()).eventSeconds, secondsOf(duration), Clock::now());
    m_speeds.noteEventGap(waiter.request.work, key, secondsOf(duration));
}

double Dispatcher::expectedOutputSeconds(FleetSnapshot const& fleet, std::string const& service, Routing::RequestShape const& shape) const
{
    std::lock_guard lock(m_mutex);
    return outputSeconds(fleet, service, shape, Clock::now());
}

// Returns the time on an average engine; 0 if unknown. Called with the mutex held.
double Dispatcher::outputSeconds(FleetSnapshot const& fleet, std::string const& service, Routing::RequestShape const& shape, Clock::time_point now) const
{
    State::ServiceTerms const* terms = fleet.services ? fleet.services->find(service) : nullptr;
    if (!terms || !terms->engine)
        return 0;
    double events = std::max(1.0, static_cast<double>(shape.expectedOutputTokens) / std::max<std::uint32_t>(1, terms->engine->tokensPerEvent));
    return events * m_speeds.speed(service, now).eventSeconds;
}

// Called with the mutex held. Counts each request once, at its first attempt. Shared prefixes count as cached: computing them
// once after a start or the loss of a target is not part of the steady demand.
void Dispatcher::noteDemand(PlacementRequest const& request)
{
    notePartUse(request);
    bool isFirst = request.shape.phase == Routing::Phase::WholeOrPrefill && request.excluded.empty();
    State::ServiceTerms const* terms = request.fleet->services ? request.fleet->services->find(request.work) : nullptr;
    if (!isFirst || !terms || !terms->engine)
        return;
    m_services.insert(request.work);
    Clock::time_point now = Clock::now();
    Routing::RequestShape const& shape = request.shape;
    double promptSeconds = m_speeds.speed(request.work, now).promptCost.seconds(shape.promptTokens - std::min(shape.sharedTokens, shape.promptTokens), shape.promptTokens);
    double seconds = outputSeconds(*request.fleet, request.work, shape, now);
    // While an output is generated, the KV cache holds its prompt and, on average, half of the output.
    double tokens = shape.promptTokens + shape.expectedOutputTokens / 2.0;
    m_demand.note(request.work, { promptSeconds, seconds, seconds * tokens }, now);
}

std::vector<Routing::ServiceReport> Dispatcher::serviceReports() const
{
    std::lock_guard lock(m_mutex);
    Clock::time_point now = Clock::now();
    std::vector<Routing::ServiceReport> reports;
    for (std::string const& service : m_services)
        reports.push_back({ service, m_demand.demand(service, now), m_speeds.own(service), m_spreadsParts ? std::optional(m_promptLoad.own(service, now)) : std::nullopt });
    return reports;
}

double Dispatcher::slowness(std::uint64_t targetKey, Routing::TargetRole role) const
{
    std::lock_guard lock(m_mutex);
    return role == Routing::TargetRole::Prefill ? promptFactor(targetKey) : eventFactor(targetKey, role);
}

void Dispatcher::takePeerReports(std::string const& peer, std::vector<Routing::ServiceReport> const& reports)
{
    std::lock_guard lock(m_mutex);
    Clock::time_point now = Clock::now();
    for (Routing::ServiceReport const& it : reports) {
        m_speeds.setPeer(it.service, peer, it.speed, now);
        if (m_spreadsParts)
            m_promptLoad.setPeer(it.service, peer, it.promptLoad, now);
    }
}

}
