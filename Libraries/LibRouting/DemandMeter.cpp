#include <LibRouting/DemandMeter.h>
#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

double windows(std::chrono::steady_clock::duration duration)
{
    return std::chrono::duration<double>(duration).count() / std::chrono::duration<double>(DemandMeter::window).count();
}

EngineDemand scaled(EngineDemand const& work, double factor)
{
    return { work.promptEngines * factor, work.outputs * factor, work.kvTokens * factor };
}

}

EngineDemand& EngineDemand::operator+=(EngineDemand const& other)
{
    promptEngines += other.promptEngines;
    outputs += other.outputs;
    kvTokens += other.kvTokens;
    return *this;
}

void DemandMeter::note(std::string const& service, EngineDemand const& work, Time now)
{
    std::pair<std::map<std::string, Sums>::iterator, bool> added = m_sums.try_emplace(service, Sums { {}, 0, now, now });
    Sums& sums = added.first->second;
    double decay = std::exp(-windows(now - sums.at));
    sums.work = scaled(sums.work, decay);
    sums.work += work;
    sums.prompts = sums.prompts * decay + (work.promptEngines > 0 ? 1 : 0);
    sums.at = now;
}

double DemandMeter::meanPrompt(std::string const& service) const
{
    std::map<std::string, Sums>::const_iterator it = m_sums.find(service);
    return it == m_sums.end() || it->second.prompts <= 0 ? 0 : it->second.work.promptEngines / it->second.prompts;
}

EngineDemand DemandMeter::demand(std::string const& service, Time now) const
{
    std::map<std::string, Sums>::const_iterator it = m_sums.find(service);
    if (it == m_sums.end())
        return {};
    Sums const& sums = it->second;
    // Shortly after the start, less than a full window has been observed. A single request gives no estimate of a rate.
    constexpr double minObserved = 0.1;
    double observed = std::max(minObserved, 1 - std::exp(-windows(now - sums.since)));
    double seconds = std::chrono::duration<double>(window).count();
    return scaled(sums.work, std::exp(-windows(now - sums.at)) / (seconds * observed));
}

}
