#include <LibRouting/PromptTimes.h>
#include <algorithm>
#include <cmath>
#include <vector>

namespace Routing {

namespace {

constexpr std::size_t minSamples = 30;
// Older samples tell of a load that has passed.
constexpr std::chrono::seconds lifetime { 60 };
// Of a hundred prompts, three are later than this one...
constexpr double usualShare = 0.97;
// ...and nearly none is later than so many times that.
constexpr double margin = 2;
// What a send takes besides the computation; no estimate is more exact than this.
constexpr double overheadSeconds = 0.02;

double ratioOf(double estimatedSeconds, double seconds)
{
    return seconds / (std::max(0.0, estimatedSeconds) + overheadSeconds);
}

}

void PromptTimes::note(std::string const& service, double estimatedSeconds, double seconds, Time now)
{
    double ratio = ratioOf(estimatedSeconds, seconds);
    if (!std::isfinite(ratio) || ratio < 0)
        return;
    Service& it = m_services[service];
    it.samples[it.count++ % capacity] = { ratio, now };
}

std::optional<std::chrono::milliseconds> PromptTimes::overdueAfter(std::string const& service, double estimatedSeconds, Time now) const
{
    std::map<std::string, Service>::const_iterator it = m_services.find(service);
    if (it == m_services.end())
        return std::nullopt;
    std::vector<double> ratios;
    for (std::size_t n = 0; n < std::min(it->second.count, capacity); ++n) {
        if (now - it->second.samples[n].at <= lifetime)
            ratios.push_back(it->second.samples[n].ratio);
    }
    if (ratios.size() < minSamples)
        return std::nullopt;
    std::vector<double>::iterator usual = ratios.begin() + static_cast<std::ptrdiff_t>(usualShare * static_cast<double>(ratios.size() - 1));
    std::nth_element(ratios.begin(), usual, ratios.end());
    // A target that is faster than estimated now may be as slow as estimated next.
    double seconds = margin * std::max(1.0, *usual) * (std::max(0.0, estimatedSeconds) + overheadSeconds);
    constexpr double longest = 3'600;
    return std::chrono::milliseconds(std::llround(std::min(seconds, longest) * std::milli::den));
}

}
