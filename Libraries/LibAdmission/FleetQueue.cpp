#include <LibAdmission/FleetQueue.h>
#include <algorithm>

namespace Admission {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double negligiblePart = 1e-9;
// A daemon whose demand is not in the fleet's yet has some part nonetheless.
constexpr double leastOwnPart = 0.001;
// Callers wait no longer than a third of the time that they have left before they come back.
constexpr int timeLeftDivisor = 3;

}

Core::Result<FleetQueue> FleetQueue::create(FleetQueueSettings const& settings)
{
    if (settings.mostBookings == 0 || settings.lateness.count() < 0)
        return Core::fail(Core::ErrorCode::BadInput, "The number of bookings must be greater than 0, and lateness 0 or more.");
    return FleetQueue(settings);
}

FleetQueue::FleetQueue(FleetQueueSettings const& settings)
    : m_settings(settings)
{
}

void FleetQueue::update(std::string const& service, FleetQueueState const& state, TimePoint now)
{
    boost::unordered::erase_if(m_bookings, [&](std::pair<std::uint64_t const, Booking> const& it) { return it.second.due + m_settings.lateness < now; });
    Service& it = m_services[service];
    it.state = state;
    it.entered.clear();
    it.enteredSum = 0;
}

void FleetQueue::remove(std::string const& service)
{
    m_services.erase(service);
}

double FleetQueue::bookedUntil(std::string const& service, TimePoint until) const
{
    return static_cast<double>(std::count_if(m_bookings.begin(), m_bookings.end(), [&](std::pair<std::uint64_t const, Booking> const& it) { return it.second.service == service && it.second.due <= until; }));
}

std::optional<FleetRefusal> FleetQueue::enter(Newcomer const& newcomer, double spread, TimePoint now)
{
    std::map<std::string, Service>::iterator found = m_services.find(newcomer.service);
    if (found == m_services.end() || found->second.state.perSecond <= 0 || newcomer.latestStart <= now)
        return std::nullopt;
    Service& service = found->second;
    FleetQueueState const& state = service.state;
    boost::unordered_flat_map<std::uint64_t, Booking>::iterator booking = newcomer.key == 0 ? m_bookings.end() : m_bookings.find(newcomer.key);
    bool comesInTurn = booking != m_bookings.end() && booking->second.due <= now;
    double capacity = state.demand.places + state.perSecond * Seconds(newcomer.latestStart - now).count();
    double sum = state.demand.sum + service.enteredSum + 1;
    double ownPart = std::clamp(state.ownDemand / std::max(state.demand.sum, 1.0), leastOwnPart, 1.0);
    // The other daemons are taken to have as many requests to come back, for their part, as this one. Places that are free are for all.
    if (!comesInTurn && sum > state.demand.places)
        capacity = std::max<double>(state.demand.places, capacity - bookedUntil(newcomer.service, newcomer.latestStart) / ownPart);
    double excess = 0;
    double part = 0;
    if (sum > capacity) {
        std::map<std::string, double> demands = state.demand.byOrganisation;
        for (std::pair<std::string const, double> const& it : service.entered)
            demands[it.first] += it.second;
        double asked = demands[newcomer.organisation] += 1;
        part = divideFairly(demands, capacity).at(newcomer.organisation);
        excess = asked - part;
    }
    if (excess <= negligiblePart) {
        if (booking != m_bookings.end())
            m_bookings.erase(booking);
        service.entered[newcomer.organisation] += 1;
        service.enteredSum += 1;
        return std::nullopt;
    }
    FleetRefusal refusal { {}, sum - 1 - state.demand.places, state.perSecond };
    // A caller that repeats before its time is told the same time again.
    if (booking != m_bookings.end() && !comesInTurn)
        refusal.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(booking->second.due - now);
    else
        refusal.retryAfter = book(service, newcomer, excess / (state.perSecond * std::max(part / capacity, leastOwnPart)), spread, now);
    return refusal;
}

// Requests that are refused here come back one after the other, as this daemon's part of the places becomes free.
std::chrono::milliseconds FleetQueue::book(Service& service, Newcomer const& newcomer, double secondsToRoom, double spread, TimePoint now)
{
    FleetQueueState const& state = service.state;
    double ownPart = std::clamp(state.ownDemand / std::max(state.demand.sum, 1.0), leastOwnPart, 1.0);
    Seconds interval(1 / (state.perSecond * ownPart));
    TimePoint roomAt = now + std::chrono::duration_cast<TimePoint::duration>(Seconds(std::min(secondsToRoom, Seconds(newcomer.latestStart - now).count())) + interval * spread);
    TimePoint due = std::max(roomAt, service.lastDue + std::chrono::duration_cast<TimePoint::duration>(interval));
    TimePoint latest = now + (newcomer.latestStart - now) / timeLeftDivisor;
    if (due > latest)
        due = now + std::chrono::duration_cast<TimePoint::duration>(Seconds(latest - now) * (1 + spread) / 2);
    service.lastDue = std::max(service.lastDue, due);
    if (newcomer.key != 0 && (m_bookings.size() < m_settings.mostBookings || m_bookings.contains(newcomer.key)))
        m_bookings[newcomer.key] = { due, newcomer.service };
    return std::max(std::chrono::milliseconds(1), std::chrono::ceil<std::chrono::milliseconds>(due - now));
}

}
