#pragma once

#include <functional>

namespace Daemon {

/// The control side of a daemon: it follows configuration, targets and other daemons, and publishes what traffic needs.
/// Use from the control thread only.
class Control {
public:
    virtual ~Control() = default;

    /// Starts to follow everything. Precondition: called once.
    virtual void start() = 0;

    virtual void stop() = 0;

    /// Tells other daemons that this one takes no new work.
    virtual void startLeaving() = 0;

    /// Gives up what this daemon holds and tells the others that it ends; then calls back.
    virtual void leave(std::function<void()> onDone) = 0;
};

}
