#include <LibRouting/PromptLoad.h>
#include <cmath>

namespace Routing {

namespace {

// Daemons repeat their full beacons several times in this time.
constexpr std::chrono::seconds peerLifetime { 10 };
// All have told theirs by then; the sum of some would pass for an idle fleet.
constexpr std::chrono::seconds firstSumTime { 4 };

}

void PromptLoad::note(std::string const& service, double averageSeconds, Time now)
{
    m_services.try_emplace(service, Service { {}, now });
    m_own.note(service, { averageSeconds, 0, 0 }, now);
}

double PromptLoad::own(std::string const& service, Time now) const
{
    return m_own.demand(service, now).promptEngines;
}

void PromptLoad::setPeer(std::string const& service, std::string const& peer, std::optional<double> load, Time now)
{
    std::map<std::string, Service>::iterator it = m_services.find(service);
    bool isUsable = !load || (std::isfinite(*load) && *load >= 0);
    if (it != m_services.end() && isUsable)
        it->second.peers[peer] = { load, now };
}

std::optional<double> PromptLoad::total(std::string const& service, Time now)
{
    std::map<std::string, Service>::iterator it = m_services.find(service);
    if (it == m_services.end() || now - it->second.since < firstSumTime)
        return std::nullopt;
    std::erase_if(it->second.peers, [now](std::pair<std::string const, PeerLoad> const& peer) { return now - peer.second.at > peerLifetime; });
    double total = own(service, now);
    for (std::pair<std::string const, PeerLoad> const& peer : it->second.peers) {
        if (!peer.second.load)
            return std::nullopt;
        total += *peer.second.load;
    }
    return total;
}

}
