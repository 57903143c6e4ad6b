#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

namespace Routing {

/// How long an engine computes a prompt, from the figures that its operators declare. docs/design/platform.md says
/// where the defaults come from. Thread-safe.
struct PromptCost {
    double secondsPerToken { 1.0 / 51'100 };
    double secondsPerMillionPairs { 0.000323 }; ///< For a million pairs of a new token and one that it attends to.
    double setupSeconds { 0.0053 };

    /// Returns the seconds for `newTokens` at the end of a prompt of `allTokens`.
    double seconds(std::uint64_t newTokens, std::uint64_t allTokens) const
    {
        constexpr double million = 1e6;
        double pairs = static_cast<double>(newTokens) * static_cast<double>(allTokens) / million;
        return setupSeconds + static_cast<double>(newTokens) * secondsPerToken + pairs * secondsPerMillionPairs;
    }

    bool operator==(PromptCost const&) const = default;
};

/// Returns the urgency, from 0 (first) to 9 (last), of a prompt that takes so long to compute: the shortest goes first,
/// so that a short question does not wait behind long histories. Thread-safe.
inline int urgencyOf(double prefillSeconds)
{
    // Each bound is about 1.5 times the one before: prompts of the users' sheets spread over all of them.
    constexpr std::array<double, 9> bounds { 0.012, 0.020, 0.032, 0.050, 0.075, 0.110, 0.170, 0.260, 0.400 };
    return static_cast<int>(std::lower_bound(bounds.begin(), bounds.end(), prefillSeconds) - bounds.begin());
}

}
