#pragma once

#include <LibRoles/FleetView.h>

namespace Roles {

/// Throughput of one engine, measured or configured by operators.
struct EngineRates {
    double prefillTokensPerSecond { 8000 };
    double decodeTokensPerSecond { 950 }; ///< At the largest batch size that meets the inter-token latency target.
    double mixedPrefillTokensPerSecond { 600 }; ///< Short prompts, beside decoding within that target.
};

/// Demand of one prompt class, per second.
struct ClassDemand {
    double requests { 0 };
    double promptTokens { 0 };
    double outputTokens { 0 };
};

using Demand = std::array<ClassDemand, 2>; ///< Indexed by PromptClass.

/// Number of serving engines in each role.
struct Split {
    double prefill { 0 };
    double decode { 0 };
    double mixed { 0 };

    bool operator==(Split const&) const = default;
};

/// Estimates the goodput: requests per second that finish in time under a demand. The estimate is smooth:
/// spare capacity adds a little even when the demand is met, since it shortens queues. Thread-safe.
double estimateGoodput(Demand const&, Split const&, EngineRates const&);

}
