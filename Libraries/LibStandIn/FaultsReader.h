#pragma once

#include <LibCore/Result.h>
#include <LibStandIn/Faults.h>
#include <boost/json/object.hpp>
#include <string>
#include <string_view>

namespace StandIn {

/// Applies the faults that `object` names, any subset of the keys. Error: BadInput; nothing is then applied. Thread-safe.
Core::Result<void> applyFaults(boost::json::object object, Faults&);
Core::Result<void> applyFaults(std::string_view text, Faults&);

/// Returns `bytes` in base64 (RFC 4648, section 4). Thread-safe.
std::string toBase64(std::string_view bytes);

}
