#include <LibCore/MemoryBudget.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <thread>
#include <vector>

namespace {

using namespace std::chrono_literals;
using Core::MemoryBudget;
using ClaimPointer = std::unique_ptr<MemoryBudget::Claim>;

constexpr std::uint64_t limit = 4'000;
constexpr std::uint64_t small = 100;

class Budget : public testing::Test {
protected:
    static MemoryBudget::Settings settings()
    {
        MemoryBudget::Settings settings;
        settings.limitBytes = limit;
        settings.smallBytes = small;
        return settings;
    }

    ClaimPointer add(std::uint64_t bytes, bool& hasRoom)
    {
        ClaimPointer claim = m_budget->claim([this] { ++m_revoked; });
        hasRoom = claim->resize(bytes);
        return claim;
    }

    ClaimPointer addWithRoom(std::uint64_t bytes)
    {
        bool hasRoom = false;
        ClaimPointer claim = add(bytes, hasRoom);
        EXPECT_TRUE(hasRoom);
        return claim;
    }

    bool hasRoomFor(std::uint64_t bytes)
    {
        bool hasRoom = false;
        add(bytes, hasRoom);
        return hasRoom;
    }

    MemoryBudget::Time m_now { 1s };
    int m_revoked { 0 };
    std::shared_ptr<MemoryBudget> m_budget { MemoryBudget::create(settings(), [this] { return m_now; }) };
};

}

// Guards against large requests that take the memory of small ones.
TEST_F(Budget, LargeRequestsLeaveRoomForSmallOnes)
{
    ClaimPointer large = addWithRoom(3'000);
    EXPECT_FALSE(hasRoomFor(101));
    std::vector<ClaimPointer> others;
    for (int n = 0; n < 10; ++n)
        others.push_back(addWithRoom(small));
    EXPECT_FALSE(hasRoomFor(small));
    EXPECT_EQ(m_budget->usage().arrivingBytes, limit);
    EXPECT_EQ(m_budget->usage().refusals, 2U);
    large.reset();
    EXPECT_TRUE(hasRoomFor(2'000));
}

// Guards against requests that stop just short of their end and keep all others out.
TEST_F(Budget, TheSlowestArrivalMakesRoom)
{
    ClaimPointer stalled = addWithRoom(1'000);
    ClaimPointer fast = addWithRoom(1'000);
    stalled->noteArrived(10);
    fast->noteArrived(990);
    m_now += 999ms;
    ClaimPointer young = addWithRoom(1'000);
    EXPECT_FALSE(hasRoomFor(1'000));
    m_now += 1ms;
    ClaimPointer next = addWithRoom(1'000);
    EXPECT_TRUE(stalled->isRevoked());
    EXPECT_FALSE(fast->isRevoked());
    EXPECT_FALSE(young->isRevoked());
    EXPECT_EQ(m_revoked, 1);
    EXPECT_FALSE(stalled->complete());
    EXPECT_FALSE(stalled->resize(1));
    EXPECT_EQ(m_budget->usage().arrivingBytes, 3'000U);
    stalled.reset();
    EXPECT_EQ(m_budget->usage().arrivingBytes, 3'000U);
}

// Guards against requests that are refused although they run, or may.
TEST_F(Budget, WholeRequestsAreNeverRevoked)
{
    ClaimPointer whole = addWithRoom(3'000);
    EXPECT_TRUE(whole->complete());
    m_now += 1h;
    EXPECT_FALSE(hasRoomFor(1'000));
    EXPECT_FALSE(whole->isRevoked());
    EXPECT_EQ(m_budget->usage().wholeBytes, 3'000U);
}

// Guards against arrivals that are broken off for a request which is refused all the same.
TEST_F(Budget, NothingIsRevokedInVain)
{
    ClaimPointer whole = addWithRoom(2'500);
    EXPECT_TRUE(whole->complete());
    ClaimPointer slow = addWithRoom(400);
    m_now += 1h;
    EXPECT_FALSE(hasRoomFor(1'000));
    EXPECT_FALSE(slow->isRevoked());
}

// Guards against a limit of bodies that no request can be as large as, because the budget is smaller.
TEST_F(Budget, ARequestOfAnySizeIsServedAlone)
{
    EXPECT_TRUE(hasRoomFor(100 * limit));
    ClaimPointer other = addWithRoom(small);
    EXPECT_FALSE(hasRoomFor(100 * limit));
}

TEST_F(Budget, WithoutALimitAllFits)
{
    m_budget = MemoryBudget::create({}, [this] { return m_now; });
    ClaimPointer first = addWithRoom(UINT32_MAX);
    EXPECT_TRUE(hasRoomFor(UINT32_MAX));
}

// Whatever comes and goes: the sum stays within the limit but for a request that is alone, and nothing is left behind.
RC_GTEST_PROP(BudgetProperty, TheSumStaysWithinTheLimit, (std::vector<std::tuple<std::uint8_t, std::uint16_t, std::uint8_t>> const& steps))
{
    MemoryBudget::Settings settings;
    settings.limitBytes = limit;
    settings.smallBytes = small;
    MemoryBudget::Time now { 1s };
    std::shared_ptr<MemoryBudget> budget = MemoryBudget::create(settings, [&] { return now; });
    std::vector<ClaimPointer> claims;
    for (std::tuple<std::uint8_t, std::uint16_t, std::uint8_t> const& it : steps) {
        std::uint64_t bytes = std::get<1>(it) % (limit + 1);
        std::size_t at = claims.empty() ? 0 : std::get<2>(it) % claims.size();
        now += std::chrono::milliseconds(std::get<2>(it) * 10);
        if (claims.empty() || std::get<0>(it) % 4 == 0)
            claims.push_back(budget->claim([] { }));
        else if (std::get<0>(it) % 4 == 1)
            claims.erase(claims.begin() + static_cast<std::ptrdiff_t>(at));
        else if (std::get<0>(it) % 4 == 2)
            claims[at]->complete();
        else
            claims[at]->resize(bytes);
        MemoryBudget::Usage usage = budget->usage();
        RC_ASSERT(usage.arrivingBytes + usage.wholeBytes <= limit);
    }
    claims.clear();
    RC_ASSERT(budget->usage().arrivingBytes + budget->usage().wholeBytes == 0U);
}

// Claims of several threads at once, each with others' claims to revoke.
TEST(BudgetThreads, ClaimsOfSeveralThreadsLeaveNothingBehind)
{
    MemoryBudget::Settings settings;
    settings.limitBytes = limit;
    settings.arrivalTime = 0ms;
    std::shared_ptr<MemoryBudget> budget = MemoryBudget::create(settings);
    std::vector<std::thread> threads;
    for (int n = 0; n < 4; ++n) {
        threads.emplace_back([&] {
            for (int k = 0; k < 1'000; ++k) {
                ClaimPointer claim = budget->claim([] { });
                claim->resize(1'500);
                claim->noteArrived(100);
                claim->complete();
            }
        });
    }
    for (std::thread& it : threads)
        it.join();
    EXPECT_EQ(budget->usage().arrivingBytes + budget->usage().wholeBytes, 0U);
}
