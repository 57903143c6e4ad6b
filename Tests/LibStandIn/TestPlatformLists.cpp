#include <LibStandIn/ServiceCore.h>
#include <LibStandIn/VmList.h>
#include <LibStandIn/WeightStore.h>
#include <boost/json/array.hpp>
#include <gtest/gtest.h>

namespace {

using std::chrono::milliseconds;
using Time = StandIn::VmList::Time;

constexpr std::string_view oneVm = R"({"vms":[{"name":"a","address":"127.0.0.1:1","kind":"engine","availability_zone":"z","state":"live"}]})";

std::string stateShown(StandIn::VmList& list, Time now)
{
    boost::json::array const& vms = list.shownAt(now).at("vms").get_array();
    return vms.empty() ? "none" : std::string(vms[0].at("state").get_string());
}

}

TEST(VmList, ChangesShowAfterTheLag)
{
    Time start { milliseconds(1000) };
    StandIn::VmList list(milliseconds(500));
    ASSERT_TRUE(list.replace(oneVm, start));
    EXPECT_EQ(stateShown(list, start), "live");
    ASSERT_TRUE(list.setState("a", "leaving", start));
    ASSERT_TRUE(list.setState("a", "gone", start + milliseconds(100)));
    EXPECT_EQ(stateShown(list, start + milliseconds(499)), "live");
    EXPECT_EQ(stateShown(list, start + milliseconds(500)), "leaving");
    EXPECT_EQ(stateShown(list, start + milliseconds(600)), "none");
}

TEST(VmList, BadDocumentsAndStatesAreRefused)
{
    Time start;
    StandIn::VmList list(milliseconds(0));
    ASSERT_TRUE(list.replace(oneVm, start));
    for (std::string_view it : { "", "[]", R"({"vms":[1]})", R"({"vms":[{"name":"a"}]})",
             R"({"vms":[{"name":"a","address":"x","kind":"other","availability_zone":"z","state":"live"}]})" })
        EXPECT_EQ(list.replace(it, start).error().code, Core::ErrorCode::BadInput) << it;
    EXPECT_EQ(list.setState("a", "odd", start).error().code, Core::ErrorCode::BadInput);
    EXPECT_EQ(list.setState("b", "live", start).error().code, Core::ErrorCode::NotFound);
    EXPECT_EQ(stateShown(list, start), "live");
}

TEST(WeightStore, GrantsNoMoreThanItsRateInAnyMinute)
{
    Time start;
    StandIn::WeightStore store(2);
    EXPECT_FALSE(store.request(start));
    EXPECT_FALSE(store.request(start + milliseconds(10000)));
    EXPECT_EQ(store.request(start + milliseconds(20000)), milliseconds(40000));
    EXPECT_FALSE(store.request(start + milliseconds(60000)));
    EXPECT_EQ(store.request(start + milliseconds(60000)), milliseconds(10000));
    EXPECT_EQ(store.granted(), 3U);
    EXPECT_EQ(store.refused(), 2U);
}

TEST(ServiceCore, CountsRunsByKeyAndRequestId)
{
    StandIn::ServiceCore service;
    EXPECT_EQ(service.run("k", "1"), 1U);
    EXPECT_EQ(service.run("k", "2"), 2U);
    EXPECT_EQ(service.run("", "1"), 2U);
    EXPECT_EQ(service.run("", ""), 0U);
    EXPECT_EQ(service.total(), 4U);
    EXPECT_EQ(service.runsByKey().at("k"), 2U);
}
