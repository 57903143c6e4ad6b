#pragma once

#include <LibOperator/Messages.h>
#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace Operator {

/// Prints objects as an operators' file that `apply` reads, with the offset it was made from. Thread-safe.
std::string printFile(std::uint64_t offset, std::vector<ObjectEntry> const&);

/// Prints records of the history, one line each, the newest last. Thread-safe.
std::string printHistory(std::vector<HistoryEntry>);

/// Prints an object of the status for a person: scalars as lines, lists of objects as tables. Thread-safe.
std::string printObject(boost::json::object const&);

}
