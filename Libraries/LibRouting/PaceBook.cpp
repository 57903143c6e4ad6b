#include <LibRouting/PaceBook.h>
#include <algorithm>
#include <cmath>
#include <utility>

namespace Routing {

namespace {

constexpr std::chrono::milliseconds slotTime { 500 };
// So many answers at the pace of the group are assumed of each target beforehand, so that few answers move its factor little.
constexpr double assumedAnswers = 4;
constexpr double fewestAnswers = 5;
constexpr double half = 0.5;
// In half seconds. Answers that were enough are remembered for longer than the window: a target that gets hardly any work, since it is
// slow, would be tried every few seconds if it were forgotten with its last answers.
constexpr double memoryHalfLife = 40;
constexpr double mostRemembered = 20;
constexpr std::int64_t curveSlots = 4;
constexpr std::size_t curveTargets = 64;
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

// Slow targets that lost their work at one moment are tried again one after the other.
double memoryPace(std::uint64_t target)
{
    constexpr std::uint64_t paces = 64;
    return 0.5 + static_cast<double>(target % paces) / paces;
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
    m_groups.clear();
    m_listed.clear();
    for (std::vector<std::uint64_t>& targets : groups) {
        m_listed.insert(targets.begin(), targets.end());
        m_groups.push_back({ std::move(targets), {} });
    }
    std::erase_if(m_states, [this](std::pair<std::uint64_t const, States> const& it) { return !m_listed.contains(it.first); });
    std::erase_if(m_unreported, [this](std::pair<std::pair<Subject, std::size_t> const, Unreported> const& it) { return !m_listed.contains(it.first.first.target); });
}

void PaceBook::note(std::uint64_t target, PaceKind kind, std::uint32_t open, double expectedSeconds, double seconds, Time now)
{
    if (!m_listed.contains(target) || !isTime(expectedSeconds) || !isTime(seconds))
        return;
    add({ target, kind, open, 1, expectedSeconds, seconds }, now);
    std::pair<Subject, std::size_t> key { { target, kind }, openRangeOf(open) };
    Unreported& unreported = m_unreported[key];
    if (unreported.answers == 0)
        m_unreportedOrder.push_back(key);
    ++unreported.answers;
    unreported.expectedSeconds += expectedSeconds;
    unreported.seconds += seconds;
}

std::vector<PaceSample> PaceBook::takeUnreported(std::size_t limit)
{
    std::vector<PaceSample> samples;
    for (; samples.size() < limit && !m_unreportedOrder.empty(); m_unreportedOrder.pop_front()) {
        std::map<std::pair<Subject, std::size_t>, Unreported>::iterator it = m_unreported.find(m_unreportedOrder.front());
        if (it == m_unreported.end())
            continue;
        samples.push_back({ it->first.first.target, it->first.first.kind, openRanges[it->first.second], it->second.answers, it->second.expectedSeconds, it->second.seconds });
        m_unreported.erase(it);
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
    State& state = m_states[sample.target][static_cast<std::size_t>(sample.kind)];
    state.window.add(slotOf(now), openRangeOf(sample.open), sample.answers, sample.expectedSeconds, sample.seconds);
    state.newest = now;
}

double PaceBook::State::weight() const
{
    return evidence / (evidence + assumedAnswers);
}

void PaceBook::State::take(PaceWindow::Estimate const& estimate)
{
    if (estimate.answers < fewestAnswers && evidence >= fewestAnswers)
        return;
    ratio = estimate.ratio;
    evidence = std::max(std::min(evidence, mostRemembered), estimate.answers);
}

PaceBook::State const* PaceBook::find(std::uint64_t target, PaceKind kind) const
{
    std::unordered_map<std::uint64_t, States>::const_iterator it = m_states.find(target);
    return it == m_states.end() ? nullptr : &it->second[static_cast<std::size_t>(kind)];
}

TargetPace PaceBook::pace(std::uint64_t target, PaceKind kind, Time now) const
{
    State const* state = find(target, kind);
    if (!state || state->isUnknown())
        return {};
    return { state->factor, state->knee, state->evidence, std::chrono::duration_cast<std::chrono::milliseconds>(now - state->newest) };
}

double PaceBook::factor(std::uint64_t target, PaceKind kind) const
{
    State const* state = find(target, kind);
    return state ? state->factor : 1;
}

std::vector<KneeChange> PaceBook::update(Time now)
{
    std::vector<KneeChange> changes;
    std::int64_t slot = slotOf(now);
    if (slot == m_updatedSlot)
        return changes;
    double halfLives = static_cast<double>(slot - std::exchange(m_updatedSlot, slot)) / memoryHalfLife;
    for (std::pair<std::uint64_t const, States>& it : m_states) {
        for (State& state : it.second) {
            state.window.setCurrentSlot(slot);
            state.evidence *= std::exp2(-halfLives * memoryPace(it.first));
            if (state.window.isEmpty() && state.evidence < fewestAnswers)
                state = State();
            else if (state.window.isEmpty())
                state.knee.reset();
        }
    }
    for (Group& group : m_groups) {
        for (std::pair<PaceKind, std::string_view> const& kind : paceKindNames)
            updateGroup(group, kind.first, slot, changes);
    }
    return changes;
}

void PaceBook::updateGroup(Group& group, PaceKind kind, std::int64_t slot, std::vector<KneeChange>& changes)
{
    std::vector<State*> states;
    std::vector<std::uint64_t> targets;
    for (std::uint64_t target : group.targets) {
        std::unordered_map<std::uint64_t, States>::iterator it = m_states.find(target);
        if (it == m_states.end() || it->second[static_cast<std::size_t>(kind)].isUnknown())
            continue;
        states.push_back(&it->second[static_cast<std::size_t>(kind)]);
        targets.push_back(target);
    }
    if (states.empty())
        return;
    // How times grow with load changes with the kind of work, not with the moment. Prompts are computed one after another.
    LoadCurve& curve = group.curves[static_cast<std::size_t>(kind)];
    if (kind != PaceKind::Prompt && (slot % curveSlots == 0 || curve.front() == 0))
        curve = loadCurve(states);
    else if (curve.front() == 0)
        curve.fill(1);
    // Each target counts once: where most work goes to the fast ones, the others must not seem to become slower.
    double weights = 0;
    double sum = 0;
    for (State* state : states) {
        if (!state->window.isEmpty())
            state->take(state->window.estimate(curve, state->knee));
        weights += state->weight();
        sum += state->weight() * std::min(state->ratio, slowest);
    }
    double usual = weights > 0 ? sum / weights : 1;
    for (std::size_t n = 0; n < states.size(); ++n) {
        State& state = *states[n];
        bool isKnown = state.evidence >= fewestAnswers;
        state.factor = isKnown ? std::clamp(std::pow(state.ratio / usual, state.weight()), fastest, slowest) : 1;
        if (kind != PaceKind::Whole || state.window.isEmpty())
            continue;
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
    std::size_t stride = (states.size() + curveTargets - 1) / curveTargets;
    for (std::size_t n = 0; n < states.size(); n += stride) {
        State const* state = states[n];
        std::optional<double> former;
        std::array<std::optional<double>, openRanges.size()> ratios = state->window.ratios();
        for (std::size_t range = 0; range < openRanges.size(); ++range) {
            std::optional<double> const& ratio = ratios[range];
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
