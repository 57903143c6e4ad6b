#include <LibRouting/PartHomes.h>
#include <LibRouting/PromptHomes.h>
#include <algorithm>
#include <cmath>
#include <limits>
#include <numbers>
#include <utility>

namespace Routing {

namespace {

// A wave of demand lasts for several of these; what is asked for less often is at home at one target anyway.
constexpr std::chrono::duration<double> halfLife { 5 };
// Where its prompts keep a home busier than this, they wait for each other about as long as they take.
constexpr double homeUtilisation = 0.5;
constexpr std::size_t maxHomes = 16;
constexpr std::size_t maxParts = 16 * 1024;
constexpr std::size_t maxUnreported = 4 * 1024;
constexpr double negligibleUses = 0.1;
constexpr double stepsPerDoubling = 2;
// In steps: an amount has left its step when it is nearer to another one by some margin.
constexpr double stepMargin = 0.7;

double decayed(double recent, std::chrono::duration<double> age)
{
    return recent * std::exp2(-std::max(0.0, age / halfLife));
}

}

void PartHomes::note(std::uint64_t part, Time now)
{
    add(part, 1, now);
    ++m_unreported[part];
}

void PartHomes::add(std::uint64_t part, double uses, Time now)
{
    if (m_uses.size() >= maxParts && !m_uses.contains(part))
        forgetUnused(now);
    Uses& entry = m_uses[part];
    entry.recent = decayed(entry.recent, now - entry.at) + uses;
    entry.at = now;
}

void PartHomes::forgetUnused(Time now)
{
    std::erase_if(m_uses, [now](std::pair<std::uint64_t const, Uses> const& it) { return decayed(it.second.recent, now - it.second.at) < negligibleUses; });
    if (m_uses.size() >= maxParts)
        m_uses.clear();
}

std::vector<PartUse> PartHomes::takeUnreported(std::size_t limit)
{
    std::vector<PartUse> uses;
    uses.reserve(m_unreported.size());
    for (std::pair<std::uint64_t const, std::uint32_t> const& it : m_unreported)
        uses.push_back({ it.first, it.second });
    std::size_t taken = std::min(limit, uses.size());
    std::partial_sort(uses.begin(), uses.begin() + static_cast<std::ptrdiff_t>(taken), uses.end(), [](PartUse const& left, PartUse const& right) { return left.uses > right.uses; });
    uses.resize(taken);
    for (PartUse const& it : uses)
        m_unreported.erase(it.part);
    // What is left over and over is asked for seldom: it needs no second home.
    if (m_unreported.size() > maxUnreported)
        m_unreported.clear();
    return uses;
}

void PartHomes::merge(std::vector<PartUse> const& uses, Time now)
{
    for (PartUse const& it : uses)
        add(it.part, it.uses, now);
}

std::size_t PartHomes::homesNeeded(std::uint64_t part, double promptSeconds, Time now) const
{
    std::unordered_map<std::uint64_t, Uses>::const_iterator it = m_uses.find(part);
    if (it == m_uses.end() || !std::isfinite(promptSeconds) || promptSeconds <= 0)
        return 1;
    double perSecond = decayed(it->second.recent, now - it->second.at) * std::numbers::ln2 / halfLife.count();
    double homes = std::ceil(perSecond * promptSeconds / homeUtilisation);
    return static_cast<std::size_t>(std::clamp(homes, 1.0, static_cast<double>(maxHomes)));
}

double SteppedAmount::update(double exact)
{
    // Amounts change twice a second; decisions are made far more often.
    if (exact == m_exact)
        return m_rounded;
    m_exact = exact;
    double steps = std::log2(exact) * stepsPerDoubling;
    if (std::abs(steps - m_step) > stepMargin)
        m_step = static_cast<int>(std::lround(steps));
    m_rounded = std::exp2(m_step / stepsPerDoubling);
    return m_rounded;
}

std::vector<std::size_t> weightedHomesOf(std::uint64_t part, std::span<HomeTarget const> targets, std::size_t count)
{
    std::vector<std::pair<double, std::size_t>> distances;
    distances.reserve(targets.size());
    for (std::size_t n = 0; n < targets.size(); ++n) {
        if (targets[n].weight <= 0)
            continue;
        double hash = static_cast<double>(homeWeight(part, targets[n].key)) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
        distances.emplace_back(-std::log(std::max(hash, std::numeric_limits<double>::min())) / targets[n].weight, n);
    }
    std::size_t found = std::min(count, distances.size());
    std::partial_sort(distances.begin(), distances.begin() + static_cast<std::ptrdiff_t>(found), distances.end());
    std::vector<std::size_t> homes;
    for (std::size_t n = 0; n < found; ++n)
        homes.push_back(distances[n].second);
    return homes;
}

}
