#include <LibAuthority/EvidenceFinder.h>
#include <gtest/gtest.h>

namespace Authority {

namespace {

using std::chrono::seconds;

struct EvidenceFinderTest : testing::Test {
    Time start;
    EvidenceFinder finder { seconds(30) };
    std::vector<FormerHolder> unsettled { { { "entry-a", "10.0.0.1:1", "a2" }, 7 } };

    EvidenceFinderTest() { finder.observeUnsettled(unsettled, start + seconds(100)); }

    Time at(int second) const { return start + seconds(second); }
};

}

TEST_F(EvidenceFinderTest, AnotherIncarnationAtTheAddressIsEvidence)
{
    finder.observeAnswer("10.0.0.1:1", "a2", at(200));
    finder.observeAnswer("10.0.0.2:1", "b1", at(200));
    EXPECT_TRUE(finder.findings().empty()) << "the former holder itself, and a process at another address";
    finder.observeAnswer("10.0.0.1:1", "a1", at(99));
    EXPECT_TRUE(finder.findings().empty()) << "may be the previous process: the connection was opened before the claim was read";
    finder.observeAnswer("10.0.0.1:1", "a3", at(101));
    EXPECT_EQ(finder.findings(), (std::vector<Finding> { { 7, Evidence::Replaced } }));
}

TEST_F(EvidenceFinderTest, AVmMissingForLongerThanTheListLagsIsEvidence)
{
    finder.observeList({ "entry-b" }, at(50));
    finder.observeList({ "entry-b" }, at(110));
    finder.observeList({ "entry-b" }, at(140));
    EXPECT_TRUE(finder.findings().empty()) << "30 s don't exceed a lag of 30 s";
    finder.observeList({ "entry-a", "entry-b" }, at(141));
    finder.observeList({ "entry-b" }, at(142));
    EXPECT_TRUE(finder.findings().empty()) << "the VM was listed in between";
    finder.observeList({ "entry-b" }, at(173));
    EXPECT_EQ(finder.findings(), (std::vector<Finding> { { 7, Evidence::Gone } }));
}

TEST_F(EvidenceFinderTest, SettledFormerHoldersAreRemoved)
{
    finder.observeAnswer("10.0.0.1:1", "a3", at(101));
    unsettled.push_back({ { "entry-c", "10.0.0.3:1", "c1" }, 9 });
    finder.observeUnsettled(unsettled, at(102));
    EXPECT_EQ(finder.findings().size(), 1U);
    finder.observeUnsettled({ unsettled.back() }, at(103));
    EXPECT_TRUE(finder.findings().empty());
}

}
