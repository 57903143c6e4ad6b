#include <LibCore/EventQuota.h>
#include <gtest/gtest.h>

namespace {

using namespace std::chrono_literals;
using Core::Event;
using Core::EventQuota;

constexpr EventQuota::Time start { 100s };

}

TEST(EventQuota, ASecondHasSoManyLinesOfAKind)
{
    EventQuota quota(3);
    for (int n = 0; n < 3; ++n)
        EXPECT_TRUE(quota.admit(Event::RouteDecided, start).isAdmitted);
    EXPECT_FALSE(quota.admit(Event::RouteDecided, start + 999ms).isAdmitted);
    // Another kind has a quota of its own.
    EXPECT_TRUE(quota.admit(Event::RequestFinished, start).isAdmitted);
}

TEST(EventQuota, WhatWasLeftOutIsToldOnce)
{
    EventQuota quota(1);
    for (int n = 0; n < 6; ++n)
        quota.admit(Event::RouteDecided, start);
    EventQuota::Admission next = quota.admit(Event::RouteDecided, start + 1s);
    EXPECT_TRUE(next.isAdmitted);
    EXPECT_EQ(next.leftOut, 5U);
    EXPECT_EQ(quota.admit(Event::RouteDecided, start + 2s).leftOut, 0U);
    quota.admit(Event::RouteDecided, start + 2s);
    EXPECT_EQ(quota.takeLeftOut(Event::RouteDecided), 1U);
    EXPECT_EQ(quota.takeLeftOut(Event::RouteDecided), 0U);
}
