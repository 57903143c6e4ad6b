#pragma once

#include <LibModel/EngineDay.h>
#include <LibOperator/EngineHistory.h>
#include <ostream>

namespace Measure {

/// A rule of size on a day: the mean over seeds.
struct EngineNumbersRow {
    Model::EngineDay day;
    std::string rule;
    Model::EngineDayFigures figures; ///< Points are of the first seed.
};

/// Plays all days by all rules.
std::vector<EngineNumbersRow> compareEngineNumbers(std::uint64_t firstSeed, std::uint64_t seeds);

/// Prints a table: what is late and lost, what engines cost, and what a day is worth at three prices of an engine.
void printEngineNumbers(std::ostream&, std::vector<EngineNumbersRow> const&);

/// Writes a picture of one day: a panel a rule, with the demand and the engines wanted, ordered and working.
/// Precondition: a row is of that day.
void plotEngineNumbers(std::ostream&, std::vector<EngineNumbersRow> const&, std::string const& day);

/// Writes a picture of what a daemon's log says of the engines of a service.
void plotEngineHistory(std::ostream&, Operator::EngineHistory const&, std::string const& service);

}
