#pragma once

#include <LibDaemon/Dispatcher.h>

namespace Daemon {

/// A placement from `place` to `release`.
struct Dispatcher::Waiter {
    Waiter(PlacementRequest placement, boost::asio::any_io_executor const& executor)
        : request(std::move(placement))
        , timer(executor)
    {
    }

    PlacementRequest request;
    boost::asio::steady_timer timer;
    PlacementOutcome outcome;
    std::uint32_t promptTokens { 0 }; ///< Prompt tokens left to compute at the chosen target, after its cached prefix.
    double averageSeconds { 0 }; ///< Time that these take at an average target.
    double aheadSeconds { 0 }; ///< Prompts open at the chosen target when this request was sent there.
    std::uint32_t openAtSend { 1 }; ///< Whole requests and outputs open at the chosen target then, with this one.
    bool hasTakenEventPace { false }; ///< Whether one of its events counts for the target's pace.
    bool isAnswered { false }; ///< A plain service has answered it.
    bool isOnlyPrompt { false }; ///< No other prompt was known to be running at the chosen target when this one was sent.
    bool computesSharedPrefix { false }; ///< The shared prefix is not known to be cached there yet.
    Routing::TargetWork work; ///< Work that the request adds to the chosen target.
    std::chrono::steady_clock::time_point sentAt; ///< When its target was chosen.
    std::optional<std::uint64_t> bookedTarget; ///< Key of a rate-limited target whose next free share it waits for.
    bool holdsRate { false }; ///< It has a share of the chosen target's rate limit, which its write uses up.
    bool isResolved { false };
    bool isPrefilled { false };
};

}
