#include <LibRouting/PromptSpeed.h>
#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

// The last two hundred prompts, about ten seconds of one daemon's traffic, outweigh all earlier ones.
constexpr double memoryOfPrompts = 0.995;
// Puts the estimate at about the 20th percentile, since queueing slows a third of the prompts by any amount.
constexpr double weightAbove = 0.2;
// Regularization towards the prior shape, relative to one prompt that consists of a single cost term: enough to separate
// terms that are collinear in all prompts, and little compared with the few percent of a prompt's time that setup takes.
constexpr double weightOfShape = 0.02;
constexpr double farAbove = 2.0;
constexpr double farBelow = 0.5;
// This excess of outliers over other prompts means that the engines changed, or that the first prompts were misleading.
constexpr std::uint32_t farOffUntilRestart = 12;
constexpr double million = 1e6;

std::array<double, 3> partsOf(PromptTime const& prompt)
{
    double newTokens = static_cast<double>(prompt.newTokens);
    return { 1, newTokens, newTokens * static_cast<double>(prompt.allTokens) / million };
}

std::array<double, 3> vectorOf(PromptCost const& cost)
{
    return { cost.setupSeconds, cost.secondsPerToken, cost.secondsPerMillionPairs };
}

}

PromptSpeed::PromptSpeed(PromptCost const& shape)
    : m_shape(shape)
    , m_cost(shape)
{
}

void PromptSpeed::add(PromptTime const& prompt)
{
    if (prompt.newTokens == 0 || !(prompt.seconds > 0))
        return;
    double estimate = m_cost.seconds(prompt.newTokens, prompt.allTokens);
    double ratio = prompt.seconds / estimate;
    bool isFirst = m_prompts == 0;
    if (isFirst || isFarOff(ratio)) {
        m_farOffRatios.push_back(ratio);
        if (isFirst || m_farOff >= farOffUntilRestart)
            restart();
        return;
    }
    ++m_prompts;
    double weight = ratio > 1 ? weightAbove : 1;
    Vector own = partsOf(prompt);
    for (std::size_t row = 0; row < parts; ++row) {
        for (std::size_t column = 0; column < parts; ++column)
            m_sums[row][column] = m_sums[row][column] * memoryOfPrompts + weight * own[row] * own[column] / (estimate * estimate);
        m_timeSums[row] = m_timeSums[row] * memoryOfPrompts + weight * own[row] * ratio / estimate;
    }
    solve();
}

bool PromptSpeed::isFarOff(double ratio)
{
    bool isFar = ratio > farAbove || ratio < farBelow;
    if (isFar)
        ++m_farOff;
    else
        m_farOff -= m_farOff > 0 ? 1 : 0;
    if (m_farOff == 0)
        m_farOffRatios.clear();
    return isFar;
}

// Restarts the estimate, scaled by the lower third of the outliers' ratios of measured to estimated time.
void PromptSpeed::restart()
{
    std::vector<double>::iterator lower = m_farOffRatios.begin() + static_cast<std::ptrdiff_t>(m_farOffRatios.size() / 3);
    std::nth_element(m_farOffRatios.begin(), lower, m_farOffRatios.end());
    double scale = *lower;
    m_farOffRatios.clear();
    m_sums = {};
    m_timeSums = {};
    m_prompts = 0;
    m_farOff = 0;
    m_cost.setupSeconds *= scale;
    m_cost.secondsPerToken *= scale;
    m_cost.secondsPerMillionPairs *= scale;
    m_shape = m_cost;
    m_prompts = 1;
}

// Weighted least squares over three terms, regularized towards the prior shape.
void PromptSpeed::solve()
{
    std::array<Vector, parts> a = m_sums;
    Vector b = m_timeSums;
    Vector shape = vectorOf(m_shape);
    for (std::size_t n = 0; n < parts; ++n) {
        a[n][n] += weightOfShape / (shape[n] * shape[n]);
        b[n] += weightOfShape / shape[n];
    }
    // Gaussian elimination without pivoting: the matrix is positive definite and its diagonal is above 0.
    for (std::size_t pivot = 0; pivot < parts; ++pivot) {
        for (std::size_t row = pivot + 1; row < parts; ++row) {
            double factor = a[row][pivot] / a[pivot][pivot];
            for (std::size_t column = pivot; column < parts; ++column)
                a[row][column] -= factor * a[pivot][column];
            b[row] -= factor * b[pivot];
        }
    }
    Vector solution {};
    for (std::size_t n = parts; n-- > 0;) {
        double rest = b[n];
        for (std::size_t column = n + 1; column < parts; ++column)
            rest -= a[n][column] * solution[column];
        solution[n] = rest / a[n][n];
    }
    // Keep each cost term positive.
    constexpr double leastOfShape = 0.01;
    m_cost.setupSeconds = std::max(solution[0], leastOfShape * shape[0]);
    m_cost.secondsPerToken = std::max(solution[1], leastOfShape * shape[1]);
    m_cost.secondsPerMillionPairs = std::max(solution[2], leastOfShape * shape[2]);
}

}
