#pragma once

#include <LibRoles/FleetView.h>

namespace Roles {

/// What an engine does in a second, as measured or set by operators.
struct EngineRates {
    double prefillTokensPerSecond { 8000 };
    double decodeTokensPerSecond { 950 }; ///< At the largest batch that keeps the time between tokens.
    double mixedPrefillTokensPerSecond { 600 }; ///< Short prompts that a mixed engine takes beside its decoding without breaking that time.
};

/// Demand of one class, each second.
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

/// Estimates the requests a second that end in time under a demand. Smooth: spare capacity counts a
/// little even where the demand fits, since it shortens queues. Thread-safe.
double estimateGoodput(Demand const&, Split const&, EngineRates const&);

}
