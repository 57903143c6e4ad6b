#include <LibDaemon/TargetOutcomes.h>

namespace Daemon {

namespace {

constexpr std::uint16_t leastFailure = 500;
constexpr std::uint16_t outOfTime = 504; // Of the request's own time, which may have been short.

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
    // A KV cache that cannot be had is no fault of the target that fetches it.
    if (proof == AnswerProof::NotRun)
        return fetchesKv ? Routing::TargetOutcome::Answered : Routing::TargetOutcome::Refused;
    return status >= leastFailure && status != outOfTime ? Routing::TargetOutcome::Failed : Routing::TargetOutcome::Answered;
}

}
