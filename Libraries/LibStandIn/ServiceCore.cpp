#include <LibStandIn/ServiceCore.h>

namespace StandIn {

std::uint64_t ServiceCore::run(std::string const& idempotencyKey, std::string const& requestId)
{
    ++m_total;
    std::uint64_t byId = requestId.empty() ? 0 : ++m_runsByRequestId[requestId];
    std::uint64_t byKey = idempotencyKey.empty() ? 0 : ++m_runsByKey[idempotencyKey];
    return idempotencyKey.empty() ? byId : byKey;
}

}
