#pragma once

#include <cstdint>

namespace StandIn {

/// Faults that tests switch on. Each stand-in heeds those that its kind has.
struct Faults {
    bool isDown { false }; ///< Every call is answered with 503.
    std::uint64_t loseReplies { 0 }; ///< So many calls take effect and are then cut off without an answer.
    std::uint64_t delayMs { 0 }; ///< Each call waits so long before it takes effect.
    bool crashesDuringChange { false }; ///< The engine ends half-way through its next change.
    bool stalls { false }; ///< The engine takes requests but makes no progress.
    bool refuses { false }; ///< The engine refuses every request as not serving.
    bool saysLeaving { false }; ///< A runner says in all its answers that it leaves; its entry in the store does not.
    std::uint64_t turnAwayMs { 0 }; ///< A runner's refusals say that it wants nothing for so long.
    std::uint64_t workMs { 0 }; ///< A runner works so long before it answers a run or a prompt, unless its caller closes the connection.
    std::uint64_t limitPer1000Seconds { 0 }; ///< A runner names this limit in its answers, in requests per 1,000 seconds; 0: none.
    std::uint64_t cutAfterEvents { 0 }; ///< Streams are cut after so many events; 0: never.
};

}
