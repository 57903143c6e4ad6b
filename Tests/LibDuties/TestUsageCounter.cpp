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

// Guards against reports that leave out requests which engines ran and whose answers were lost, and against others that count what a
// target breaks off without running it.
TEST(UsageCounter, ALostAnswerCountsWhereTheTargetMostlyAnswers)
{
    UsageCounter counter(5s);
    UsageCounter::BootTime start { 10s };
    counter.note("a", start);
    counter.noteLost("a", 1, start + 1s);
    counter.noteLost("a", 1, start + 2s);
    counter.noteLost("b", 2, start + 2s);
    counter.noteLost("b", 3, start + 2s);
    counter.noteEnds(1, 2, 1, start + 1s);
    counter.noteEnds(1, 3, 1, start + 3s);
    counter.noteEnds(2, 1, 9, start + 3s);
    EXPECT_EQ(counter.take(0).at(2), (Duties::OrganisationCounts { { "a", 1 } })) << "not before the window is closed";
    counter.closeBefore(3);
    EXPECT_EQ(counter.take(0).at(2), (Duties::OrganisationCounts { { "a", 3 } }));
    counter.closeBefore(4);
    EXPECT_EQ(counter.take(0).at(2), (Duties::OrganisationCounts { { "a", 3 } })) << "once";
    counter.note("a", start + 4s);
    EXPECT_EQ(counter.take(0).at(2), (Duties::OrganisationCounts { { "a", 3 } })) << "closed";
}
