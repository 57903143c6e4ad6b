#include <LibAdmission/Controller.h>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace {

using namespace std::chrono_literals;

/// One group of targets; requests go to the first target with room and finish in order.
struct Fleet {
    std::unique_ptr<Admission::Controller> controller;
    std::uint32_t targets { 0 };
    std::map<Admission::RequestId, Admission::TargetId> excluded;
    std::vector<Admission::RequestId> running;
    Admission::RequestId nextId { 1 };
    Admission::TimePoint now { 1s };

    Fleet(std::uint32_t targetCount, std::uint32_t limit, Admission::Controller::Limits limits = {})
        : targets(targetCount)
    {
        controller = Admission::Controller::create(limits, [this](Admission::RequestId id, Admission::GroupId) { return choose(id); }).value();
        for (std::uint32_t i = 0; i < targets; ++i)
            controller->setTarget(i, limit, { 0 });
    }

    std::optional<Admission::TargetId> choose(Admission::RequestId request)
    {
        auto it = excluded.find(request);
        for (Admission::TargetId id = 0; id < targets; ++id) {
            if (controller->hasRoom(id) && (it == excluded.end() || it->second != id))
                return id;
        }
        return std::nullopt;
    }

    Admission::Controller::Decision submit(std::string organisation, int priority = 5, std::uint64_t tokens = 100, std::chrono::milliseconds timeout = 1h)
    {
        Admission::Controller::Decision decision = controller->enter({ nextId++, std::move(organisation), 0, priority, tokens, now + timeout }, now);
        if (Admission::Grant* grant = std::get_if<Admission::Grant>(&decision))
            running.push_back(grant->id);
        return decision;
    }

    /// Ends the oldest running request and returns the requests that started as a result.
    std::vector<Admission::RequestId> endOne(std::chrono::milliseconds after = 100ms)
    {
        now += after;
        Admission::RequestId ended = running.front();
        running.erase(running.begin());
        std::vector<Admission::RequestId> started;
        for (Admission::Grant const& grant : controller->release(ended, now)) {
            started.push_back(grant.id);
            running.push_back(grant.id);
        }
        return started;
    }
};

bool isQueued(Admission::Controller::Decision const& it) { return std::holds_alternative<Admission::Controller::Queued>(it); }
bool isRefused(Admission::Controller::Decision const& it) { return std::holds_alternative<Admission::Refusal>(it); }

}

TEST(Admission, EnforcesTargetAndOrganisationLimits)
{
    Fleet fleet(2, 2, { .inFlightPerOrganisation = 3, .queuedPerOrganisation = 2, .queuedPerGroup = 100 });
    for (int i = 0; i < 3; ++i)
        EXPECT_TRUE(std::holds_alternative<Admission::Grant>(fleet.submit("a")));
    EXPECT_TRUE(isQueued(fleet.submit("a")));
    EXPECT_TRUE(std::holds_alternative<Admission::Grant>(fleet.submit("b"))) << "the limit of a does not apply to another organisation";
    EXPECT_TRUE(isQueued(fleet.submit("a")));
    EXPECT_TRUE(isRefused(fleet.submit("a")));
    EXPECT_EQ(fleet.controller->inFlightAt(0), 2U);
    EXPECT_EQ(fleet.controller->inFlightAt(1), 2U);
    EXPECT_EQ(fleet.endOne().size(), 1U);
}

TEST(Admission, FloodDoesNotStarveOthersAndIsEvictedFromAFullQueue)
{
    Fleet fleet(1, 1, { .inFlightPerOrganisation = 100, .queuedPerOrganisation = 100, .queuedPerGroup = 20 });
    for (int i = 0; i < 21; ++i)
        fleet.submit("flood");
    EXPECT_TRUE(isRefused(fleet.submit("flood")));
    EXPECT_TRUE(isQueued(fleet.submit("small")));
    Admission::RequestId small = fleet.nextId - 1;
    ASSERT_EQ(fleet.controller->takeRefusals().size(), 1U);
    std::vector<Admission::RequestId> first = fleet.endOne();
    std::vector<Admission::RequestId> second = fleet.endOne();
    EXPECT_TRUE(first.front() == small || second.front() == small);
}

TEST(Admission, ServesHigherPrioritiesFirstWithoutStarvingTheLowest)
{
    Fleet fleet(1, 1);
    fleet.submit("a");
    fleet.submit("a", 9);
    fleet.submit("a", 9);
    Admission::RequestId low = fleet.nextId - 1;
    int servedBefore = 0;
    for (bool isServed = false; !isServed && servedBefore < 400; ++servedBefore) {
        fleet.submit("a", 0);
        isServed = fleet.endOne().front() == low;
    }
    EXPECT_GT(servedBefore, 20);
    EXPECT_LT(servedBefore, 200) << "the lowest priority starves";
}

TEST(Admission, RefusesImmediatelyWithAnEstimateIfTheWaitExceedsTheDeadline)
{
    Fleet fleet(1, 1);
    for (int i = 0; i < 20; ++i)
        fleet.submit("a");
    for (int i = 0; i < 10; ++i)
        fleet.endOne(100ms);
    Admission::Controller::Decision decision = fleet.submit("a", 5, 100, 300ms);
    ASSERT_TRUE(isRefused(decision));
    EXPECT_EQ(std::get<Admission::Refusal>(decision).error.verdict, Core::Verdict::NotRun);
    EXPECT_NEAR(static_cast<double>(std::get<Admission::Refusal>(decision).retryAfter.count()), 900, 150);
    EXPECT_TRUE(isQueued(fleet.submit("a", 5, 100, 3s)));
}

TEST(Admission, ExpiresQueuedRequestsAtTheirDeadline)
{
    Fleet fleet(1, 1);
    fleet.submit("a");
    ASSERT_TRUE(isQueued(fleet.submit("b", 5, 100, 50ms)));
    ASSERT_EQ(fleet.controller->nextExpiry(), fleet.now + 50ms);
    EXPECT_TRUE(fleet.controller->expire(fleet.now + 49ms).empty());
    std::vector<Admission::Refusal> refusals = fleet.controller->expire(fleet.now + 50ms);
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals.front().error.code, Core::ErrorCode::Timeout);
    EXPECT_TRUE(fleet.endOne().empty());
}

TEST(Admission, TreatsAFullChosenTargetAsNone)
{
    std::unique_ptr<Admission::Controller> controller = Admission::Controller::create({}, [](Admission::RequestId, Admission::GroupId) { return std::optional<Admission::TargetId>(0); }).value();
    controller->setTarget(0, 1, { 0 });
    controller->setTarget(1, 1, { 0 });
    Admission::TimePoint now(1s);
    EXPECT_TRUE(std::holds_alternative<Admission::Grant>(controller->enter({ 1, "a", 0, 5, 1, now + 1h }, now)));
    EXPECT_TRUE(isQueued(controller->enter({ 2, "a", 0, 5, 1, now + 1h }, now)));
    EXPECT_EQ(controller->release(1, now), (std::vector<Admission::Grant> { { 2, 0 } }));
}

TEST(Admission, ClosedTargetGetsNoRequestsButKeepsItsInFlightCount)
{
    Fleet fleet(1, 2);
    fleet.submit("a");
    fleet.controller->setTarget(0, 0, { 0 });
    EXPECT_TRUE(isQueued(fleet.submit("a")));
    fleet.controller->removeTarget(0);
    EXPECT_EQ(fleet.controller->setTarget(0, 1, { 0 }).size(), 0U) << "the request in flight still occupies the slot";
    EXPECT_EQ(fleet.endOne().size(), 1U);
}

TEST(Admission, SlotThatTheFirstRequestCannotUseGoesToTheNext)
{
    Fleet fleet(1, 1);
    fleet.excluded[1] = 0;
    EXPECT_TRUE(isQueued(fleet.submit("a")));
    EXPECT_TRUE(std::holds_alternative<Admission::Grant>(fleet.submit("b")));
}

RC_GTEST_PROP(Admission, DecidesEveryRequestOnceAndLeavesNoState, ())
{
    Fleet fleet(3, 2, { .inFlightPerOrganisation = 3, .queuedPerOrganisation = 4, .queuedPerGroup = 8 });
    std::map<Admission::RequestId, int> decided;
    std::set<Admission::RequestId> waiting;
    auto granted = [&](Admission::RequestId id) {
        RC_ASSERT(waiting.erase(id) == 1);
        ++decided[id];
    };
    auto refused = [&](Admission::Refusal const& it) {
        RC_ASSERT(it.error.verdict == Core::Verdict::NotRun);
        granted(it.id);
    };
    auto collect = [&] {
        for (Admission::Grant const& it : fleet.controller->takeGrants()) {
            granted(it.id);
            fleet.running.push_back(it.id);
        }
        for (Admission::Refusal const& it : fleet.controller->takeRefusals())
            refused(it);
    };
    int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
        int kind = *rc::gen::inRange(0, 10);
        if (kind < 6) {
            std::string organisation(1, static_cast<char>('a' + *rc::gen::inRange(0, 5)));
            Admission::Controller::Decision decision = fleet.submit(organisation, *rc::gen::inRange(-1, 11), 100, std::chrono::milliseconds(*rc::gen::inRange(0, 3000)));
            waiting.insert(fleet.nextId - 1);
            if (std::holds_alternative<Admission::Grant>(decision))
                granted(fleet.nextId - 1);
            else if (isRefused(decision))
                refused(std::get<Admission::Refusal>(decision));
        } else if (kind < 9 && !fleet.running.empty()) {
            for (Admission::RequestId id : fleet.endOne())
                granted(id);
        } else {
            fleet.now += 200ms;
            for (Admission::Refusal const& it : fleet.controller->expire(fleet.now))
                refused(it);
        }
        collect();
        RC_ASSERT(fleet.controller->queued(0) == waiting.size());
        for (Admission::TargetId id = 0; id < 3; ++id)
            RC_ASSERT(fleet.controller->inFlightAt(id) <= 2U);
    }
    while (!fleet.running.empty()) {
        for (Admission::RequestId id : fleet.endOne())
            granted(id);
    }
    RC_ASSERT(waiting.empty());
    RC_ASSERT(fleet.controller->activeOrganisations() == 0U);
    for (std::pair<Admission::RequestId const, int> const& it : decided)
        RC_ASSERT(it.second == 1);
}
