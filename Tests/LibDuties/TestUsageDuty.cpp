#include <LibDuties/UsageDuty.h>
#include <gtest/gtest.h>

namespace {

using namespace std::chrono_literals;
using Duties::UsageDuty;
using Duties::WallTime;
using Duties::WindowNumber;

class UsageDutyTest : public testing::Test {
protected:
    static Duties::UsageDutySettings settings() { return { 5s, 10s, 300ms, 0.5 }; }

    template <typename Step>
    std::optional<Step> next(std::chrono::milliseconds afterEnd, bool isClosed = true) const
    {
        std::optional<Duties::UsageStep> step = m_duty.next(m_end + afterEnd, [isClosed](WindowNumber) { return isClosed; });
        Step const* wanted = step ? std::get_if<Step>(&*step) : nullptr;
        return wanted ? std::optional(*wanted) : std::nullopt;
    }

    static constexpr WindowNumber first = 200;
    WallTime m_end = Duties::endOf(first, 5s);
    UsageDuty m_duty { settings() };
};

}

TEST_F(UsageDutyTest, DecidesAWindowWhenAllHaveClosedItOrAfterTheCloseWait)
{
    m_duty.begin(m_end - 1s);
    EXPECT_FALSE(next<Duties::DecideReport>(299ms));
    EXPECT_TRUE(next<Duties::DecideReport>(300ms));
    EXPECT_FALSE(next<Duties::DecideReport>(4'999ms, false));
    EXPECT_TRUE(next<Duties::DecideReport>(5s, false));
    EXPECT_TRUE(next<Duties::GiveUpReport>(10s, false));
}

// Guards against a second, different report of a window.
TEST_F(UsageDutyTest, SendsADecidedReportUnchanged)
{
    m_duty.begin(m_end - 1s);
    m_duty.noteDecided({ first, { { "a", 5 } } });
    EXPECT_EQ(next<Duties::SendReport>(300ms)->report, (Duties::UsageReport { first, { { "a", 5 } } }));
    EXPECT_FALSE(next<Duties::DecideReport>(300ms));
    m_duty.noteSettled(first);
    EXPECT_EQ(m_duty.settledBefore(), first + 1);
    EXPECT_FALSE(next<Duties::SendReport>(300ms));
}

// Guards against windows that are never reported: a daemon that had just started told its peers that all windows before its start
// were settled, but during a store outage two were not.
TEST_F(UsageDutyTest, KnowsOfNoSettledWindowsAfterStarting)
{
    m_duty.begin(m_end - 1s);
    EXPECT_EQ(m_duty.settledBefore(), 0U);
    m_duty.noteSettled(first);
    EXPECT_EQ(m_duty.settledBefore(), first + 1);
}

TEST_F(UsageDutyTest, LearnsUnsettledAndSettledWindowsFromPeers)
{
    m_duty.begin(m_end - 1s);
    m_duty.noteUnsettled(first - 1);
    EXPECT_EQ(next<Duties::DecideReport>(300ms)->window, first - 1);
    m_duty.noteSettledBefore(first + 3);
    EXPECT_EQ(m_duty.settledBefore(), first + 3);
    m_duty.noteUnsettled(first);
    EXPECT_EQ(m_duty.settledBefore(), first + 3);
}
