#include <LibDaemon/MemoryPlan.h>
#include <gtest/gtest.h>

namespace {

constexpr std::uint64_t megabyte = 1'000'000;
constexpr std::size_t connectionLimit = 20'000;
constexpr std::size_t receivedPerBuffer = 2; ///< The kernel takes twice the size that it is told.

}

// Guards against limits that are each within the memory of a VM and together are not.
TEST(MemoryPlan, PartsFitTheVmsOfTheSheets)
{
    for (Daemon::ProcessLimits const& vm : { Daemon::ProcessLimits { 120 * megabyte, 3'075 }, Daemon::ProcessLimits { 160 * megabyte, 4'100 }, Daemon::ProcessLimits { 260 * megabyte, 4'100 }, Daemon::ProcessLimits { 1'024 * megabyte, 16'384 } }) {
        Daemon::MemoryPlan plan = Daemon::MemoryPlan::of(vm, connectionLimit);
        std::uint64_t received = plan.callerConnections * plan.receiveBuffer * receivedPerBuffer;
        EXPECT_LE(plan.requestBytes + plan.answerBytes + received, vm.memoryBytes * 11 / 20) << vm.memoryBytes;
        EXPECT_LE(plan.callerConnections + plan.directoryConnections + 3 * plan.statusConnections, vm.descriptors * 9 / 10) << vm.descriptors;
        EXPECT_GE(plan.callerConnections, vm.descriptors * 7 / 10) << vm.descriptors;
    }
}

TEST(MemoryPlan, ReadsTheMachineWhereNothingIsSet)
{
    Daemon::ProcessLimits limits = Daemon::ProcessLimits::read(0);
    EXPECT_GT(limits.memoryBytes, 0U);
    EXPECT_GT(limits.descriptors, 0U);
    EXPECT_EQ(Daemon::ProcessLimits::read(64).memoryBytes, 64 * megabyte);
}

// Guards against a plan that needs a limit of descriptors.
TEST(MemoryPlan, HoldsWithoutALimitOfDescriptors)
{
    Daemon::MemoryPlan plan = Daemon::MemoryPlan::of({ 260 * megabyte, SIZE_MAX }, connectionLimit);
    EXPECT_EQ(plan.callerConnections, connectionLimit);
    EXPECT_GT(plan.receiveBuffer, 0U);
}
