#include <LibRouting/LeastTime.h>
#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>

namespace Routing {

namespace {

// Close to saturation the queues of the model grow without bound, and its small differences between targets mean nothing.
constexpr double saturation = 0.95;
// A tenth of the targets at either end may be outliers.
constexpr std::size_t outlierDivisor = 10;
constexpr double clearlyFaster = 2;

}

std::vector<double> leastTimeWork(std::span<double const> speeds, double load)
{
    std::vector<double> work(speeds.begin(), speeds.end());
    double total = 0;
    for (double speed : speeds)
        total += speed;
    bool isKnown = std::isfinite(load) && load > 0;
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

bool areUneven(std::span<double const> speeds)
{
    if (speeds.empty())
        return false;
    std::vector<double> sorted(speeds.begin(), speeds.end());
    std::size_t outliers = sorted.size() / outlierDivisor;
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(outliers), sorted.end());
    double slow = sorted[outliers];
    std::nth_element(sorted.begin(), sorted.end() - 1 - static_cast<std::ptrdiff_t>(outliers), sorted.end());
    double fast = sorted[sorted.size() - 1 - outliers];
    constexpr double tolerance = 1e-9;
    return fast >= slow * clearlyFaster * (1 - tolerance);
}

double delayOfOthers(double utilisation)
{
    if (!(utilisation < 1))
        return std::numeric_limits<double>::infinity();
    double idle = 1 - std::max(0.0, utilisation);
    return (1 - idle) / (idle * idle);
}

}
