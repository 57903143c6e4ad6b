#pragma once

#include <LibCore/Result.h>
#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Json {

/// Parses a JSON object. Error: BadInput. Thread-safe.
Core::Result<boost::json::object> parseObject(std::string_view text);

/// Returns the string under `key`, or nothing when it is absent. Error: BadInput when it is no string. Thread-safe.
Core::Result<std::optional<std::string>> optionalString(boost::json::object const&, std::string_view key);

/// Returns the whole number from 0 up under `key`, or nothing when it is absent. Error: BadInput. Thread-safe.
Core::Result<std::optional<std::uint64_t>> optionalNumber(boost::json::object const&, std::string_view key);

/// Returns the truth value under `key`, or nothing when it is absent. Error: BadInput. Thread-safe.
Core::Result<std::optional<bool>> optionalBool(boost::json::object const&, std::string_view key);

/// Returns the string under `key`. Error: BadInput when it is absent or no string. Thread-safe.
Core::Result<std::string> requiredString(boost::json::object const&, std::string_view key);

/// Returns the whole number from 0 up under `key`. Error: BadInput when it is absent or none. Thread-safe.
Core::Result<std::uint64_t> requiredNumber(boost::json::object const&, std::string_view key);

/// Returns the objects of the list under `key`, valid as long as the object. Error: BadInput when it is
/// absent, no list, or holds anything else. Thread-safe.
Core::Result<std::vector<boost::json::object const*>> requiredObjects(boost::json::object const&, std::string_view key);

}
