#include <LibRouting/LeastTime.h>
#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>

namespace Routing {

namespace {

// Close to saturation the queues of the model grow without bound, and its small differences between targets mean nothing.
constexpr double saturation = 0.95;
// Of the targets' speeds together. Less is no load to divide, and would be lost in rounding.
constexpr double leastLoad = 1e-6;

}

std::vector<double> leastTimeWork(std::span<double const> speeds, double load)
{
    std::vector<double> work(speeds.begin(), speeds.end());
    double total = 0;
    for (double speed : speeds)
        total += speed;
    bool isKnown = std::isfinite(load) && load > total * leastLoad;
    if (!isKnown || load >= total * saturation)
        return work;
    // Each target that gets work is left with the same multiple of its speed's square root.
    std::sort(work.begin(), work.end(), std::greater<double>());
    double used = 0;
    double roots = 0;
    double spare = 0;
    for (double speed : work) {
        if (used > load && std::sqrt(speed) <= spare)
            break;
        used += speed;
        roots += std::sqrt(speed);
        spare = (used - load) / roots;
    }
    for (std::size_t n = 0; n < speeds.size(); ++n)
        work[n] = std::max(0.0, speeds[n] - std::sqrt(speeds[n]) * spare);
    return work;
}

double delayOfOthers(double utilisation)
{
    if (!(utilisation < 1))
        return std::numeric_limits<double>::infinity();
    double idle = 1 - std::max(0.0, utilisation);
    return (1 - idle) / (idle * idle);
}

}
