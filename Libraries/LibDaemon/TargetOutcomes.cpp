#include <LibDaemon/TargetOutcomes.h>

namespace Daemon {

namespace {

constexpr std::uint16_t minServerErrorStatus = 500;
constexpr std::uint16_t gatewayTimeoutStatus = 504; // The request's own deadline expired, which may have been short.

}

Routing::TargetOutcome outcomeOf(Core::Result<std::string> const& kvSource)
{
    if (kvSource.has_value())
        return Routing::TargetOutcome::Answered;
    if (kvSource.error().code == Core::ErrorCode::NotFound)
        return Routing::TargetOutcome::Replaced;
    return kvSource.error().verdict == Core::Verdict::NotRun ? Routing::TargetOutcome::Refused : Routing::TargetOutcome::Failed;
}

Routing::TargetOutcome outcomeOf(AnswerProof proof, std::uint16_t status, bool fetchesKv)
{
    if (proof == AnswerProof::Replaced)
        return Routing::TargetOutcome::Replaced;
    // A failed fetch of the KV cache is not a fault of the target that fetches it.
    if (proof == AnswerProof::NotRun)
        return fetchesKv ? Routing::TargetOutcome::Answered : Routing::TargetOutcome::Refused;
    return status >= minServerErrorStatus && status != gatewayTimeoutStatus ? Routing::TargetOutcome::Failed : Routing::TargetOutcome::Answered;
}

}
