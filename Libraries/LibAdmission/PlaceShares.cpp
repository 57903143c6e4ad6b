#include <LibAdmission/PlaceShares.h>
#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>
#include <tuple>

namespace Admission {

namespace {

// Any irrational part spreads the turns of daemons that share a place evenly; this one does so soonest.
constexpr double goldenRatio = 0.6180339887498949;

struct Total {
    std::map<std::string, double> byOrganisation;
    double sum { 0 };
};

// Divides places among organisations: each gets what it asks for or the same as the others that ask for more (max-min fairness).
std::map<std::string, double> divideFairly(Total const& demand, double places)
{
    std::vector<std::pair<double, std::string>> byDemand;
    for (std::pair<std::string const, double> const& it : demand.byOrganisation)
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

double demandOf(std::vector<PlaceDemand> const& demands, std::string const& service, std::function<void(OrganisationDemand const&)> const& each)
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

Core::Result<PlaceShares> PlaceShares::create(PlaceShareSettings const& settings, std::string self)
{
    bool isUsable = std::isfinite(settings.queuePerPlace) && settings.queuePerPlace >= 0 && std::isfinite(settings.scarceAt) && settings.scarceAt >= 0 && settings.turn.count() > 0;
    if (!isUsable)
        return Core::fail(Core::ErrorCode::BadInput, "The queue for each place and the part at which places are scarce must be 0 or more, and a turn longer than 0.");
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
    std::map<std::string, std::vector<TargetPlaces>>::const_iterator targets = m_targets.find(service);
    if (targets == m_targets.end())
        return 0;
    std::uint32_t places = std::accumulate(targets->second.begin(), targets->second.end(), 0U, [](std::uint32_t sum, TargetPlaces const& it) { return sum + it.places; });
    double demand = 0;
    for (std::pair<std::string const, Report> const& it : m_reports) {
        if (it.second.until > now)
            demand += demandOf(it.second.demands, service, [](OrganisationDemand const&) { });
    }
    return places > 0 ? demand / places : 0;
}

// The places lie in a row, target by target; the daemons' parts lie side by side along it, by name. The place at k belongs to the
// daemon whose part covers k plus an offset that differs from turn to turn, so that parts of a place get it in turn.
std::optional<PlaceAllotment> PlaceShares::allotment(std::string const& service, Time now, std::chrono::milliseconds wallClock) const
{
    if (scarcity(service, now) <= m_settings.scarceAt)
        return std::nullopt;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> row;
    std::uint32_t length = 0;
    for (TargetPlaces const& it : m_targets.at(service)) {
        std::uint32_t places = it.places + static_cast<std::uint32_t>(std::floor(it.places * m_settings.queuePerPlace));
        row.emplace_back(it.target, places);
        length += places;
    }
    Total total;
    for (std::pair<std::string const, Report> const& it : m_reports) {
        if (it.second.until > now)
            total.sum += demandOf(it.second.demands, service, [&total](OrganisationDemand const& demand) { total.byOrganisation[demand.organisation] += demand.places; });
    }
    std::map<std::string, double> parts = divideFairly(total, length);
    PlaceAllotment allotment;
    double begin = 0;
    double end = 0;
    for (std::pair<std::string const, Report> const& it : m_reports) {
        if (it.second.until <= now)
            continue;
        begin = end;
        bool isSelf = it.first == m_self;
        demandOf(it.second.demands, service, [&](OrganisationDemand const& demand) {
            double part = parts[demand.organisation] * demand.places / total.byOrganisation[demand.organisation];
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
