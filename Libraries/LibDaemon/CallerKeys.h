#pragma once

#include <LibAccess/Gate.h>
#include <LibCore/Result.h>
#include <LibDaemon/FleetSnapshot.h>
#include <LibHttp/Message.h>

namespace Daemon {

/// Lets a request of the own protocol in by the key in its Authorization field (RFC 6750, section 2.1), where the configuration has
/// organisations. The field is taken out, and the organisation's name takes the place of whatever the caller gave: nothing behind this
/// sees a key, and all may go by the name. Errors (not run): Unauthenticated; Unavailable where the configuration is not known, or too
/// old to tell. Thread-safe.
Core::Result<void> admitByKey(Http::Request&, FleetSnapshot const&, Access::GateSettings const&);

}
