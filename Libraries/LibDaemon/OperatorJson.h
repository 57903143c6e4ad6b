#pragma once

#include <LibCore/Result.h>
#include <LibDaemon/ConfigFollower.h>
#include <LibState/ConfigRecord.h>
#include <LibState/Object.h>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <string_view>

namespace Daemon {

/// Reads a record in the operators' JSON form. Errors (BadInput) say what is wrong and where. Thread-safe.
Core::Result<State::ConfigRecord> parseRecord(std::string_view json);

/// Returns an object of the configuration in JSON. Thread-safe.
boost::json::object toJson(State::Object const&);

/// Returns a history entry in JSON. Thread-safe.
boost::json::object toJson(HistoryEntry const&);

/// Returns the outcome of a submission in JSON. Thread-safe.
boost::json::object toJson(State::Outcome const&);

}
