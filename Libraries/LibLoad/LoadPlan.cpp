#include <LibLoad/LoadPlan.h>

#include <algorithm>
#include <random>

namespace Load {

using std::chrono::nanoseconds;

namespace {

constexpr std::size_t bytesPerToken = 4;

}

Shape shapeAt(PlanSettings const& settings, nanoseconds at)
{
    bool isLong = (at / nanoseconds(settings.phaseTime)) % 2 == 0;
    return isLong ? settings.longPrompt : settings.shortQuestion;
}

std::vector<Arrival> planArrivals(PlanSettings const& settings)
{
    std::mt19937_64 random(settings.seed);
    std::exponential_distribution<double> gap(settings.requestsPerSecond);
    std::vector<Arrival> arrivals;
    double seconds = gap(random);
    double end = std::chrono::duration<double>(settings.time).count();
    while (seconds < end && arrivals.size() < settings.limit) {
        nanoseconds at(static_cast<std::int64_t>(seconds * 1e9));
        arrivals.push_back({ at, shapeAt(settings, at) });
        seconds += gap(random);
    }
    return arrivals;
}

std::string promptOf(std::uint64_t seed, std::uint64_t index, std::uint32_t tokens)
{
    std::string prompt = std::to_string(seed) + "-" + std::to_string(index) + " ";
    while (prompt.size() < tokens * bytesPerToken)
        prompt += "contribution history line " + std::to_string(prompt.size()) + " ";
    prompt.resize(std::max(prompt.find(' '), tokens * bytesPerToken));
    return prompt;
}

}
