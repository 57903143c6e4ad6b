#pragma once

#include <LibCore/Result.h>
#include <LibDaemon/TargetProtocol.h>
#include <LibRouting/TargetHealth.h>
#include <cstdint>
#include <string>

namespace Daemon {

/// Classifies the response to a prefill for the health of its target. `kvSource` is the result of
/// `TargetProtocol::readPrefill`. Thread-safe.
Routing::TargetOutcome outcomeOf(Core::Result<std::string> const& kvSource);

/// Classifies the head of a response for the health of its target. An unusable response is recorded as Broken by the
/// caller. `fetchesKv`: the target had to fetch the prompt's KV cache from another target. Thread-safe.
Routing::TargetOutcome outcomeOf(AnswerProof, std::uint16_t status, bool fetchesKv);

}
