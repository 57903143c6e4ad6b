#pragma once

#include <LibDaemon/AnswerKeeper.h>
#include <LibDaemon/AnswerRoom.h>
#include <LibDaemon/LeaveTimes.h>
#include <LibDaemon/Metrics.h>
#include <atomic>
#include <cstdint>
#include <string>

namespace Daemon {

/// What the handlers of all traffic threads share with the control thread. Thread-safe.
struct CallerShared {
    std::string name; ///< This daemon's.
    std::string requestIdPrefix; ///< Unique to this process.
    AnswerKeeper& keeper;
    Metrics& metrics;
    std::atomic<bool> isLeaving { false };
    std::atomic<std::uint64_t> nextRequest { 1 };
    LeaveTimes leaveTimes {}; ///< Set before `isLeaving`, and not changed behind it.
    AnswerRoom answerRoom { 0 };

    std::string newRequestId() { return requestIdPrefix + std::to_string(nextRequest.fetch_add(1)); }
};

}
