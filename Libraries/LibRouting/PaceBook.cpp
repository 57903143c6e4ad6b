#include <LibRouting/PaceBook.h>
#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

constexpr std::chrono::milliseconds slotTime { 500 };
// So many answers at the pace of the group are assumed of each target beforehand, so that few answers move its factor little.
constexpr double assumedAnswers = 4;
constexpr double fewestAnswers = 5;
constexpr double half = 0.5;
// A group's curve is that of single targets; of fewer, one that has a knee would pass for the group.
constexpr std::size_t fewestTargets = 3;
constexpr double slowest = 5;
constexpr double fastest = 0.2;
// A knee is tried a step higher after this many slots in which the target did well at it.
constexpr std::int64_t kneeStepSlots = 4;
constexpr std::uint32_t kneeStepDivisor = 8;
constexpr std::uint32_t kneeChangeDivisor = 4;

std::int64_t slotOf(PaceBook::Time now)
{
    return now.time_since_epoch() / slotTime;
}

bool isTime(double seconds)
{
    return std::isfinite(seconds) && seconds > 0;
}

bool isClearChange(std::optional<std::uint32_t> before, std::optional<std::uint32_t> after)
{
    if (before.has_value() != after.has_value())
        return true;
    if (!before)
        return false;
    std::uint32_t difference = std::max(*before, *after) - std::min(*before, *after);
    return difference > 0 && difference * kneeChangeDivisor >= *before;
}

}

void PaceBook::setGroups(std::vector<std::vector<std::uint64_t>> groups)
{
    m_groups = std::move(groups);
    m_listed.clear();
    for (std::vector<std::uint64_t> const& group : m_groups)
        m_listed.insert(group.begin(), group.end());
    std::erase_if(m_states, [this](std::pair<Subject const, State> const& it) { return !m_listed.contains(it.first.target); });
    std::erase_if(m_unreported, [this](std::pair<std::pair<Subject, std::size_t> const, Unreported> const& it) { return !m_listed.contains(it.first.first.target); });
}

void PaceBook::note(std::uint64_t target, PaceKind kind, std::uint32_t open, double expectedSeconds, double seconds, Time now)
{
    if (!m_listed.contains(target) || !isTime(expectedSeconds) || !isTime(seconds))
        return;
    add({ target, kind, open, 1, expectedSeconds, seconds }, now);
    Unreported& unreported = m_unreported[{ { target, kind }, openRangeOf(open) }];
    ++unreported.answers;
    unreported.expectedSeconds += expectedSeconds;
    unreported.seconds += seconds;
}

std::vector<PaceSample> PaceBook::takeUnreported(std::size_t limit)
{
    using Entry = std::pair<std::pair<Subject, std::size_t>, Unreported>;
    std::vector<Entry> entries(m_unreported.begin(), m_unreported.end());
    std::size_t taken = std::min(limit, entries.size());
    std::partial_sort(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(taken), entries.end(), [](Entry const& left, Entry const& right) { return left.second.answers > right.second.answers; });
    entries.resize(taken);
    std::vector<PaceSample> samples;
    for (Entry const& it : entries) {
        samples.push_back({ it.first.first.target, it.first.first.kind, openRanges[it.first.second], it.second.answers, it.second.expectedSeconds, it.second.seconds });
        m_unreported.erase(it.first);
    }
    return samples;
}

void PaceBook::merge(std::vector<PaceSample> const& samples, Time now)
{
    for (PaceSample const& it : samples) {
        if (m_listed.contains(it.target) && it.answers > 0 && isTime(it.expectedSeconds) && isTime(it.seconds))
            add(it, now);
    }
}

void PaceBook::add(PaceSample const& sample, Time now)
{
    State& state = m_states[{ sample.target, sample.kind }];
    state.window.add(slotOf(now), openRangeOf(sample.open), sample.answers, sample.expectedSeconds, sample.seconds);
    state.newest = now;
}

TargetPace PaceBook::pace(std::uint64_t target, PaceKind kind, Time now) const
{
    std::map<Subject, State>::const_iterator it = m_states.find({ target, kind });
    if (it == m_states.end())
        return {};
    return { it->second.factor, it->second.knee, it->second.evidence, std::chrono::duration_cast<std::chrono::milliseconds>(now - it->second.newest) };
}

std::vector<KneeChange> PaceBook::update(Time now)
{
    std::vector<KneeChange> changes;
    std::int64_t slot = slotOf(now);
    if (slot == m_updatedSlot)
        return changes;
    m_updatedSlot = slot;
    for (std::pair<Subject const, State>& it : m_states)
        it.second.window.setCurrentSlot(slot);
    std::erase_if(m_states, [](std::pair<Subject const, State> const& it) { return it.second.window.isEmpty(); });
    for (std::vector<std::uint64_t> const& group : m_groups) {
        for (std::pair<PaceKind, std::string_view> const& kind : paceKindNames)
            updateGroup(group, kind.first, slot, changes);
    }
    return changes;
}

void PaceBook::updateGroup(std::vector<std::uint64_t> const& group, PaceKind kind, std::int64_t slot, std::vector<KneeChange>& changes)
{
    std::vector<State*> states;
    std::vector<std::uint64_t> targets;
    for (std::uint64_t target : group) {
        std::map<Subject, State>::iterator it = m_states.find({ target, kind });
        if (it == m_states.end())
            continue;
        states.push_back(&it->second);
        targets.push_back(target);
    }
    if (states.empty())
        return;
    LoadCurve curve = loadCurve(states);
    std::vector<PaceWindow::Estimate> estimates;
    double answers = 0;
    double sum = 0;
    for (State const* state : states) {
        estimates.push_back(state->window.estimate(curve, state->knee));
        answers += estimates.back().answers;
        sum += estimates.back().answers * std::min(estimates.back().ratio, slowest);
    }
    double usual = answers > 0 ? sum / answers : 1;
    for (std::size_t n = 0; n < states.size(); ++n) {
        State& state = *states[n];
        state.evidence = estimates[n].answers;
        double weight = state.evidence / (state.evidence + assumedAnswers);
        bool isKnown = state.evidence >= fewestAnswers;
        state.factor = isKnown ? std::clamp(std::pow(estimates[n].ratio / usual, weight), fastest, slowest) : 1;
        std::optional<std::uint32_t> before = state.knee;
        updateKnee(state, slot);
        if (isClearChange(before, state.knee))
            changes.push_back({ targets[n], kind, before, state.knee });
    }
}

// How time grows with open requests, from the differences within each target, so that the speeds of targets do not enter.
LoadCurve PaceBook::loadCurve(std::vector<State*> const& states)
{
    LoadCurve curve;
    curve.fill(1);
    std::array<std::vector<std::pair<double, double>>, openRanges.size()> steps;
    for (State const* state : states) {
        std::optional<double> former;
        for (std::size_t range = 0; range < openRanges.size(); ++range) {
            std::optional<double> ratio = state->window.ratio(range);
            if (ratio && former)
                steps[range].emplace_back(*ratio / *former, 1);
            if (ratio)
                former = ratio;
        }
    }
    for (std::size_t range = 1; range < openRanges.size(); ++range) {
        bool isKnown = steps[range].size() >= fewestTargets;
        double step = isKnown ? weightedQuantile(steps[range], half).value_or(1) : 1;
        curve[range] = curve[range - 1] * std::max(1.0, step);
    }
    return curve;
}

// A knee that is respected is no longer seen: it holds until the target does well at it, and is then tried a step higher.
void PaceBook::updateKnee(State& state, std::int64_t slot)
{
    std::optional<std::uint32_t> seen = state.window.bestOpen();
    if (seen) {
        state.knee = seen;
        state.kneeMovedAt = slot;
        return;
    }
    if (!state.knee || slot - state.kneeMovedAt < kneeStepSlots || !state.window.isWellAt(*state.knee))
        return;
    state.kneeMovedAt = slot;
    state.knee = *state.knee + std::max<std::uint32_t>(1, *state.knee / kneeStepDivisor);
    if (*state.knee > 2 * state.window.greatestOpen())
        state.knee.reset();
}

}
