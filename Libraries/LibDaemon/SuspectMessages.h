#pragma once

#include <LibCore/Result.h>
#include <LibQuarantine/Suspect.h>
#include <string>
#include <string_view>

namespace Daemon {

/// Serializes a suspect record for peers and the store. Times are encoded as ages, because clocks differ between daemons and
/// restart with the VM. Errors of `decodeSuspect`: Corrupt. Thread-safe.
std::string encode(Quarantine::Suspect const&, Quarantine::Time now);
Core::Result<Quarantine::Suspect> decodeSuspect(std::string_view key, std::string_view bytes, Quarantine::Time now);

}
