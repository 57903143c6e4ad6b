#include <LibDuties/UsageCounter.h>
#include <gtest/gtest.h>

namespace {

using namespace std::chrono_literals;
using Duties::UsageCounter;

}

TEST(UsageCounter, CountsByWindowsOfFleetTime)
{
    UsageCounter counter(5s);
    counter.setOffset(1'000s);
    UsageCounter::BootTime start { 10s };
    counter.countRequest("a", start + 4'999ms);
    counter.countRequest("a", start + 5s);
    counter.countRequest("b", start + 5s);
    std::map<Duties::WindowNumber, Duties::OrganisationCounts> windows = counter.takeFrom(0);
    EXPECT_EQ(windows, (std::map<Duties::WindowNumber, Duties::OrganisationCounts> { { 202, { { "a", 1 } } }, { 203, { { "a", 1 }, { "b", 1 } } } }));
    EXPECT_EQ(counter.takeFrom(203).size(), 1U);
    EXPECT_EQ(counter.takeFrom(0).size(), 1U);
    EXPECT_EQ(Duties::endOf(202, 5s), Duties::WallTime(1'015s));
}

TEST(UsageCounter, CountsNothingWithoutAWindowLength)
{
    UsageCounter counter(0s);
    counter.countRequest("a", UsageCounter::BootTime(1s));
    EXPECT_TRUE(counter.takeFrom(0).empty());
}

// Guards against reports that omit requests which ran but whose answers were lost, and against reports that count requests whose
// connections the target broke without running them.
TEST(UsageCounter, CountsALostAnswerIfTheTargetMostlyAnswers)
{
    UsageCounter counter(5s);
    UsageCounter::BootTime start { 10s };
    counter.countRequest("a", start);
    counter.noteLostAnswer("a", 1, start + 1s);
    counter.noteLostAnswer("a", 1, start + 2s);
    counter.noteLostAnswer("b", 2, start + 2s);
    counter.noteLostAnswer("b", 3, start + 2s);
    counter.noteOutcomes(1, 2, 1, start + 1s);
    counter.noteOutcomes(1, 3, 1, start + 3s);
    counter.noteOutcomes(2, 1, 9, start + 3s);
    EXPECT_EQ(counter.takeFrom(0).at(2), (Duties::OrganisationCounts { { "a", 1 } })) << "lost answers count only after the window is closed";
    counter.closeBefore(3);
    EXPECT_EQ(counter.takeFrom(0).at(2), (Duties::OrganisationCounts { { "a", 3 } }));
    counter.closeBefore(4);
    EXPECT_EQ(counter.takeFrom(0).at(2), (Duties::OrganisationCounts { { "a", 3 } })) << "once";
    counter.countRequest("a", start + 4s);
    EXPECT_EQ(counter.takeFrom(0).at(2), (Duties::OrganisationCounts { { "a", 3 } })) << "closed";
}
