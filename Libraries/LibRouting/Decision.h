#pragma once

#include <LibCore/EnumNames.h>
#include <LibRouting/TargetRole.h>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Routing {

/// Why a target won, or why none did.
enum class Reason : std::uint8_t {
    NoCandidate, ///< The span was empty: nothing is selected for this work.
    AllClosed, ///< Every candidate in a fitting role is closed.
    NoFittingRole, ///< No candidate is in a role that takes this phase.
    NoOutputTarget, ///< Its prompt could be computed, but no open candidate would make its output.
    OnlyCandidate,
    RandomDraw,
    LeastLoad,
    LessLoadedOfSample,
    RecheckKept, ///< The sample's winner still beats the other after correction.
    RecheckMoved, ///< It does not: the other was taken.
    CachedPrefix, ///< It holds a longer prefix and its load is within the bound.
    EarliestToken, ///< Its estimated time to the first token is the least.
};

inline constexpr Core::EnumNames<Reason, 12> reasonNames { {
    { Reason::NoCandidate, "no-candidate" },
    { Reason::AllClosed, "all-closed" },
    { Reason::NoFittingRole, "no-fitting-role" },
    { Reason::NoOutputTarget, "no-output-target" },
    { Reason::OnlyCandidate, "only-candidate" },
    { Reason::RandomDraw, "random-draw" },
    { Reason::LeastLoad, "least-load" },
    { Reason::LessLoadedOfSample, "less-loaded-of-sample" },
    { Reason::RecheckKept, "recheck-kept" },
    { Reason::RecheckMoved, "recheck-moved" },
    { Reason::CachedPrefix, "cached-prefix" },
    { Reason::EarliestToken, "earliest-token" },
} };

/// The outcome of a routing decision, with what its log line shows.
struct Decision {
    std::optional<std::size_t> chosen; ///< Position in the candidates.
    std::optional<std::size_t> runnerUp; ///< Position of the second best, if one was looked at.
    std::uint32_t target { 0 }; ///< `Candidate::target` of the chosen one.
    TargetRole role { TargetRole::Mixed }; ///< Its role: `Prefill` means that the output needs a second decision.
    Reason reason { Reason::NoCandidate };
    double score { 0 }; ///< Estimated seconds until the first token could come, penalties included. Less is better.
    double runnerUpScore { 0 };
    double waitSeconds { 0 }; ///< The estimate without penalties: what an admission check compares with the deadline.
    std::uint32_t considered { 0 }; ///< Candidates whose score was computed.
};

}
