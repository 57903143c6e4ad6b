#pragma once

#include <LibCore/Result.h>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace Platform {

/// Parses text that must be a JSON object. Errors: BadInput. Thread-safe.
Core::Result<boost::json::object> parseObject(std::string_view text);

/// Returns the string under `key`, or an empty one. Thread-safe.
std::string stringOf(boost::json::object const&, std::string_view key);

/// Returns the whole number under `key`, or `fallback` when there is none. Thread-safe.
std::uint64_t numberOf(boost::json::object const&, std::string_view key, std::uint64_t fallback = 0);

/// Returns the truth value under `key`, or false. Thread-safe.
bool flagOf(boost::json::object const&, std::string_view key);

/// Returns the array under `key`, or null. Thread-safe.
boost::json::array const* arrayOf(boost::json::object const&, std::string_view key);

}
