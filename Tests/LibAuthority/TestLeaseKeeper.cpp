#include <LibAuthority/LeaseFold.h>
#include <LibAuthority/LeaseKeeper.h>
#include <gtest/gtest.h>
#include <type_traits>

namespace Authority {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The steady clock stops while a VM is suspended: its daemon would resume with a lease that another daemon holds by then.
static_assert(std::is_same_v<Time, Core::BootClock::time_point>);

/// A keeper with its fold of the log.
struct Daemon {
    LeaseKeeper keeper;
    LeaseFold fold;

    explicit Daemon(std::string const& name)
        : keeper(LeaseSettings(), "p", { name, name + ":1", name + "1" }, std::hash<std::string>()(name))
    {
        keeper.setCandidate(true, 0);
        keeper.observe(nullptr, Time());
    }

    void read(std::vector<std::string> const& log, Time now)
    {
        while (fold.nextOffset() < log.size()) {
            ASSERT_TRUE(fold.apply(fold.nextOffset(), log[fold.nextOffset()]));
            keeper.observe(fold.find("p"), now);
        }
    }
};

struct LeaseKeeperTest : testing::Test {
    Time start;
    std::vector<std::string> log;
    Daemon a { "a" };
    Daemon b { "b" };

    /// Daemon `a` claims the lease at the start and reads the claim back two seconds later.
    void claim()
    {
        log.push_back(encode(a.keeper.poll(start, false).value()));
        a.read(log, start + seconds(2));
        b.read(log, start + seconds(2));
    }
};

}

TEST_F(LeaseKeeperTest, TheHoldersTermStartsBeforeItsAppend)
{
    EXPECT_FALSE(a.keeper.mayOrder(start));
    claim();
    EXPECT_EQ(a.keeper.fencing(), 0U);
    EXPECT_EQ(a.keeper.phase(start + seconds(2)), KeeperPhase::Holding);
    EXPECT_TRUE(a.keeper.mayOrder(start + milliseconds(14'499)));
    EXPECT_FALSE(a.keeper.mayOrder(start + milliseconds(14'500))) << "15 s less the margin, from the start of the append";
    EXPECT_EQ(a.keeper.phase(start + seconds(15)), KeeperPhase::Lapsed);
}

TEST_F(LeaseKeeperTest, ASuccessorWaitsFromItsLastRead)
{
    claim();
    EXPECT_FALSE(b.keeper.poll(start + milliseconds(17'499), false));
    std::optional<LeaseRecord> record = b.keeper.poll(start + milliseconds(17'500), false);
    ASSERT_TRUE(record && std::holds_alternative<Claim>(*record));
    EXPECT_EQ(std::get<Claim>(*record).previous, 0U);
    b.keeper.setCandidate(true, 4);
    EXPECT_FALSE(b.keeper.poll(start + milliseconds(21'499), false)) << "a higher rank waits longer";
}

TEST_F(LeaseKeeperTest, RenewalsCountOnlyWhenReadBack)
{
    claim();
    std::string first = encode(a.keeper.poll(start + seconds(5), false).value());
    EXPECT_FALSE(a.keeper.mayOrder(start + seconds(15))) << "the renewal was not read back";
    std::string second = encode(a.keeper.poll(start + seconds(10), false).value());
    log.push_back(first);
    a.read(log, start + seconds(11));
    EXPECT_TRUE(a.keeper.mayOrder(start + milliseconds(19'499)));
    EXPECT_FALSE(a.keeper.mayOrder(start + milliseconds(19'500))) << "the first append extends the term from its own start time";
    log.push_back(second);
    log.push_back(first);
    a.read(log, start + seconds(12));
    EXPECT_TRUE(a.keeper.mayOrder(start + milliseconds(24'499)));
    EXPECT_FALSE(a.keeper.mayOrder(start + milliseconds(24'500))) << "a duplicate doesn't extend the term";
}

TEST_F(LeaseKeeperTest, ALogOutageEndsOnlyTheRightToOrder)
{
    claim();
    for (int second = 5; second < 100; ++second)
        a.keeper.poll(start + seconds(second), false);
    EXPECT_EQ(a.keeper.phase(start + seconds(100)), KeeperPhase::Lapsed);
    log.push_back(encode(a.keeper.poll(start + seconds(102), false).value()));
    a.read(log, start + seconds(103));
    EXPECT_EQ(a.keeper.phase(start + seconds(103)), KeeperPhase::Holding);
    EXPECT_EQ(a.keeper.fencing(), 0U);
}

TEST_F(LeaseKeeperTest, TheSupersededAcknowledgesWhenItsOrdersAreAnswered)
{
    claim();
    log.push_back(encode(b.keeper.poll(start + seconds(20), false).value()));
    b.read(log, start + seconds(20));
    EXPECT_TRUE(b.keeper.mayOrder(start + seconds(20)));
    EXPECT_FALSE(a.keeper.mayOrder(start + seconds(20)));
    a.read(log, start + seconds(30));
    EXPECT_EQ(a.keeper.phase(start + seconds(30)), KeeperPhase::Superseded);
    EXPECT_EQ(a.keeper.fencing(), std::nullopt);
    EXPECT_FALSE(a.keeper.poll(start + seconds(30), true)) << "an order may still reach its engine";
    std::optional<LeaseRecord> record = a.keeper.poll(start + seconds(31), false);
    ASSERT_EQ(record, LeaseRecord(Acknowledgement { "p", 0 }));
    EXPECT_FALSE(a.keeper.poll(start + seconds(32), false));
    EXPECT_TRUE(a.keeper.poll(start + seconds(33), false)) << "it is repeated until it is read back";
    log.push_back(encode(*record));
    a.read(log, start + seconds(34));
    EXPECT_FALSE(a.keeper.poll(start + seconds(36), false));
    EXPECT_EQ(a.keeper.phase(start + seconds(36)), KeeperPhase::Follower);
}

TEST_F(LeaseKeeperTest, AReleaseEndsOrdersFirstAndFreesTheLease)
{
    claim();
    a.keeper.release();
    EXPECT_FALSE(a.keeper.mayOrder(start + seconds(3)));
    EXPECT_FALSE(a.keeper.poll(start + seconds(3), true));
    std::optional<LeaseRecord> record = a.keeper.poll(start + seconds(3), false);
    ASSERT_EQ(record, LeaseRecord(Release { "p", 0 }));
    log.push_back(encode(*record));
    a.read(log, start + seconds(4));
    b.read(log, start + seconds(4));
    EXPECT_EQ(a.keeper.phase(start + seconds(4)), KeeperPhase::Follower);
    EXPECT_FALSE(a.keeper.poll(start + seconds(60), false)) << "it does not claim again";
    EXPECT_TRUE(b.keeper.poll(start + seconds(4), false)) << "no wait after a release";
}

TEST_F(LeaseKeeperTest, ADelayedClaimIsTheHoldersOwnAndHasLapsed)
{
    std::string late = encode(a.keeper.poll(start, false).value());
    log.push_back(late);
    a.read(log, start + seconds(60));
    EXPECT_EQ(a.keeper.fencing(), 0U);
    EXPECT_FALSE(a.keeper.mayOrder(start + seconds(60)));
    EXPECT_EQ(a.keeper.phase(start + seconds(60)), KeeperPhase::Lapsed);
}

}
