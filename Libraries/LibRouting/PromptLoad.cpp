#include <LibRouting/PromptLoad.h>
#include <cmath>

namespace Routing {

namespace {

// Daemons repeat their full beacons several times in this time.
constexpr std::chrono::seconds peerLifetime { 10 };
constexpr std::chrono::milliseconds sumLifetime { 500 };

}

void PromptLoad::note(std::string const& service, double averageSeconds, Time now)
{
    m_own.note(service, { averageSeconds, 0, 0 }, now);
}

double PromptLoad::own(std::string const& service, Time now) const
{
    return m_own.demand(service, now).promptEngines;
}

void PromptLoad::setPeer(std::string const& service, std::string const& peer, double load, Time now)
{
    if (std::isfinite(load) && load >= 0)
        m_services[service].peers[peer] = { load, now };
}

double PromptLoad::total(std::string const& service, Time now)
{
    Service& entry = m_services[service];
    if (entry.summedAt != Time() && now - entry.summedAt < sumLifetime)
        return entry.total;
    entry.summedAt = now;
    entry.total = own(service, now);
    std::erase_if(entry.peers, [now](std::pair<std::string const, PeerLoad> const& it) { return now - it.second.at > peerLifetime; });
    for (std::pair<std::string const, PeerLoad> const& it : entry.peers)
        entry.total += it.second.load;
    return entry.total;
}

}
