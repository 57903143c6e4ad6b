#include <LibOperator/EngineHistory.h>
#include <gtest/gtest.h>
#include <sstream>

TEST(EngineHistory, CountsWhatWasWantedOrderedAndWorkedSecondBySecond)
{
    std::istringstream log(
        "2026-12-03 23:59:58,000 INFO event=7005 name=engines-wanted pool=llm demand=2.500000 known=yes wanted=6 lasting=1 strained=3 why=\"-\"\n"
        "2026-12-03 23:59:58,100 INFO event=7005 name=engines-wanted pool=other demand=9 known=yes wanted=9 lasting=9 strained=9 why=\"-\"\n"
        "no event\n"
        "2026-12-03 23:59:59,000 INFO event=7006 name=engines-ordered pool=llm availability_zone=a kind=lasting count=4 fencing=1 answer=accepted error=-\n"
        "2026-12-03 23:59:59,100 INFO event=7006 name=engines-ordered pool=llm availability_zone=b kind=reclaimable count=2 fencing=1 answer=accepted error=-\n"
        "2026-12-03 23:59:59,200 INFO event=7006 name=engines-ordered pool=llm availability_zone=b kind=reclaimable count=3 fencing=1 answer=refused error=-\n"
        "2026-12-04 00:00:01,000 INFO event=6001 name=target-added target=e1 address=10.0.0.1:1 availability_zone=a leaving=no role=prefill\n"
        "2026-12-04 00:00:01,100 INFO event=6001 name=target-added target=e2 address=10.0.0.2:1 availability_zone=a leaving=no role=-\n"
        "2026-12-04 00:00:02,000 INFO event=6002 name=target-removed target=e1\n");
    Operator::EngineHistory history("llm");
    history.read(log);
    std::vector<Operator::EngineHistory::Point> const& points = history.points();
    ASSERT_EQ(points.size(), 5U);
    EXPECT_EQ(points[0].wanted, 6);
    EXPECT_EQ(points[0].demand, 2.5);
    EXPECT_EQ(points[1].ordered, 6);
    EXPECT_EQ(points[2].ordered, 6) << "nothing was said in that second";
    EXPECT_EQ(points[3].working, 1);
    EXPECT_EQ(points[4].working, 0);
}
