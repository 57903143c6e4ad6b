// Rules for the number of engines, on days with bursts and with zones whose engines are taken back.

#include <LibModel/EngineDay.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace {

using Model::EngineDay;
using Model::EngineDayFigures;

// By day and rule.
std::map<std::string, std::map<std::string, EngineDayFigures>> playAll()
{
    std::map<std::string, std::map<std::string, EngineDayFigures>> all;
    for (EngineDay const& day : Model::engineDays()) {
        for (Model::NamedSizeRule const& rule : Model::sizeRules())
            all[day.name][rule.name] = Model::play(day, Roles::FleetSizer({}, rule.create(day)), 1);
    }
    return all;
}

}

TEST(EngineDay, LateWorkGrowsAsEnginesGetFewer)
{
    EngineDay day;
    double before = 0;
    for (double engines : { 40.0, 20.0, 14.0, 11.0, 10.1 }) {
        double late = Model::lateShare(day, 10, engines);
        EXPECT_GT(late, before);
        EXPECT_LE(late, 1);
        before = late;
    }
}

TEST(EngineDay, TheSameSeedPlaysTheSameDay)
{
    EngineDay day = Model::engineDays().front();
    EngineDayFigures one = Model::play(day, Roles::FleetSizer(), 7);
    EngineDayFigures other = Model::play(day, Roles::FleetSizer(), 7);
    EXPECT_EQ(one.late, other.late);
    EXPECT_EQ(one.cost, other.cost);
    EXPECT_EQ(one.orders, other.orders);
}

// Guards against a fleet that saves engines and loses work for it, where a zone is taken back, and against orders that flap.
TEST(EngineDay, WhatIsLostAtOnceLeavesEnoughForTheDemand)
{
    for (std::pair<std::string const, std::map<std::string, EngineDayFigures>> const& day : playAll()) {
        EngineDayFigures const& kept = day.second.at("by price");
        EXPECT_LE(kept.lost, 0.02) << day.first;
        EXPECT_LE(kept.orders, 60U) << day.first;
    }
}
