#pragma once

#include <LibOperator/ChangePlan.h>
#include <LibOperator/Messages.h>
#include <optional>
#include <string>

namespace Operator {

/// All that an operator is told of a change.
struct ChangeReport {
    ChangePlan plan;
    State::RecordId id;
    ChangeReply reply;
    bool isSent { false }; ///< Else it was a dry run, or there was nothing to change.
    std::optional<bool> isInForce; ///< When waited for.
    std::string laggards; ///< The daemons that did not have it when the wait ended.
};

/// Prints the report for a person, without the plan's differences. Thread-safe.
std::string printText(ChangeReport const&);

/// Prints the report as one line of JSON. Thread-safe.
std::string printJson(ChangeReport const&);

/// Prints a plan's edits as one line of JSON. Thread-safe.
std::string printJson(ChangePlan const&);

}
