#pragma once

#include <LibRouting/PromptCost.h>
#include <array>
#include <cstdint>
#include <vector>

namespace Routing {

/// One prompt and its measured prefill time.
struct PromptTime {
    std::uint64_t newTokens { 0 }; ///< Tokens that the engine computed.
    std::uint64_t allTokens { 0 }; ///< Tokens of the prompt, including those that were cached.
    double seconds { 0 };
};

/// Learns the prompt cost of one kind of engine from prompts that, as far as their sender knew, ran alone at their engine.
/// Some did not, which only makes them slower, and for some the engine had cached more or less than assumed. So a prompt
/// above the estimate has a fifth of the weight of one below it, and outliers are ignored unless nearly all prompts are
/// outliers, for example after an update of the engines' software. Performs no I/O. Not thread-safe.
class PromptSpeed {
public:
    /// `prior` gives the initial ratios of the three cost terms; its scale does not matter.
    explicit PromptSpeed(PromptCost const& prior = {});

    /// Adds a measured prompt. Prompts without new tokens or time are ignored.
    void add(PromptTime const&);

    /// Returns the estimate; before the first prompt, the prior.
    PromptCost cost() const { return m_cost; }

    /// Returns the number of prompts that the estimate is based on.
    std::uint32_t prompts() const { return m_prompts; }

private:
    static constexpr std::size_t terms = 3; ///< Setup, new tokens, attention pairs.
    using Vector = std::array<double, terms>;

    bool classifyOutlier(double ratio);
    void restart();
    void solve();

    PromptCost m_prior;
    PromptCost m_cost;
    std::array<Vector, terms> m_sums {}; ///< Normal matrix: products of each prompt's cost terms, relative to its estimate.
    Vector m_timeSums {}; ///< Right-hand side: products of those terms and the measured time.
    std::uint32_t m_prompts { 0 };
    std::uint32_t m_outliers { 0 }; ///< Rises with each outlier and falls with each other prompt.
    std::vector<double> m_outlierRatios; ///< Measured time over estimate, of each of those outliers.
};

}
