#pragma once

#include <LibCore/Result.h>
#include <LibStandIn/Faults.h>
#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace StandIn {

/// Parses a JSON object. Error: BadInput. Thread-safe.
Core::Result<boost::json::object> parseObject(std::string_view text);

/// Returns the string under `key`, or nothing when it is absent. Error: BadInput when it is no string. Thread-safe.
Core::Result<std::optional<std::string>> optionalString(boost::json::object const&, std::string_view key);

/// Returns the whole number from 0 up under `key`, or nothing when it is absent. Error: BadInput. Thread-safe.
Core::Result<std::optional<std::uint64_t>> optionalNumber(boost::json::object const&, std::string_view key);

/// Returns the truth value under `key`, or nothing when it is absent. Error: BadInput. Thread-safe.
Core::Result<std::optional<bool>> optionalBool(boost::json::object const&, std::string_view key);

/// Applies the faults that `object` names, any subset of the keys. Error: BadInput; nothing is then applied. Thread-safe.
Core::Result<void> applyFaults(boost::json::object object, Faults&);
Core::Result<void> applyFaults(std::string_view text, Faults&);

/// Returns `bytes` in base64 (RFC 4648, section 4). Thread-safe.
std::string toBase64(std::string_view bytes);

}
