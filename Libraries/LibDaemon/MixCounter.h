#pragma once

#include <LibRoles/FleetView.h>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Daemon {

/// Counts, per pool of engines, the prompts and the output that requests of this daemon asked for. Thread-safe.
class MixCounter {
public:
    /// Notes a request that was offered, whether it was let in or not.
    void offered(std::string const& pool, std::uint32_t promptTokens);

    /// Notes the end of a request that was offered with that prompt.
    void ended(std::string const& pool, std::uint32_t promptTokens, std::uint64_t outputTokens);

    /// Returns and clears what was counted since the last call.
    std::map<std::string, Roles::MixCounts> take();

    /// Returns the class of a prompt.
    static Roles::PromptClass classOf(std::uint32_t promptTokens);

private:
    std::mutex m_mutex;
    std::map<std::string, Roles::MixCounts> m_counts;
};

/// Adds counts up.
void add(Roles::MixCounts& sum, Roles::MixCounts const& counts);

}
