#pragma once

#include <LibRoles/FleetView.h>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Daemon {

/// Counts, per engine pool, the prompts and outputs of this daemon's requests. Thread-safe.
class MixCounter {
public:
    /// Counts an incoming request, whether it is admitted or not.
    void offered(std::string const& pool, std::uint32_t promptTokens);

    /// Counts the end of a request that was counted by `offered` with the same prompt length.
    void ended(std::string const& pool, std::uint32_t promptTokens, std::uint64_t outputTokens);

    /// Returns and resets the counts.
    std::map<std::string, Roles::MixCounts> take();

    /// Returns the length class of a prompt.
    static Roles::PromptClass classOf(std::uint32_t promptTokens);

private:
    std::mutex m_mutex;
    std::map<std::string, Roles::MixCounts> m_counts;
};

/// Adds `counts` to `sum`.
void add(Roles::MixCounts& sum, Roles::MixCounts const& counts);

}
