// Uneven demand: how many targets a shared part of prompts is at home at, and which.

#include <LibRouting/PartHomes.h>
#include <LibRouting/PromptHomes.h>
#include <cmath>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

namespace {

using namespace Routing;
using namespace std::chrono_literals;
using Time = PartHomes::Time;

constexpr double promptSeconds = 0.1;

std::vector<HomeTarget> targetsOf(std::vector<double> const& speeds)
{
    std::vector<HomeTarget> targets;
    for (std::size_t n = 0; n < speeds.size(); ++n)
        targets.push_back({ 1000 + n, speeds[n] });
    return targets;
}

}

TEST(PartHomes, APartThatAThirdOfAllPromptsShareGetsAsManyHomesAsItKeepsBusyAndGivesThemUpAfterTheWave)
{
    // 70 daemons, 30 requests a second for the part and 60 for a thousand others, as one daemon hears of them.
    PartHomes homes;
    Time now { 100s };
    for (int tenth = 0; tenth < 200; ++tenth, now += 100ms) {
        homes.merge({ { 7, 3 } }, now);
        for (std::uint64_t n = 0; n < 6; ++n)
            homes.merge({ { 1'000 + (tenth * 6 + n) % 1'000, 1 } }, now);
    }
    // 30 a second of 0.1 s each are three targets' whole time.
    EXPECT_GE(homes.homesNeeded(7, promptSeconds, now), 5U);
    EXPECT_LE(homes.homesNeeded(7, promptSeconds, now), 7U);
    EXPECT_EQ(homes.homesNeeded(1'001, promptSeconds, now), 1U);
    EXPECT_EQ(homes.homesNeeded(7, promptSeconds, now + 30s), 1U);
}

TEST(PartHomes, WhatDaemonsTellIsWhatTheyHaveCountedTheMostAskedPartsFirst)
{
    PartHomes homes;
    Time now { 100s };
    for (int n = 0; n < 5; ++n)
        homes.note(3, now);
    homes.note(4, now);
    EXPECT_EQ(homes.takeUnreported(1), (std::vector<PartUse> { { 3, 5 } }));
    homes.note(4, now);
    homes.note(3, now);
    // What did not fit is told later, and nothing twice.
    EXPECT_EQ(homes.takeUnreported(1), (std::vector<PartUse> { { 4, 2 } }));
    EXPECT_EQ(homes.takeUnreported(1), (std::vector<PartUse> { { 3, 1 } }));
    EXPECT_TRUE(homes.takeUnreported(1).empty());
}

TEST(PartHomes, PartsThatAreNeverAskedForAgainTakeNoMemoryForGood)
{
    PartHomes homes;
    Time now { 100s };
    for (std::uint64_t part = 0; part < 100'000; ++part, now += 10ms)
        homes.merge({ { part, 1 } }, now);
    EXPECT_LE(homes.size(), 16U * 1024);
}

RC_GTEST_PROP(PartHomes, WithEqualSpeedsTheHomesAreThoseOfUnweightedHashing, (std::uint64_t part))
{
    std::vector<HomeTarget> targets = targetsOf(std::vector<double>(*rc::gen::inRange<std::size_t>(2, 40), 1.0));
    std::vector<std::uint64_t> keys;
    for (HomeTarget const& it : targets)
        keys.push_back(it.key);
    Homes unweighted = homesOf(part, keys);
    RC_ASSERT((weightedHomesOf(part, targets, 2) == std::vector<std::size_t> { unweighted.first, unweighted.second }));
}

TEST(PartHomes, EnginesOfThreeSpeedsAreHomeToPartsByTheirSpeed)
{
    std::vector<HomeTarget> targets = targetsOf({ 0.7, 0.7, 1.7, 0.7, 0.7, 1.7 });
    std::map<std::size_t, int> parts;
    constexpr int count = 20'000;
    for (std::uint64_t part = 0; part < count; ++part)
        ++parts[weightedHomesOf(part * 0x9e3779b97f4a7c15ULL, targets, 1).front()];
    for (std::size_t n = 0; n < targets.size(); ++n)
        EXPECT_NEAR(parts[n], count * targets[n].weight / 6.2, count * 0.015) << n;
}

TEST(PartHomes, AChangeOfSpeedOrTheLossOfAZonesTargetsMovesOnlyTheirParts)
{
    std::vector<HomeTarget> targets = targetsOf(std::vector<double>(30, 1.0));
    std::vector<HomeTarget> slower = targets;
    slower[4].weight = 0.7;
    std::vector<HomeTarget> rest(targets.begin() + 10, targets.end());
    int moved = 0;
    constexpr int count = 3'000;
    for (std::uint64_t part = 1; part <= count; ++part) {
        std::size_t before = weightedHomesOf(part * 77'777, targets, 1).front();
        std::size_t after = weightedHomesOf(part * 77'777, slower, 1).front();
        EXPECT_TRUE(before == after || before == 4);
        moved += before == after ? 0 : 1;
        EXPECT_TRUE(before < 10 || weightedHomesOf(part * 77'777, rest, 1).front() + 10 == before);
    }
    EXPECT_LT(moved, 0.4 * count / 30);
}

TEST(PartHomes, AMeasuredSpeedThatWaversChangesNoHome)
{
    HomeSpeeds speeds;
    std::set<double> seen;
    for (int n = 0; n < 100; ++n)
        seen.insert(speeds.speed(1, 1.0 + 0.15 * std::sin(n)));
    EXPECT_EQ(seen, std::set<double> { 1.0 });
    EXPECT_NEAR(speeds.speed(1, 0.5), 2, 1e-9);
    EXPECT_NEAR(speeds.speed(1, 0.58), 2, 1e-9);
}
