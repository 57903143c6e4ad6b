#include <LibRoles/Planner.h>
#include <algorithm>
#include <cmath>
#include <optional>

namespace Roles {

namespace {

bool decodes(TargetRole role)
{
    return role != TargetRole::Prefill;
}

// Returns the role of an engine after it joins or leaves prefill; nothing if selectors do not allow the move.
std::optional<TargetRole> roleAfter(EngineView const& engine, bool toPrefill, TargetRole outputRole)
{
    if (toPrefill)
        return engine.allowed.has(TargetRole::Prefill) ? std::optional(TargetRole::Prefill) : std::nullopt;
    TargetRole other = outputRole == TargetRole::Mixed ? TargetRole::Decode : TargetRole::Mixed;
    if (engine.allowed.has(outputRole))
        return outputRole;
    return engine.allowed.has(other) ? std::optional(other) : std::nullopt;
}

// Returns the engines that may move, the cheapest first: by change cost, then by the work to drain.
std::vector<EngineView> movableEngines(std::vector<EngineView> const& engines, bool toPrefill, TargetRole outputRole)
{
    std::vector<EngineView> candidates;
    for (EngineView const& it : engines) {
        bool isOnOtherSide = decodes(it.role) == toPrefill;
        if (it.state == EngineState::Serving && isOnOtherSide && roleAfter(it, toPrefill, outputRole))
            candidates.push_back(it);
    }
    auto isCheaper = [](EngineView const& a, EngineView const& b) {
        if (a.changeCostSeconds != b.changeCostSeconds)
            return a.changeCostSeconds < b.changeCostSeconds;
        std::uint32_t workA = a.running + a.waitingPromptTokens;
        std::uint32_t workB = b.running + b.waitingPromptTokens;
        return workA != workB ? workA < workB : a.engine < b.engine;
    };
    std::sort(candidates.begin(), candidates.end(), isCheaper);
    return candidates;
}

std::size_t countServing(std::vector<EngineView> const& engines, bool prefill)
{
    auto isCounted = [prefill](EngineView const& it) { return it.state == EngineState::Serving && decodes(it.role) != prefill; };
    return static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), isCounted));
}

std::size_t countChanging(std::vector<EngineView> const& engines)
{
    auto isChanging = [](EngineView const& it) { return it.state == EngineState::Changing; };
    return static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), isChanging));
}

}

Split splitOf(std::vector<EngineView> const& engines)
{
    Split split;
    for (EngineView const& it : engines) {
        if (it.state == EngineState::Down)
            continue;
        double& count = it.role == TargetRole::Prefill ? split.prefill : (it.role == TargetRole::Decode ? split.decode : split.mixed);
        count += 1;
    }
    return split;
}

Planner::Planner(Settings const& settings)
    : m_settings(settings)
    , m_mix(settings.mix, settings.rates)
    , m_threshold(settings.pressureRatio, settings.sustainSeconds, settings.rates)
{
}

Core::Result<Planner> Planner::create(Settings settings)
{
    if (settings.minOutput < 1)
        return Core::fail(Core::ErrorCode::BadInput, "The minimum number of engines that decode must be at least 1.");
    if (settings.maxChanging < 1)
        return Core::fail(Core::ErrorCode::BadInput, "The maximum number of engines changing at once must be at least 1.");
    if (settings.outputRole == TargetRole::Prefill)
        return Core::fail(Core::ErrorCode::BadInput, "The role of engines that decode must be decode or mixed.");
    EngineRates const& rates = settings.rates;
    if (!(rates.prefillTokensPerSecond > 0) || !(rates.decodeTokensPerSecond > 0) || !(rates.mixedPrefillTokensPerSecond >= 0))
        return Core::fail(Core::ErrorCode::BadInput, "Prefill and decode rates must be above 0 tokens per second, and the mixed prefill rate must not be negative.");
    if (!(settings.mix.fastSeconds > 0) || !(settings.mix.slowSeconds > 0) || !(settings.horizonSeconds > 0) || !(settings.margin >= 1))
        return Core::fail(Core::ErrorCode::BadInput, "Time constants must be above 0 seconds and the margin at least 1.");
    return Planner(settings);
}

double Planner::requestsOverHorizon(Split const& split) const
{
    double remaining = std::min(m_mix.remainingSeconds(), m_settings.horizonSeconds);
    return remaining * estimateGoodput(m_mix.now(), split, m_settings.rates)
        + (m_settings.horizonSeconds - remaining) * estimateGoodput(m_mix.average(), split, m_settings.rates);
}

double Planner::bestPrefillOnAverage(double engines) const
{
    Demand average = m_mix.average();
    double best = 0;
    double bestGoodput = -1;
    for (double n = 0; n < engines; ++n) {
        double goodput = estimateGoodput(average, { n, 0, engines - n }, m_settings.rates);
        if (goodput > bestGoodput) {
            bestGoodput = goodput;
            best = n;
        }
    }
    return best;
}

// Returns how many engines should join (above 0) or leave (below 0) prefill for the highest expected gain in requests.
int Planner::bestMoves(FleetView const& view, Split const& split, double& gain) const
{
    double secondsLost = m_settings.changeSeconds + m_settings.drainSeconds;
    double engines = split.prefill + split.decode + split.mixed;
    Demand demand = m_mix.now();
    // Requests served per engine-second at the current demand.
    double requestsPerEngineSecond = estimateGoodput(demand, split, m_settings.rates) / std::max(1.0, engines);
    double currentRequests = requestsOverHorizon(split);
    double averageBestPrefill = bestPrefillOnAverage(engines);
    double minGain = m_settings.minGainShare * currentRequests;
    int best = 0;
    gain = 0;
    for (bool toPrefill : { false, true }) {
        double cost = 0;
        int moves = 0;
        Split moved = split;
        for (EngineView const& it : movableEngines(view.engines, toPrefill, m_settings.outputRole)) {
            ++moves;
            // A move away from the optimum for the average mix will have to be reversed, so it costs twice.
            bool isAwayFromAverage = toPrefill ? moved.prefill >= averageBestPrefill : moved.prefill <= averageBestPrefill;
            cost += (isAwayFromAverage ? 2 : 1) * requestsPerEngineSecond * (secondsLost + it.changeCostSeconds);
            TargetRole role = *roleAfter(it, toPrefill, m_settings.outputRole);
            double& from = it.role == TargetRole::Prefill ? moved.prefill : (it.role == TargetRole::Decode ? moved.decode : moved.mixed);
            double& to = role == TargetRole::Prefill ? moved.prefill : (role == TargetRole::Decode ? moved.decode : moved.mixed);
            from -= 1;
            to += 1;
            double netGain = requestsOverHorizon(moved) - currentRequests - m_settings.margin * cost - minGain;
            if (netGain > gain) {
                gain = netGain;
                best = toPrefill ? moves : -moves;
            }
        }
    }
    return best;
}

std::vector<RoleChange> Planner::plan(FleetView const& view)
{
    m_mix.add(view.counts, view.windowSeconds);
    if (m_settings.policy == Policy::Fixed || m_mix.observedSeconds() < m_settings.warmUpSeconds)
        return {};
    Split split = splitOf(view.engines);
    double gain = 0;
    int moves = m_settings.policy == Policy::Threshold ? m_threshold.decide(m_mix.now(), split, view.windowSeconds) : bestMoves(view, split, gain);
    return chooseEngines(view, moves, m_settings, gain);
}

std::vector<RoleChange> chooseEngines(FleetView const& view, int moves, Settings const& settings, double gain)
{
    if (moves == 0)
        return {};
    bool toPrefill = moves > 0;
    std::size_t changing = countChanging(view.engines);
    std::size_t freeSlots = settings.maxChanging > changing ? settings.maxChanging - changing : 0;
    std::size_t serving = countServing(view.engines, !toPrefill);
    std::size_t minServing = toPrefill ? settings.minOutput : settings.minPrefill;
    std::size_t spare = serving > minServing ? serving - minServing : 0;
    std::size_t maxMoves = std::min({ static_cast<std::size_t>(std::abs(moves)), freeSlots, spare });

    std::vector<RoleChange> changes;
    for (EngineView const& it : movableEngines(view.engines, toPrefill, settings.outputRole)) {
        if (changes.size() == maxMoves)
            break;
        changes.push_back({ it.engine, *roleAfter(it, toPrefill, settings.outputRole), gain });
    }
    return changes;
}

}
