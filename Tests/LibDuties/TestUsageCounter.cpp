#include <LibDuties/UsageCounter.h>
#include <gtest/gtest.h>

namespace {

using namespace std::chrono_literals;
using Duties::UsageCounter;

}

TEST(UsageCounter, WindowsAreOfTrueTime)
{
    UsageCounter counter(5s);
    counter.setOffset(1'000s);
    UsageCounter::BootTime start { 10s };
    counter.note("a", start + 4'999ms);
    counter.note("a", start + 5s);
    counter.note("b", start + 5s);
    std::map<Duties::WindowNumber, Duties::OrganisationCounts> windows = counter.take(0);
    EXPECT_EQ(windows, (std::map<Duties::WindowNumber, Duties::OrganisationCounts> { { 202, { { "a", 1 } } }, { 203, { { "a", 1 }, { "b", 1 } } } }));
    EXPECT_EQ(counter.take(203).size(), 1U);
    EXPECT_EQ(counter.take(0).size(), 1U);
    EXPECT_EQ(Duties::endOf(202, 5s), Duties::WallTime(1'015s));
}

TEST(UsageCounter, WithoutWindowsNothingIsCounted)
{
    UsageCounter counter(0s);
    counter.note("a", UsageCounter::BootTime(1s));
    EXPECT_TRUE(counter.take(0).empty());
}
