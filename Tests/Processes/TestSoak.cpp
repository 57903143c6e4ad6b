// A short seeded run for each check of the code; `currantvale-soak` runs as many seeds as are asked for.

#include "Soak.h"

#include <gtest/gtest.h>
#include <iostream>

namespace {

using namespace Processes;

void expectPromisesKept(std::uint64_t seed, bool isUneven = false)
{
    SoakSettings settings;
    settings.seed = seed;
    settings.isUneven = isUneven;
    SoakReport report = runSoak(settings);
    EXPECT_GT(report.served, 0U);
    for (std::string const& violation : report.violations)
        ADD_FAILURE() << violation;
    if (!report.violations.empty()) {
        for (std::string const& fault : report.faults)
            ADD_FAILURE() << fault;
    }
    for (std::string const& it : report.unanswered)
        std::cout << "without a whole answer: " << it << "\n";
}

}

TEST(Soak, PromisesAreKeptAtUnevenTargetsWithFewerPlacesThanCallers)
{
    expectPromisesKept(1, true);
}

TEST(Soak, PromisesAreKeptUnderFaults)
{
    expectPromisesKept(1);
}
