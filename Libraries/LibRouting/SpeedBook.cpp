#include <LibRouting/SpeedBook.h>
#include <algorithm>

namespace Routing {

namespace {

// Of a peer that was not heard for longer, others know better.
constexpr std::chrono::seconds peerLifetime { 30 };
// A service's events are many, some hundred a second at each daemon: their mean follows within seconds.
constexpr double eventShare = 0.01;
// Gaps above the mean count a fifth of those below: what engines take when they are not crowded.
constexpr double weightAbove = 0.2;
// The mean time that a request is open follows within some twenty of them: seconds at each daemon.
constexpr double openTimeShare = 0.05;
// A target's own factor follows within twenty of its prompts or streams' events, and one outlier moves it little.
constexpr double targetShare = 0.05;
constexpr double leastFactor = 0.5;
constexpr double mostFactor = 4;

void follow(double& factor, double ratio)
{
    factor += targetShare * (std::clamp(ratio, leastFactor, mostFactor) - factor);
}

}

void SpeedBook::notePrompt(std::string const& service, std::uint64_t target, PromptTime const& prompt)
{
    PromptSpeed& speed = m_services[service].prompts;
    if (speed.prompts() >= enoughPrompts)
        follow(m_targets[target].promptFactor, prompt.seconds / speed.cost().seconds(prompt.newTokens, prompt.allTokens));
    speed.add(prompt);
}

void SpeedBook::noteEventGap(std::string const& service, std::uint64_t target, double seconds)
{
    double& mean = m_services[service].eventSeconds;
    if (mean <= 0)
        mean = seconds;
    follow(m_targets[target].eventFactor, seconds / mean);
    // A pause, as after a preemption, is no speed, and engines with more outputs than they should have are slower for that.
    double weight = seconds > mean ? weightAbove : 1;
    mean += eventShare * weight * (std::min(seconds, mostFactor * mean) - mean);
}

void SpeedBook::noteOpenTime(std::string const& service, TargetRole role, double seconds)
{
    double& mean = m_services[service].openSeconds[static_cast<std::size_t>(role)];
    mean = mean <= 0 ? seconds : mean + openTimeShare * (seconds - mean);
}

double SpeedBook::openSeconds(std::string const& service, TargetRole role) const
{
    std::map<std::string, Service>::const_iterator it = m_services.find(service);
    return it == m_services.end() ? 0 : it->second.openSeconds[static_cast<std::size_t>(role)];
}

ServiceSpeed SpeedBook::own(std::string const& service) const
{
    std::map<std::string, Service>::const_iterator it = m_services.find(service);
    if (it == m_services.end())
        return {};
    return { it->second.prompts.cost(), it->second.prompts.prompts(), it->second.eventSeconds };
}

ServiceSpeed SpeedBook::speed(std::string const& service, Time now) const
{
    ServiceSpeed speed = own(service);
    std::map<std::string, Service>::const_iterator it = m_services.find(service);
    if (it == m_services.end())
        return speed;
    for (std::pair<std::string const, Said> const& peer : it->second.peers) {
        if (now - peer.second.at > peerLifetime)
            continue;
        ServiceSpeed const& said = peer.second.speed;
        // The one that has seen the most knows best, unless this daemon has seen enough itself.
        if (speed.prompts < enoughPrompts && said.prompts > speed.prompts) {
            speed.prompts = said.prompts;
            speed.promptCost = said.promptCost;
        }
        if (speed.eventSeconds <= 0)
            speed.eventSeconds = said.eventSeconds;
    }
    return speed;
}

double SpeedBook::promptFactor(std::uint64_t target) const
{
    std::unordered_map<std::uint64_t, TargetSpeed>::const_iterator it = m_targets.find(target);
    return it == m_targets.end() ? 1 : it->second.promptFactor;
}

double SpeedBook::eventFactor(std::uint64_t target) const
{
    std::unordered_map<std::uint64_t, TargetSpeed>::const_iterator it = m_targets.find(target);
    return it == m_targets.end() ? 1 : it->second.eventFactor;
}

void SpeedBook::takePeer(std::string const& service, std::string const& peer, ServiceSpeed const& speed, Time now)
{
    std::map<std::string, Said>& peers = m_services[service].peers;
    std::erase_if(peers, [now](std::pair<std::string const, Said> const& it) { return now - it.second.at > peerLifetime; });
    peers[peer] = { speed, now };
}

}
