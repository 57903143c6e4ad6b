#pragma once

#include <LibStandIn/Faults.h>
#include <cstdint>
#include <map>
#include <string>

namespace StandIn {

/// The state of the stand-in plain service: how often each request was run. Not thread-safe.
class ServiceCore {
public:
    /// Runs a request and returns how often its idempotency key has now run; without a key, how often
    /// its request id has; 0 when it has neither.
    std::uint64_t run(std::string const& idempotencyKey, std::string const& requestId);

    std::uint64_t total() const { return m_total; }
    std::map<std::string, std::uint64_t> const& runsByKey() const { return m_runsByKey; }
    std::map<std::string, std::uint64_t> const& runsByRequestId() const { return m_runsByRequestId; }

    Faults& faults() { return m_faults; }

private:
    std::uint64_t m_total { 0 };
    std::map<std::string, std::uint64_t> m_runsByKey;
    std::map<std::string, std::uint64_t> m_runsByRequestId;
    Faults m_faults;
};

}
