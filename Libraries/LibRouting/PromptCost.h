#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

namespace Routing {

/// Cost model of a prefill. The defaults are a prior for the ratios, since engine speeds differ by a factor of tens: the
/// setup costs as much as a hundred tokens, and at 50,000 tokens attention costs as much as the per-token work. The actual
/// cost is learned by `PromptSpeed`. Thread-safe.
struct PromptCost {
    double secondsPerToken { 1e-5 };
    double secondsPerMillionPairs { 2e-4 }; ///< Attention cost of a million pairs of a new token and a token that it attends to.
    double setupSeconds { 1e-3 };

    /// Returns the time to compute the last `newTokens` tokens of a prompt of `allTokens`.
    double seconds(std::uint64_t newTokens, std::uint64_t allTokens) const
    {
        constexpr double million = 1e6;
        double pairs = static_cast<double>(newTokens) * static_cast<double>(allTokens) / million;
        return setupSeconds + static_cast<double>(newTokens) * secondsPerToken + pairs * secondsPerMillionPairs;
    }

    bool operator==(PromptCost const&) const = default;
};

/// Returns the scheduling urgency, from 0 (first) to 9 (last), of a prompt by its prefill time relative to the mean: the
/// shortest goes first, so that a short question does not wait behind long conversation histories.
/// Precondition: `meanSeconds` is above 0. Thread-safe.
inline int urgencyOf(double prefillSeconds, double meanSeconds)
{
    // Each bound is about 1.5 times the previous one, so that lengths within a factor of thirty are spread over all levels.
    constexpr std::array<double, 9> bounds { 0.20, 0.34, 0.54, 0.85, 1.3, 1.9, 2.9, 4.4, 6.8 };
    return static_cast<int>(std::lower_bound(bounds.begin(), bounds.end(), prefillSeconds / meanSeconds) - bounds.begin());
}

}
