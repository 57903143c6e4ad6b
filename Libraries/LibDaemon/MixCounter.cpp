#include <LibDaemon/MixCounter.h>
#include <utility>

namespace Daemon {

namespace {

// From this length on, computing a prompt noticeably delays the tokens of concurrent requests on the same engine.
constexpr std::uint32_t longPromptTokens = 1'000;

Roles::ClassCounts& countsOf(Roles::MixCounts& counts, std::uint32_t promptTokens)
{
    return counts[static_cast<std::size_t>(MixCounter::classOf(promptTokens))];
}

}

Roles::PromptClass MixCounter::classOf(std::uint32_t promptTokens)
{
    return promptTokens >= longPromptTokens ? Roles::PromptClass::Long : Roles::PromptClass::Short;
}

void MixCounter::offered(std::string const& pool, std::uint32_t promptTokens)
{
    std::lock_guard lock(m_mutex);
    Roles::ClassCounts& counts = countsOf(m_counts[pool], promptTokens);
    counts.requests += 1;
    counts.promptTokens += promptTokens;
}

void MixCounter::ended(std::string const& pool, std::uint32_t promptTokens, std::uint64_t outputTokens)
{
    std::lock_guard lock(m_mutex);
    Roles::ClassCounts& counts = countsOf(m_counts[pool], promptTokens);
    counts.endedRequests += 1;
    counts.outputTokens += static_cast<double>(outputTokens);
}

std::map<std::string, Roles::MixCounts> MixCounter::take()
{
    std::lock_guard lock(m_mutex);
    return std::exchange(m_counts, {});
}

void add(Roles::MixCounts& sum, Roles::MixCounts const& counts)
{
    for (std::size_t n = 0; n < sum.size(); ++n) {
        sum[n].requests += counts[n].requests;
        sum[n].promptTokens += counts[n].promptTokens;
        sum[n].endedRequests += counts[n].endedRequests;
        sum[n].outputTokens += counts[n].outputTokens;
    }
}

}
