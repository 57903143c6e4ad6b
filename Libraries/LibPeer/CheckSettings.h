#pragma once

#include <LibCore/Result.h>
#include <LibPeer/Settings.h>

namespace Peer {

/// Fails with BadInput and the name of the first setting that is zero or out of range. Thread-safe.
Core::Result<void> checkSettings(Settings const&);

}
