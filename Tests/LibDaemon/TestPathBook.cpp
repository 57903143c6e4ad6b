#include <LibDaemon/PathBook.h>
#include <gtest/gtest.h>
#include <map>

namespace {

using namespace Daemon;

constexpr std::uint32_t targetCount = 9;

class PathBookTest : public testing::Test {
protected:
    PathBookTest()
    {
        FleetSnapshot fleet;
        for (std::uint32_t n = 1; n <= targetCount; ++n) {
            FleetTarget target;
            target.key = n;
            target.model = "llm";
            fleet.targets.push_back(std::move(target));
        }
        m_book.setFleet(fleet);
    }

    void note(std::uint32_t first, std::uint32_t last, Routing::PathEvidence evidence)
    {
        for (std::uint32_t n = first; n <= last; ++n)
            m_book.note(n, evidence);
    }

    static RelayPeer peer(std::string const& name, std::uint32_t reached, std::uint32_t failed)
    {
        RelayPeer peer;
        peer.name = name;
        peer.paths = { { "llm", reached, failed } };
        return peer;
    }

    PathBook m_book { 1 };
};

}

TEST_F(PathBookTest, ADaemonThatReachesItsTargetsRelaysNothing)
{
    m_book.setPeers({ peer("a", 9, 0) });
    note(1, 9, Routing::PathEvidence::Connected);
    EXPECT_FALSE(m_book.isImpaired());
    EXPECT_FALSE(m_book.beginRelay("llm", { {}, false }));
    EXPECT_FALSE(m_book.beginRelay("llm", { {}, true }));
}

// Guards against requests that wait at a daemon which reaches no target while its peers do.
TEST_F(PathBookTest, ADaemonThatIsCutOffSpreadsItsRequestsOverPeersThatAreNot)
{
    constexpr int requests = 300;
    constexpr int requestsEach = 100;
    constexpr int tolerance = 20;
    m_book.setPeers({ peer("a", 9, 0), peer("b", 0, 9), peer("c", 9, 0), peer("d", 0, 0) });
    note(1, 9, Routing::PathEvidence::Unreachable);
    EXPECT_TRUE(m_book.isImpaired());
    EXPECT_TRUE(m_book.isCutOff());
    std::map<std::string, int> relayed;
    for (int n = 0; n < requests; ++n) {
        std::optional<RelayPeer> chosen = m_book.beginRelay("llm", { {}, false });
        ASSERT_TRUE(chosen);
        ++relayed[chosen->name];
    }
    EXPECT_EQ(relayed.count("b"), 0U);
    for (std::string const name : { "a", "c", "d" })
        EXPECT_NEAR(relayed[name], requestsEach, tolerance) << name;
}

TEST_F(PathBookTest, ATargetThatIsReachedGoesOnServingItsPart)
{
    constexpr int requests = 900;
    constexpr int expected = 800;
    constexpr int tolerance = 45;
    m_book.setPeers({ peer("a", 9, 0) });
    note(1, 8, Routing::PathEvidence::Unreachable);
    note(9, 9, Routing::PathEvidence::Connected);
    int relayed = 0;
    for (int n = 0; n < requests; ++n) {
        std::optional<RelayPeer> chosen = m_book.beginRelay("llm", { {}, false });
        relayed += chosen ? 1 : 0;
        if (chosen)
            m_book.endRelay(chosen->name);
    }
    EXPECT_NEAR(relayed, expected, tolerance);
    EXPECT_TRUE(m_book.isClosed(1));
    EXPECT_FALSE(m_book.isClosed(9));
}

TEST_F(PathBookTest, ARequestWhoseConnectionFailedAsksAPeerAfterOneFailure)
{
    m_book.setPeers({ peer("a", 9, 0) });
    note(1, 1, Routing::PathEvidence::Unreachable);
    EXPECT_FALSE(m_book.beginRelay("llm", { {}, false }));
    EXPECT_TRUE(m_book.beginRelay("llm", { {}, true }));
}

TEST_F(PathBookTest, PeersThatWereTriedAreNotAskedAgain)
{
    m_book.setPeers({ peer("a", 9, 0), peer("b", 9, 0) });
    note(1, 9, Routing::PathEvidence::Unreachable);
    EXPECT_EQ(m_book.beginRelay("llm", { { "a" }, true })->name, "b");
    EXPECT_FALSE(m_book.beginRelay("llm", { { "a", "b" }, true }));
}

// Guards against memory without bound where a peer takes requests and answers none.
TEST_F(PathBookTest, APeerIsGivenABoundedNumberOfRequestsAtOnce)
{
    constexpr int asked = 1'000;
    m_book.setPeers({ peer("a", 9, 0) });
    note(1, 9, Routing::PathEvidence::Unreachable);
    int open = 0;
    for (int n = 0; n < asked; ++n)
        open += m_book.beginRelay("llm", { {}, false }) ? 1 : 0;
    EXPECT_LT(open, asked);
    m_book.endRelay("a");
    EXPECT_TRUE(m_book.beginRelay("llm", { {}, false }));
}

TEST_F(PathBookTest, WhereAllDaemonsAreCutOffNothingIsRelayed)
{
    m_book.setPeers({ peer("a", 0, 9), peer("b", 1, 8) });
    note(1, 9, Routing::PathEvidence::Unreachable);
    EXPECT_FALSE(m_book.beginRelay("llm", { {}, false }));
}
