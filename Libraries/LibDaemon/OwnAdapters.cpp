#include <LibDaemon/Adapters.h>

namespace Daemon {

Adapters ownAdapters()
{
    Adapters adapters;
    adapters.callers = ownCallerProtocol();
    adapters.targets = ownTargetProtocol();
    adapters.createEngineControl = Platform::createHttpEngineControl;
    return adapters;
}

}
