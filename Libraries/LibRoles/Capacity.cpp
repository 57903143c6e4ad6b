#include <LibRoles/Capacity.h>
#include <algorithm>
#include <cmath>

namespace Roles {

namespace {

// Share of a demand that is served in time by a capacity of `headroom` times the demand. The exponent is
// fitted to the model's queues: at 1.0 about 0.85, at 1.25 about 0.96, at 1.5 about 0.99.
double servedShare(double headroom)
{
    constexpr double sharpness = 4;
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

    double output = servedShare(ratio(split.decode + split.mixed, decodeWork));
    // Mixed engines take short prompts first; what they cannot take competes with the long ones.
    double rest = std::max(0.0, shortWork - besideDecode);
    double prefill = servedShare(ratio(split.prefill, longWork + rest));
    double taken = shortWork > 0 ? std::min(1.0, besideDecode / shortWork) : 1;
    double shortShare = std::max(taken * servedShare(ratio(besideDecode, shortWork)), taken + (1 - taken) * prefill);
    if (split.prefill <= 0)
        shortShare = servedShare(ratio(besideDecode, shortWork));
    return output * (few.requests * shortShare + many.requests * prefill);
}

}
