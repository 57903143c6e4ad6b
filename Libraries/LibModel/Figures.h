#pragma once

#include <array>
#include <cstdint>
#include <vector>

namespace Model {

/// What is shown of an interval of a run.
struct Interval {
    std::uint32_t offered { 0 };
    std::uint32_t good { 0 }; ///< By the time of arrival.
    std::uint32_t longPrompts { 0 };
    std::array<std::uint32_t, 3> roles {}; ///< Serving engines, by Routing::TargetRole, at its end.
};

/// Numbers of requests with something in common.
struct Tally {
    std::uint64_t offered { 0 };
    std::uint64_t good { 0 };
    std::uint64_t lateFirst { 0 };
    std::uint64_t slow { 0 };
    std::uint64_t shed { 0 };
    std::uint64_t lost { 0 };

    double goodShare() const { return offered ? static_cast<double>(good) / static_cast<double>(offered) : 0; }
};

/// What a run measured. Requests that arrive while it warms up are not counted.
struct Figures {
    static constexpr double intervalSeconds = 5;
    static constexpr double warmUpSeconds = 30;

    Tally all;
    std::array<Tally, 2> byClass; ///< Indexed by Roles::PromptClass.
    std::array<Tally, 10> byPriority;
    Tally flooding; ///< Organisation 0.
    double seconds { 0 }; ///< Counted time.
    std::uint32_t roleChanges { 0 };
    std::uint64_t retries { 0 };
    std::uint64_t notes { 0 }; ///< Counts told to peers at once.
    std::uint64_t cachedTokens { 0 }; ///< Prompt tokens that no engine had to compute.
    std::uint64_t promptTokens { 0 };
    std::vector<Interval> intervals;

    /// Requests a second that ended in full and in time.
    double goodput() const { return seconds > 0 ? static_cast<double>(all.good) / seconds : 0; }
};

}
