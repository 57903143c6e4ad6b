#include <LibRoles/Capacity.h>
#include <algorithm>
#include <cmath>

namespace Roles {

namespace {

// Share of a demand that is served in time by a capacity of `headroom` times the demand. Prompts are few and
// long, and wait for a whole engine; outputs share engines evenly, so that less headroom does.
constexpr double promptSharpness = 4;
constexpr double outputSharpness = 12;

double servedShare(double headroom, double sharpness)
{
    double n = std::max(0.0, headroom);
    return n / std::pow(1 + std::pow(n, sharpness), 1 / sharpness);
}

double ratio(double capacity, double demand)
{
    constexpr double most = 100;
    return demand * most <= capacity ? most : capacity / demand;
}

}

double goodRequestsPerSecond(Demand const& demand, Split const& split, EngineRates const& rates)
{
    ClassDemand const& few = demand[static_cast<std::size_t>(PromptClass::Short)];
    ClassDemand const& many = demand[static_cast<std::size_t>(PromptClass::Long)];
    double decodeWork = (few.outputTokens + many.outputTokens) / rates.decodeTokensPerSecond;
    double shortWork = few.promptTokens / rates.prefillTokensPerSecond;
    double longWork = many.promptTokens / rates.prefillTokensPerSecond;
    double besideDecode = split.mixed * rates.mixedPrefillTokensPerSecond / rates.prefillTokensPerSecond;

    double output = servedShare(ratio(split.decode + split.mixed, decodeWork), outputSharpness);
    // Mixed engines take short prompts first; what they cannot take competes with the long ones.
    double rest = std::max(0.0, shortWork - besideDecode);
    double prefill = servedShare(ratio(split.prefill, longWork + rest), promptSharpness);
    double taken = shortWork > 0 ? std::min(1.0, besideDecode / shortWork) : 1;
    double shortShare = std::max(taken * servedShare(ratio(besideDecode, shortWork), outputSharpness), taken + (1 - taken) * prefill);
    if (split.prefill <= 0)
        shortShare = servedShare(ratio(besideDecode, shortWork), outputSharpness);
    return output * (few.requests * shortShare + many.requests * prefill);
}

}
