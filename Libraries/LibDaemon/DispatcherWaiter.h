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
    std::uint32_t promptTokens { 0 }; ///< Left to compute at the chosen target, after its cached prefix.
    bool isAlone { false }; ///< No other prompt is known to have been at the chosen target when this one was sent.
    bool computesShared { false }; ///< No daemon is known to have had its shared part computed there.
    Routing::TargetWork work; ///< That it adds to the chosen target's.
    std::chrono::steady_clock::time_point sentAt; ///< When its target was chosen.
    bool isResolved { false };
    bool isPrefilled { false };
};

}
