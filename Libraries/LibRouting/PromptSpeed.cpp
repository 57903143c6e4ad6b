#include <LibRouting/PromptSpeed.h>
#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

// The last two hundred prompts, about ten seconds of one daemon's traffic, outweigh all earlier ones.
constexpr double sampleRetention = 0.995;
// Puts the estimate at about the 20th percentile, since queueing slows a third of the prompts by any amount.
constexpr double slowSampleWeight = 0.2;
// Regularization towards the prior, relative to one prompt that consists of a single cost term: enough to separate
// terms that are collinear in all prompts, and little compared with the few percent of a prompt's time that setup takes.
constexpr double priorWeight = 0.02;
constexpr double maxInlierRatio = 2.0;
constexpr double minInlierRatio = 0.5;
// This excess of outliers over other prompts means that the engines changed, or that the first prompts were misleading.
constexpr std::uint32_t outliersUntilRestart = 12;
constexpr double million = 1e6;

std::array<double, 3> termsOf(PromptTime const& prompt)
{
    double newTokens = static_cast<double>(prompt.newTokens);
    return { 1, newTokens, newTokens * static_cast<double>(prompt.allTokens) / million };
}

std::array<double, 3> vectorOf(PromptCost const& cost)
{
    return { cost.setupSeconds, cost.secondsPerToken, cost.secondsPerMillionPairs };
}

}

PromptSpeed::PromptSpeed(PromptCost const& prior)
    : m_prior(prior)
    , m_cost(prior)
{
}

void PromptSpeed::add(PromptTime const& prompt)
{
    if (prompt.newTokens == 0 || !(prompt.seconds > 0))
        return;
    double estimate = m_cost.seconds(prompt.newTokens, prompt.allTokens);
    double ratio = prompt.seconds / estimate;
    bool isFirst = m_prompts == 0;
    if (isFirst || classifyOutlier(ratio)) {
        m_outlierRatios.push_back(ratio);
        if (isFirst || m_outliers >= outliersUntilRestart)
            restart();
        return;
    }
    ++m_prompts;
    double weight = ratio > 1 ? slowSampleWeight : 1;
    Vector promptTerms = termsOf(prompt);
    for (std::size_t row = 0; row < terms; ++row) {
        for (std::size_t column = 0; column < terms; ++column)
            m_sums[row][column] = m_sums[row][column] * sampleRetention + weight * promptTerms[row] * promptTerms[column] / (estimate * estimate);
        m_timeSums[row] = m_timeSums[row] * sampleRetention + weight * promptTerms[row] * ratio / estimate;
    }
    solve();
}

bool PromptSpeed::classifyOutlier(double ratio)
{
    bool isOutlier = ratio > maxInlierRatio || ratio < minInlierRatio;
    if (isOutlier)
        ++m_outliers;
    else
        m_outliers -= m_outliers > 0 ? 1 : 0;
    if (m_outliers == 0)
        m_outlierRatios.clear();
    return isOutlier;
}

// Restarts the estimate, scaled by the lower third of the outliers' ratios of measured to estimated time.
void PromptSpeed::restart()
{
    std::vector<double>::iterator lower = m_outlierRatios.begin() + static_cast<std::ptrdiff_t>(m_outlierRatios.size() / 3);
    std::nth_element(m_outlierRatios.begin(), lower, m_outlierRatios.end());
    double scale = *lower;
    m_outlierRatios.clear();
    m_sums = {};
    m_timeSums = {};
    m_prompts = 0;
    m_outliers = 0;
    m_cost.setupSeconds *= scale;
    m_cost.secondsPerToken *= scale;
    m_cost.secondsPerMillionPairs *= scale;
    m_prior = m_cost;
    m_prompts = 1;
}

// Weighted least squares over three terms, regularized towards the prior.
void PromptSpeed::solve()
{
    std::array<Vector, terms> a = m_sums;
    Vector b = m_timeSums;
    Vector prior = vectorOf(m_prior);
    for (std::size_t n = 0; n < terms; ++n) {
        a[n][n] += priorWeight / (prior[n] * prior[n]);
        b[n] += priorWeight / prior[n];
    }
    // Gaussian elimination without pivoting: the matrix is positive definite and its diagonal is above 0.
    for (std::size_t pivot = 0; pivot < terms; ++pivot) {
        for (std::size_t row = pivot + 1; row < terms; ++row) {
            double factor = a[row][pivot] / a[pivot][pivot];
            for (std::size_t column = pivot; column < terms; ++column)
                a[row][column] -= factor * a[pivot][column];
            b[row] -= factor * b[pivot];
        }
    }
    Vector solution {};
    for (std::size_t n = terms; n-- > 0;) {
        double rest = b[n];
        for (std::size_t column = n + 1; column < terms; ++column)
            rest -= a[n][column] * solution[column];
        solution[n] = rest / a[n][n];
    }
    // Keep each cost term positive.
    constexpr double minShareOfPrior = 0.01;
    m_cost.setupSeconds = std::max(solution[0], minShareOfPrior * prior[0]);
    m_cost.secondsPerToken = std::max(solution[1], minShareOfPrior * prior[1]);
    m_cost.secondsPerMillionPairs = std::max(solution[2], minShareOfPrior * prior[2]);
}

}
