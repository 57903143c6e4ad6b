#pragma once

#include <LibCore/Result.h>
#include <LibDaemon/TargetProtocol.h>
#include <LibRouting/TargetHealth.h>
#include <cstdint>
#include <string>

namespace Daemon {

/// Returns what the answer to a prefill says of its target. `kvSource` is what `TargetProtocol::readPrefill` made of it.
/// Thread-safe.
Routing::TargetOutcome outcomeOf(Core::Result<std::string> const& kvSource);

/// Returns what the head of an answer says of its target. One that is unusable is noted as broken where it is given up.
/// `fetchesKv`: the target was to fetch the prompt's KV cache from another one. Thread-safe.
Routing::TargetOutcome outcomeOf(AnswerProof, std::uint16_t status, bool fetchesKv);

}
