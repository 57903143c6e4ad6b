#include <LibRouting/SpeedBook.h>
#include <algorithm>

namespace Routing {

namespace {

// Estimates of a peer that has been silent for longer are discarded; other peers have fresher ones.
constexpr std::chrono::seconds peerLifetime { 30 };
// A daemon sees several hundred events of a service per second, so the mean adapts within seconds.
constexpr double eventShare = 0.01;
// Gaps above the mean have a fifth of the weight, so that the mean reflects engines that are not overloaded.
constexpr double weightAbove = 0.2;
// The mean open time adapts within about twenty requests, which takes a daemon a few seconds.
constexpr double openTimeShare = 0.05;
// A target's factor adapts within twenty prompts or stream events, and a single outlier has little effect.
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
    // A pause, for example after a preemption, is not the engine's speed, and overloaded engines are slower than usual.
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
        // Use the estimate with the most samples, unless this daemon has enough of its own.
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
