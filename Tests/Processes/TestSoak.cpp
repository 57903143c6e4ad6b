// A short seeded run for each check of the code; `currantvale-soak` runs as many seeds as are asked for.

#include "Soak.h"

#include <gtest/gtest.h>
#include <iostream>

namespace {

using namespace Processes;

void expectPromisesKept(SoakSettings const& settings)
{
    SoakReport report = runSoak(settings);
    EXPECT_GT(report.served, 0U);
    // Without one the judgement of long streams would show nothing.
    EXPECT_TRUE(!settings.hasLongStreams || report.streamsAtStops > 0);
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
    SoakSettings settings;
    settings.isUneven = true;
    expectPromisesKept(settings);
}

TEST(Soak, PromisesAreKeptUnderFaults)
{
    expectPromisesKept({});
}

// Guards against streams that have begun and that a planned stop breaks off although its daemon has the time to end them.
TEST(Soak, StreamsAsLongAsOnTheSitesAreNotBrokenOffByPlannedStops)
{
    SoakSettings settings;
    settings.hasLongStreams = true;
    settings.hasOnlyPlannedFaults = true;
    settings.callers = 24;
    settings.duration = std::chrono::seconds(6);
    expectPromisesKept(settings);
}

// Guards against streams whose events are from two releases, within one answer or over what their callers resume.
TEST(Soak, StreamsStayAtTheirReleaseUnderFaults)
{
    SoakSettings settings;
    settings.hasTwoReleases = true;
    settings.callers = 12;
    expectPromisesKept(settings);
}
