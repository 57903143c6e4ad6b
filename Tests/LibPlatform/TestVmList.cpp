#include <LibPlatform/VmList.h>
#include <gtest/gtest.h>

TEST(VmList, ReadsEnginesAndEntries)
{
    std::vector<Platform::Vm> vms = Platform::parseVms(R"({"vms":[
        {"name":"b","kind":"engine","state":"leaving","address":"127.0.0.1:9","availability_zone":"z","region":"r"},
        {"name":"a","kind":"entry","state":"live","address":"127.0.0.1:8","caller_address":"127.0.0.1:7"}]})")
                                        .value();
    ASSERT_EQ(vms.size(), 2U);
    EXPECT_EQ(vms[0].name, "a");
    EXPECT_EQ(vms[0].callerAddress.port(), 7);
    EXPECT_EQ(vms[1].state, Platform::VmState::Leaving);
    EXPECT_EQ(vms[1].pool, "b");
}

TEST(VmList, ErrorsNameVmAndField)
{
    for (std::string_view text : { R"({})", R"([])", R"({"vms":[1]})", R"({"vms":[{"kind":"engine"}]})" })
        EXPECT_TRUE(Platform::parseVms(text).has_error()) << text;
    std::string message = Platform::parseVms(R"({"vms":[{"name":"a","kind":"engine","state":"dead","address":"127.0.0.1:9"}]})").error().message;
    EXPECT_EQ(message, "VM \"a\", field \"state\": read \"dead\"");
}
