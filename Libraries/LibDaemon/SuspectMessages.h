#pragma once

#include <LibCore/Result.h>
#include <LibQuarantine/Suspect.h>
#include <string>
#include <string_view>

namespace Daemon {

/// Forms of what is known of a suspected request, for a peer and for the store: ages in place of moments, as clocks differ and
/// start anew. `decode` errors: Corrupt. Thread-safe.
std::string encode(Quarantine::Suspect const&, Quarantine::Time now);
Core::Result<Quarantine::Suspect> decodeSuspect(std::string_view key, std::string_view bytes, Quarantine::Time now);

}
