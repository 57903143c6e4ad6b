#include <LibRouting/SpeedBook.h>
#include <algorithm>

namespace Routing {

namespace {

// Estimates of a peer that has been silent for longer are discarded; other peers have fresher ones.
constexpr std::chrono::seconds peerLifetime { 30 };
// A daemon sees several hundred events of a service per second, so the mean adapts within seconds.
constexpr double eventSmoothing = 0.01;
// Gaps above the mean have a fifth of the weight, so that the mean reflects engines that are not overloaded.
constexpr double slowSampleWeight = 0.2;
// The mean open time adapts within about twenty requests, which takes a daemon a few seconds.
constexpr double openTimeSmoothing = 0.05;
// A target's factor adapts within twenty prompts or stream events, and a single outlier has little effect.
constexpr double targetSmoothing = 0.05;
constexpr double minFactor = 0.5;
constexpr double maxFactor = 4;

void updateFactor(double& factor, double ratio)
{
    factor += targetSmoothing * (std::clamp(ratio, minFactor, maxFactor) - factor);
}

}

void SpeedBook::notePrompt(std::string const& service, std::uint64_t target, PromptTime const& prompt)
{
    PromptSpeed& speed = m_services[service].prompts;
    if (speed.prompts() >= minOwnPrompts)
        updateFactor(m_targets[target].promptFactor, prompt.seconds / speed.cost().seconds(prompt.newTokens, prompt.allTokens));
    speed.add(prompt);
}

void SpeedBook::noteEventGap(std::string const& service, std::uint64_t target, double seconds)
{
    double& mean = m_services[service].eventSeconds;
    if (mean <= 0)
        mean = seconds;
    updateFactor(m_targets[target].eventFactor, seconds / mean);
    // A pause, for example after a preemption, is not the engine's speed, and overloaded engines are slower than usual.
    double weight = seconds > mean ? slowSampleWeight : 1;
    mean += eventSmoothing * weight * (std::min(seconds, maxFactor * mean) - mean);
}

void SpeedBook::noteOpenTime(std::string const& service, TargetRole role, double seconds)
{
    double& mean = m_services[service].openSeconds[static_cast<std::size_t>(role)];
    mean = mean <= 0 ? seconds : mean + openTimeSmoothing * (seconds - mean);
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
    for (std::pair<std::string const, PeerEstimate> const& peer : it->second.peers) {
        if (now - peer.second.at > peerLifetime)
            continue;
        ServiceSpeed const& estimate = peer.second.speed;
        // Use the estimate with the most samples, unless this daemon has enough of its own.
        if (speed.prompts < minOwnPrompts && estimate.prompts > speed.prompts) {
            speed.prompts = estimate.prompts;
            speed.promptCost = estimate.promptCost;
        }
        if (speed.eventSeconds <= 0)
            speed.eventSeconds = estimate.eventSeconds;
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

void SpeedBook::setPeer(std::string const& service, std::string const& peer, ServiceSpeed const& speed, Time now)
{
    std::map<std::string, PeerEstimate>& peers = m_services[service].peers;
    std::erase_if(peers, [now](std::pair<std::string const, PeerEstimate> const& it) { return now - it.second.at > peerLifetime; });
    peers[peer] = { speed, now };
}

}
