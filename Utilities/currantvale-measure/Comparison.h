#pragma once

#include "Trial.h"
#include <LibModel/Scenario.h>
#include <string>
#include <vector>

namespace Measure {

/// What is compared and how often it is repeated.
struct ComparisonSettings {
    std::vector<Model::Scenario> scenarios;
    std::vector<Routing::Policy> routing; ///< Each with the planner's roles.
    std::vector<std::string> roles; ///< Names of `roleChoices()`, each with the default routing.
    std::uint64_t firstSeed { 1 };
    std::uint64_t seeds { 1 };
    unsigned threads { 4 };
    Trial trial;
};

/// One line of the table: the mean over the seeds.
struct Row {
    std::string scenario;
    std::string routing;
    std::string roles;
    double goodput { 0 }; ///< Requests a second, in full and in time.
    double goodputDeviation { 0 }; ///< Between seeds.
    double goodShare { 0 };
    double lateShare { 0 };
    double slowShare { 0 };
    double shedShare { 0 };
    double lostShare { 0 };
    double roleChanges { 0 };
    double oracleShare { 0 }; ///< Of the oracle's goodput; 0 where no oracle ran.
    double value { 0 }; ///< Goodput less what the operator charges for changes.
    double urgentShare { 0 }; ///< Good share of priority 1,
    double deferrableShare { 0 }; ///< and of priority 8.
    double otherShare { 0 }; ///< Good share of all organisations but the flooding one.
    double retryShare { 0 }; ///< Retries by requests offered.
    double cachedShare { 0 };
    double notesPerSecond { 0 };
    std::string detail; ///< What a best-of choice settled on.
    Model::Figures figures; ///< Of the first seed, for the plot.
};

/// The choices of roles that can be compared: fixed-0 to fixed-8 (that many prefill engines, the others
/// mixed), best-fixed, threshold, planner, oracle.
std::vector<std::string> roleChoices();

/// Runs everything. The same settings give the same rows, whatever the number of threads.
std::vector<Row> compare(ComparisonSettings const&);

}
