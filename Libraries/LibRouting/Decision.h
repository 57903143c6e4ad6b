#pragma once

#include <LibCore/EnumNames.h>
#include <LibRouting/TargetRole.h>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Routing {

/// Why a target was chosen, or why none was.
enum class Reason : std::uint8_t {
    NoCandidate, ///< The span was empty: no target is selected for this request.
    AllClosed, ///< Every candidate in a suitable role is closed.
    NoFittingRole, ///< No candidate is in a role that takes this phase.
    NoOutputTarget, ///< A target could prefill, but no open candidate could decode.
    OnlyCandidate,
    RandomDraw,
    LeastLoad,
    LessLoadedOfSample,
    RecheckKept, ///< The sample's winner still beats the other after correction.
    RecheckMoved, ///< It does not: the other was chosen.
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

/// The outcome of a routing decision, including the fields for its log line.
struct Decision {
    std::optional<std::size_t> chosen; ///< Index into the candidates.
    std::optional<std::size_t> runnerUp; ///< Index of the second best, if one was compared.
    std::uint32_t target { 0 }; ///< `Candidate::target` of the chosen one.
    TargetRole role { TargetRole::Mixed }; ///< Role of the chosen target; after `Prefill`, the output needs a second decision.
    Reason reason { Reason::NoCandidate };
    double score { 0 }; ///< Estimated seconds to the first token, including penalties. Lower is better.
    double runnerUpScore { 0 };
    double waitSeconds { 0 }; ///< The estimate without penalties, which admission control compares with the deadline.
    std::uint32_t considered { 0 }; ///< Candidates whose score was computed.
};

}
