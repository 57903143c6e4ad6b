#include <LibAdmission/PlaceShares.h>
#include <algorithm>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cmath>
#include <numeric>
#include <string_view>
#include <tuple>

namespace Admission {

namespace {

// Any irrational part spreads the turns of daemons that share a place evenly; this one does so soonest.
constexpr double goldenRatio = 0.6180339887498949;

// Sums that are equal but for rounding differ by less.
constexpr double negligiblePart = 1e-9;

// Returns how many of the places fair parts give to organisations beyond what these get if each is served by how much it sends.
double movedPlaces(FleetDemand const& demand)
{
    double moved = 0;
    for (std::pair<std::string const, double> const& it : divideFairly(demand.byOrganisation, demand.places))
        moved += std::max(0.0, it.second - demand.places * demand.byOrganisation.at(it.first) / demand.sum);
    return moved;
}

template <typename Each>
double demandOf(std::vector<PlaceDemand> const& demands, std::string const& service, Each const& each)
{
    double sum = 0;
    for (PlaceDemand const& demand : demands) {
        if (demand.service != service)
            continue;
        for (OrganisationDemand const& it : demand.organisations) {
            if (!(it.places > 0) || !std::isfinite(it.places))
                continue;
            sum += it.places;
            each(it);
        }
    }
    return sum;
}

}

std::map<std::string, double> divideFairly(std::map<std::string, double> const& demands, double places)
{
    std::vector<std::pair<double, std::string>> byDemand;
    for (std::pair<std::string const, double> const& it : demands)
        byDemand.emplace_back(it.second, it.first);
    // The sum of small organisations stands for each of them, and is served first.
    std::sort(byDemand.begin(), byDemand.end(), [](std::pair<double, std::string> const& left, std::pair<double, std::string> const& right) {
        return std::tuple(!left.second.empty(), left.first, left.second) < std::tuple(!right.second.empty(), right.first, right.second);
    });
    std::map<std::string, double> parts;
    double left = places;
    std::size_t remaining = byDemand.size();
    for (std::pair<double, std::string> const& it : byDemand) {
        double most = it.second.empty() ? left : left / static_cast<double>(remaining);
        double part = std::min(it.first, most);
        parts[it.second] = part;
        left -= part;
        --remaining;
    }
    return parts;
}

Core::Result<PlaceShares> PlaceShares::create(PlaceShareSettings const& settings, std::string self)
{
    auto isUsable = [](double value) { return std::isfinite(value) && value >= 0; };
    if (!isUsable(settings.queuePerPlace) || !isUsable(settings.scarceAt) || !isUsable(settings.leastMeanPart) || !isUsable(settings.leastMoved) || settings.turn.count() <= 0)
        return Core::fail(Core::ErrorCode::BadInput, "The queue for each place and the parts from which places are divided must be 0 or more, and a turn longer than 0.");
    return PlaceShares(settings, std::move(self));
}

PlaceShares::PlaceShares(PlaceShareSettings const& settings, std::string self)
    : m_settings(settings)
    , m_self(std::move(self))
{
}

void PlaceShares::setTargets(std::string const& service, std::vector<TargetPlaces> targets)
{
    std::sort(targets.begin(), targets.end(), [](TargetPlaces const& left, TargetPlaces const& right) { return left.target < right.target; });
    if (targets.empty())
        m_targets.erase(service);
    else
        m_targets[service] = std::move(targets);
}

void PlaceShares::setOwn(std::vector<PlaceDemand> demands, Time now)
{
    std::erase_if(m_reports, [now](std::pair<std::string const, Report> const& it) { return it.second.until <= now; });
    m_reports[m_self] = Report { std::move(demands), Time::max() };
}

void PlaceShares::setPeer(std::string const& peer, std::vector<PlaceDemand> demands, Time now, std::chrono::milliseconds lifetime)
{
    if (demands.empty())
        m_reports.erase(peer);
    else if (peer != m_self)
        m_reports[peer] = Report { std::move(demands), now + lifetime };
}

double PlaceShares::scarcity(std::string const& service, Time now) const
{
    FleetDemand total = demand(service, now);
    return total.places > 0 ? total.sum / total.places : 0;
}

FleetDemand PlaceShares::demand(std::string const& service, Time now) const
{
    FleetDemand total;
    std::map<std::string, std::vector<TargetPlaces>>::const_iterator targets = m_targets.find(service);
    if (targets == m_targets.end())
        return total;
    total.places = std::accumulate(targets->second.begin(), targets->second.end(), 0U, [](std::uint32_t sum, TargetPlaces const& it) { return sum + it.places; });
    boost::unordered_flat_map<std::string_view, double> byOrganisation;
    for (std::pair<std::string const, Report> const& it : m_reports) {
        if (it.second.until <= now)
            continue;
        double own = demandOf(it.second.demands, service, [&byOrganisation](OrganisationDemand const& demand) { byOrganisation[demand.organisation] += demand.places; });
        total.sum += own;
        total.daemons += own > 0 ? 1 : 0;
    }
    for (std::pair<std::string_view const, double> const& it : byOrganisation)
        total.byOrganisation.emplace(it.first, it.second);
    return total;
}

// The places lie in a row, target by target; the daemons' parts lie side by side along it, by name. The place at k belongs to the
// daemon whose part covers k plus an offset that differs from turn to turn, so that parts of a place get it in turn.
std::optional<PlaceAllotment> PlaceShares::allotment(std::string const& service, Time now, std::chrono::milliseconds wallClock) const
{
    FleetDemand total = demand(service, now);
    if (total.sum <= m_settings.scarceAt * total.places)
        return std::nullopt;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> row;
    std::uint32_t length = 0;
    for (TargetPlaces const& it : m_targets.at(service)) {
        std::uint32_t places = it.places + static_cast<std::uint32_t>(std::floor(it.places * m_settings.queuePerPlace));
        row.emplace_back(it.target, places);
        length += places;
    }
    if (length < m_settings.leastMeanPart * static_cast<double>(total.daemons) || movedPlaces(total) + negligiblePart < m_settings.leastMoved * total.places)
        return std::nullopt;
    std::map<std::string, double> parts = divideFairly(total.byOrganisation, length);
    boost::unordered_flat_map<std::string_view, double> partOfDemand;
    for (std::pair<std::string const, double> const& it : parts)
        partOfDemand.emplace(it.first, it.second / total.byOrganisation.at(it.first));
    PlaceAllotment allotment;
    double begin = 0;
    double end = 0;
    for (std::pair<std::string const, Report> const& it : m_reports) {
        if (it.second.until <= now)
            continue;
        begin = end;
        bool isSelf = it.first == m_self;
        demandOf(it.second.demands, service, [&](OrganisationDemand const& demand) {
            double part = partOfDemand[demand.organisation] * demand.places;
            end += part;
            if (isSelf)
                allotment.organisations[demand.organisation] += part;
        });
        if (isSelf)
            break;
    }
    // The demand may ask for less than places and queues together; the rest is divided alike.
    double asked = std::accumulate(parts.begin(), parts.end(), 0.0, [](double sum, std::pair<std::string const, double> const& it) { return sum + it.second; });
    double scale = asked > 0 ? length / asked : 0;
    double turn = static_cast<double>(wallClock / m_settings.turn);
    double offset = turn * goldenRatio - std::floor(turn * goldenRatio);
    std::uint32_t first = 0;
    for (std::pair<std::uint64_t, std::uint32_t> const& it : row) {
        auto firstFrom = [offset](double position) { return std::max(0.0, std::ceil(position - offset)); };
        double from = std::clamp<double>(firstFrom(begin * scale), first, first + it.second);
        double until = std::clamp<double>(firstFrom(end * scale), first, first + it.second);
        if (until > from)
            allotment.places[it.first] = static_cast<std::uint32_t>(until - from);
        first += it.second;
    }
    for (std::pair<std::string const, double>& it : allotment.organisations)
        it.second *= scale;
    return allotment;
}

}
