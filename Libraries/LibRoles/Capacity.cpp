#include <LibRoles/Capacity.h>
#include <algorithm>
#include <cmath>

namespace Roles {

namespace {

// Exponents for the share of a demand that is served in time by a capacity of `headroom` times the demand. Prompts
// are few and long and each waits for a whole engine; outputs share engines evenly and need less headroom.
constexpr double promptSharpness = 4;
constexpr double outputSharpness = 12;

double servedShare(double headroom, double sharpness)
{
    double n = std::max(0.0, headroom);
    return n / std::pow(1 + std::pow(n, sharpness), 1 / sharpness);
}

double headroomRatio(double capacity, double demand)
{
    constexpr double maxRatio = 100;
    return demand * maxRatio <= capacity ? maxRatio : capacity / demand;
}

}

double estimateGoodput(Demand const& demand, Split const& split, EngineRates const& rates)
{
    ClassDemand const& shortPrompts = demand[static_cast<std::size_t>(PromptClass::Short)];
    ClassDemand const& longPrompts = demand[static_cast<std::size_t>(PromptClass::Long)];
    double decodeWork = (shortPrompts.outputTokens + longPrompts.outputTokens) / rates.decodeTokensPerSecond;
    double shortWork = shortPrompts.promptTokens / rates.prefillTokensPerSecond;
    double longWork = longPrompts.promptTokens / rates.prefillTokensPerSecond;
    double mixedPrefillCapacity = split.mixed * rates.mixedPrefillTokensPerSecond / rates.prefillTokensPerSecond;

    double output = servedShare(headroomRatio(split.decode + split.mixed, decodeWork), outputSharpness);
    // Mixed engines serve short prompts first; the excess competes with long prompts for prefill engines.
    double excessShortWork = std::max(0.0, shortWork - mixedPrefillCapacity);
    double prefill = servedShare(headroomRatio(split.prefill, longWork + excessShortWork), promptSharpness);
    double mixedShare = shortWork > 0 ? std::min(1.0, mixedPrefillCapacity / shortWork) : 1;
    double shortShare = std::max(mixedShare * servedShare(headroomRatio(mixedPrefillCapacity, shortWork), outputSharpness), mixedShare + (1 - mixedShare) * prefill);
    if (split.prefill <= 0)
        shortShare = servedShare(headroomRatio(mixedPrefillCapacity, shortWork), outputSharpness);
    return output * (shortPrompts.requests * shortShare + longPrompts.requests * prefill);
}

}
