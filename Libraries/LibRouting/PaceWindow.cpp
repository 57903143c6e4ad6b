#include <LibRouting/PaceWindow.h>
#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

// Slowness that comes and goes fills less than the rest of the window.
constexpr double usualPart = 0.4;
// In half seconds. Targets with few answers look further back than usual.
constexpr std::int64_t windowSlots = 20;
constexpr std::size_t usualSlots = 10;
// A change of speed is followed at once when the newest slots all show it.
constexpr std::size_t changeSlots = 3;
constexpr double changeAnswers = 4;
constexpr double clearChange = 1.6;
constexpr double enoughAnswers = 20;
// A range of open requests is compared with others from this much evidence on.
constexpr double rangeAnswers = 10;
constexpr std::size_t rangeSlots = 3;
// Where slowness comes and goes, requests pile up while it lasts: what is open in fewer than half of the slots may be its effect.
constexpr std::size_t rangeSlotDivisor = 2;
// A knee is one only if the power beyond it falls clearly: medians of a few answers differ by chance.
constexpr double clearlyLess = 0.7;
// Of powers that differ less, the one at more open requests is taken.
constexpr double aboutEqual = 0.85;
// Times this much longer than at few open requests are no reason to send less.
constexpr double hardlyLonger = 1.2;
constexpr std::uint32_t fewOpen = 2;

/// A target's answers in one slot, with the load taken out.
struct SlotTimes {
    std::int64_t slot { 0 };
    double answers { 0 };
    double expectedSeconds { 0 };
    double seconds { 0 };

    double ratio() const { return seconds / expectedSeconds; }
};

// Returns the ratio since a change of speed, if there was one: all of the newest slots differ clearly from what was usual.
std::optional<double> changedRatio(std::span<SlotTimes const> slots, double usual)
{
    if (slots.size() <= changeSlots)
        return std::nullopt;
    std::span<SlotTimes const> newest = slots.first(changeSlots);
    bool isKnown = std::all_of(newest.begin(), newest.end(), [](SlotTimes const& it) { return it.answers >= changeAnswers; });
    bool isSlower = std::all_of(newest.begin(), newest.end(), [usual](SlotTimes const& it) { return it.ratio() > usual * clearChange; });
    bool isFaster = std::all_of(newest.begin(), newest.end(), [usual](SlotTimes const& it) { return it.ratio() * clearChange < usual; });
    if (!isKnown || (!isSlower && !isFaster))
        return std::nullopt;
    std::vector<std::pair<double, double>> ratios;
    for (SlotTimes const& it : newest)
        ratios.emplace_back(it.ratio(), it.answers);
    return weightedQuantile(ratios, usualPart);
}

}

std::size_t openRangeOf(std::uint32_t open)
{
    return static_cast<std::size_t>(std::upper_bound(openRanges.begin(), openRanges.end(), open) - openRanges.begin()) - 1;
}

std::optional<double> weightedQuantile(std::span<std::pair<double, double>> valuesAndWeights, double part)
{
    double total = 0;
    for (std::pair<double, double> const& it : valuesAndWeights)
        total += it.second;
    if (!(total > 0))
        return std::nullopt;
    std::sort(valuesAndWeights.begin(), valuesAndWeights.end());
    double below = 0;
    for (std::pair<double, double> const& it : valuesAndWeights) {
        below += it.second;
        if (below >= total * part)
            return it.first;
    }
    return valuesAndWeights.back().first;
}

void PaceWindow::add(std::int64_t slot, std::size_t range, std::uint32_t answers, double expectedSeconds, double seconds)
{
    auto position = m_cells.end();
    while (position != m_cells.begin() && std::prev(position)->slot > slot)
        --position;
    for (auto it = position; it != m_cells.begin() && std::prev(it)->slot == slot; --it) {
        Cell& cell = *std::prev(it);
        if (cell.range != range)
            continue;
        cell.answers += answers;
        cell.expectedSeconds += expectedSeconds;
        cell.seconds += seconds;
        return;
    }
    m_cells.insert(position, Cell { slot, static_cast<std::uint32_t>(range), answers, expectedSeconds, seconds });
}

void PaceWindow::setCurrentSlot(std::int64_t currentSlot)
{
    m_currentSlot = currentSlot;
    auto isRecent = [currentSlot](Cell const& it) { return it.slot > currentSlot - windowSlots; };
    m_cells.erase(m_cells.begin(), std::find_if(m_cells.begin(), m_cells.end(), isRecent));
}

std::array<std::optional<double>, openRanges.size()> PaceWindow::ratios() const
{
    std::array<double, openRanges.size()> answers {};
    std::array<std::size_t, openRanges.size()> counts {};
    std::size_t slots = 0;
    for (std::size_t n = 0; n < m_cells.size(); ++n) {
        answers[m_cells[n].range] += m_cells[n].answers;
        ++counts[m_cells[n].range];
        slots += n == 0 || m_cells[n].slot != m_cells[n - 1].slot ? 1 : 0;
    }
    std::array<std::optional<double>, openRanges.size()> usual;
    std::vector<std::pair<double, double>> ratios;
    ratios.reserve(slots);
    for (std::size_t range = 0; range < openRanges.size(); ++range) {
        if (answers[range] < rangeAnswers || counts[range] < std::max(rangeSlots, slots / rangeSlotDivisor))
            continue;
        ratios.clear();
        for (Cell const& it : m_cells) {
            if (it.range == range)
                ratios.emplace_back(it.ratio(), it.answers);
        }
        usual[range] = weightedQuantile(ratios, usualPart);
    }
    return usual;
}

PaceWindow::Estimate PaceWindow::estimate(LoadCurve const& curve, std::optional<std::uint32_t> knee) const
{
    std::vector<SlotTimes> slots; // The newest first.
    slots.reserve(windowSlots);
    double answers = 0;
    for (auto it = m_cells.rbegin(); it != m_cells.rend(); ++it) {
        if (knee && openRanges[it->range] > *knee)
            continue;
        bool isNewSlot = slots.empty() || slots.back().slot != it->slot;
        if (isNewSlot && slots.size() >= usualSlots && answers >= enoughAnswers)
            break;
        if (isNewSlot)
            slots.push_back({ it->slot });
        slots.back().answers += it->answers;
        slots.back().expectedSeconds += it->expectedSeconds * curve[it->range];
        slots.back().seconds += it->seconds;
        answers += it->answers;
    }
    std::vector<std::pair<double, double>> ratios;
    ratios.reserve(slots.size());
    for (SlotTimes const& it : slots)
        ratios.emplace_back(it.ratio(), it.answers);
    double usual = weightedQuantile(ratios, usualPart).value_or(1);
    // The slot that is not over may hold single answers.
    std::span<SlotTimes const> ended = slots;
    if (!slots.empty() && slots.front().slot == m_currentSlot)
        ended = ended.subspan(1);
    return { changedRatio(ended, usual).value_or(usual), answers };
}

std::optional<std::uint32_t> PaceWindow::bestOpen() const
{
    std::array<double, openRanges.size()> powers {};
    double lastPower = 0;
    std::array<std::optional<double>, openRanges.size()> times = ratios();
    for (std::size_t range = 1; range < openRanges.size(); ++range) {
        std::optional<double> const& time = times[range];
        if (!time)
            continue;
        powers[range] = openRanges[range] / (*time * *time);
        lastPower = powers[range];
    }
    double best = *std::max_element(powers.begin(), powers.end());
    if (!(lastPower < best * clearlyLess))
        return std::nullopt;
    std::size_t range = openRanges.size() - 1;
    while (powers[range] < best * aboutEqual)
        --range;
    return openRanges[range];
}

bool PaceWindow::isWellAt(std::uint32_t open) const
{
    std::vector<std::pair<double, double>> many;
    std::vector<std::pair<double, double>> few;
    for (Cell const& it : m_cells) {
        if (it.range >= openRangeOf(open))
            many.emplace_back(it.ratio(), it.answers);
        else if (openRanges[it.range] <= std::max(fewOpen, open / 2))
            few.emplace_back(it.ratio(), it.answers);
    }
    if (many.size() < rangeSlots || few.size() < rangeSlots)
        return false;
    return *weightedQuantile(many, usualPart) <= *weightedQuantile(few, usualPart) * hardlyLonger;
}

std::uint32_t PaceWindow::greatestOpen() const
{
    std::uint32_t greatest = 0;
    for (Cell const& it : m_cells)
        greatest = std::max(greatest, openRanges[it.range]);
    return greatest;
}

}
