#include <LibDaemon/Dispatcher.h>
#include <LibState/Fold.h>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <set>

namespace {

std::shared_ptr<Daemon::FleetSnapshot> fleetOf(std::size_t count, std::string const& closeReason = {})
{
    std::shared_ptr<Daemon::FleetSnapshot> fleet = std::make_shared<Daemon::FleetSnapshot>();
    std::vector<State::PlatformTarget> targets;
    for (std::uint32_t n = 0; n < count; ++n) {
        Daemon::FleetTarget target;
        target.id = n;
        target.key = n + 1;
        target.name = "e-" + std::to_string(n);
        target.model = "m";
        target.closeReason = closeReason;
        targets.push_back({ target.name, {} });
        fleet->targets.push_back(std::move(target));
    }
    fleet->view = State::TargetView::create(State::Config::create(State::Fold().state()), targets);
    return fleet;
}

class DispatcherTest : public testing::Test {
protected:
    DispatcherTest()
    {
        m_settings.limits.inFlightPerTarget = 1;
        m_dispatcher = Daemon::Dispatcher::create(m_settings, 1).value();
    }

    Daemon::PlacementRequest requestFor(Daemon::FleetPointer fleet, std::vector<std::uint32_t> allowed)
    {
        Daemon::PlacementRequest request;
        request.organisation = "workshop";
        request.work = "m";
        request.fleet = std::move(fleet);
        request.allowed = std::move(allowed);
        request.latestStart = std::chrono::steady_clock::now() + std::chrono::hours(1);
        return request;
    }

    // Starts a placement and stores its outcome when it completes.
    std::uint64_t place(Daemon::PlacementRequest request, std::optional<Daemon::PlacementOutcome>& outcome)
    {
        std::uint64_t id = m_dispatcher->nextId();
        boost::asio::co_spawn(
            m_context, [this, request = std::move(request), &outcome, id]() -> boost::asio::awaitable<void> {
                outcome = co_await m_dispatcher->place(request, m_context.get_executor(), id);
            },
            boost::asio::detached);
        runReady();
        return id;
    }

    void runReady()
    {
        m_context.restart();
        m_context.poll();
    }

    boost::asio::io_context m_context;
    Settings::DaemonSettings m_settings;
    std::unique_ptr<Daemon::Dispatcher> m_dispatcher;
};

}

TEST_F(DispatcherTest, WaitsForCapacityAndIsPlacedOnRelease)
{
    Daemon::FleetPointer fleet = fleetOf(1);
    m_dispatcher->setFleet(fleet);
    std::optional<Daemon::PlacementOutcome> first;
    std::optional<Daemon::PlacementOutcome> second;
    std::uint64_t id = place(requestFor(fleet, { 0 }), first);
    place(requestFor(fleet, { 0 }), second);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->position, 0U);
    EXPECT_FALSE(second);
    m_dispatcher->release(id);
    runReady();
    ASSERT_TRUE(second);
    EXPECT_EQ(second->position, 0U);
}

// Guards against a retry that excludes its only target after a lost response: it could never be placed, and blocked all
// later requests of its organisation until its deadline. Seen under load with one engine.
TEST_F(DispatcherTest, RetryMayReuseATargetIfAllWereTried)
{
    Daemon::FleetPointer fleet = fleetOf(1);
    m_dispatcher->setFleet(fleet);
    Daemon::PlacementRequest retry = requestFor(fleet, { 0 });
    retry.excluded = { "e-0" };
    std::optional<Daemon::PlacementOutcome> outcome;
    place(std::move(retry), outcome);
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->position, 0U);
}

TEST_F(DispatcherTest, WaitingRequestDoesNotBlockRequestsForOtherTargets)
{
    Daemon::FleetPointer fleet = fleetOf(2);
    m_dispatcher->setFleet(fleet);
    std::optional<Daemon::PlacementOutcome> running;
    std::optional<Daemon::PlacementOutcome> waiting;
    std::optional<Daemon::PlacementOutcome> elsewhere;
    place(requestFor(fleet, { 0 }), running);
    place(requestFor(fleet, { 0 }), waiting);
    place(requestFor(fleet, { 1 }), elsewhere);
    EXPECT_FALSE(waiting);
    ASSERT_TRUE(elsewhere);
    EXPECT_EQ(elsewhere->position, 1U);
}

// Guards against requests that arrive while all engines are closed and are never placed. Seen in a rolling upgrade.
TEST_F(DispatcherTest, RequestThatArrivesWhileAllAreClosedIsPlacedOnceOneOpens)
{
    Daemon::FleetPointer closed = fleetOf(1, "closed for a change");
    m_dispatcher->setFleet(closed);
    std::optional<Daemon::PlacementOutcome> outcome;
    place(requestFor(closed, { 0 }), outcome);
    EXPECT_FALSE(outcome);
    m_dispatcher->setFleet(fleetOf(1));
    runReady();
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->position, 0U);
}

TEST_F(DispatcherTest, ReleaseOfAWaitingRequestEndsItsWaitAsNotRun)
{
    Daemon::FleetPointer fleet = fleetOf(1);
    m_dispatcher->setFleet(fleet);
    std::optional<Daemon::PlacementOutcome> running;
    std::optional<Daemon::PlacementOutcome> waiting;
    place(requestFor(fleet, { 0 }), running);
    std::uint64_t id = place(requestFor(fleet, { 0 }), waiting);
    m_dispatcher->release(id);
    runReady();
    ASSERT_TRUE(waiting);
    EXPECT_FALSE(waiting->position);
    EXPECT_EQ(waiting->error.verdict, Core::Verdict::NotRun);
}

// A retry whose decode targets were all tried may use one of them again, even if untried prefill targets are left.
TEST_F(DispatcherTest, ExclusionsAreClearedIfNoTargetOfAFittingRoleIsLeft)
{
    std::shared_ptr<Daemon::FleetSnapshot> fleet = fleetOf(2);
    fleet->targets[0].role = Routing::TargetRole::Prefill;
    fleet->targets[1].role = Routing::TargetRole::Decode;
    m_dispatcher->setFleet(fleet);
    Daemon::PlacementRequest request = requestFor(fleet, { 0, 1 });
    request.shape.phase = Routing::Phase::Decode;
    request.excluded = { "e-1" };
    std::optional<Daemon::PlacementOutcome> outcome;
    place(request, outcome);
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->position, 1U);
}

// Guards against computing prompts after the last decode target was lost: that wasted a fifth of a day's prefill work.
TEST_F(DispatcherTest, PromptIsNotComputedWhileNoTargetCanDecodeIt)
{
    m_settings.routing.policy = Routing::Policy::PromptHome;
    m_dispatcher = Daemon::Dispatcher::create(m_settings, 1).value();
    std::shared_ptr<Daemon::FleetSnapshot> fleet = fleetOf(2);
    fleet->targets[0].role = Routing::TargetRole::Prefill;
    fleet->targets[1].role = Routing::TargetRole::Prefill;
    m_dispatcher->setFleet(fleet);
    std::optional<Daemon::PlacementOutcome> outcome;
    Daemon::PlacementRequest request = requestFor(fleet, { 0, 1 });
    request.shape.phase = Routing::Phase::WholeOrPrefill;
    place(request, outcome);
    EXPECT_FALSE(outcome);
    // One of them changes its role to decode.
    std::shared_ptr<Daemon::FleetSnapshot> later = fleetOf(2);
    later->targets[0].role = Routing::TargetRole::Prefill;
    later->targets[1].role = Routing::TargetRole::Decode;
    m_dispatcher->setFleet(later);
    runReady();
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->position, 0U);
}

TEST_F(DispatcherTest, RefusalReportsThatNoTargetCanDecode)
{
    m_settings.routing.policy = Routing::Policy::PromptHome;
    m_dispatcher = Daemon::Dispatcher::create(m_settings, 1).value();
    std::shared_ptr<Daemon::FleetSnapshot> fleet = fleetOf(1);
    fleet->targets[0].role = Routing::TargetRole::Prefill;
    m_dispatcher->setFleet(fleet);
    std::optional<Daemon::PlacementOutcome> outcome;
    Daemon::PlacementRequest request = requestFor(fleet, { 0 });
    request.shape.phase = Routing::Phase::WholeOrPrefill;
    request.latestStart = std::chrono::steady_clock::now() + std::chrono::milliseconds(50);
    place(request, outcome);
    m_context.restart();
    m_context.run_for(std::chrono::seconds(10));
    ASSERT_TRUE(outcome);
    EXPECT_FALSE(outcome->position);
    EXPECT_EQ(outcome->decision.reason, Routing::Reason::NoOutputTarget);
    EXPECT_EQ(outcome->error.verdict, Core::Verdict::NotRun);
}

// A stream that was broken off at all decode targets is retried at one of them.
TEST_F(DispatcherTest, ExcludedDecodeTargetMayStillGenerateTheOutput)
{
    m_settings.routing.policy = Routing::Policy::PromptHome;
    m_dispatcher = Daemon::Dispatcher::create(m_settings, 1).value();
    std::shared_ptr<Daemon::FleetSnapshot> fleet = fleetOf(2);
    fleet->targets[0].role = Routing::TargetRole::Prefill;
    fleet->targets[1].role = Routing::TargetRole::Decode;
    m_dispatcher->setFleet(fleet);
    std::optional<Daemon::PlacementOutcome> outcome;
    Daemon::PlacementRequest request = requestFor(fleet, { 0, 1 });
    request.shape.phase = Routing::Phase::WholeOrPrefill;
    request.excluded = { "e-1" };
    place(request, outcome);
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->position, 0U);
}

// Guards against requests that wait although all targets are paused beyond their latest start.
TEST_F(DispatcherTest, RefusesAtOnceIfAllTargetsArePausedTooLong)
{
    Daemon::FleetPointer fleet = fleetOf(2);
    m_dispatcher->setFleet(fleet);
    m_dispatcher->noteNotice(1, { false, std::chrono::seconds(40) }, {});
    m_dispatcher->noteNotice(2, { false, std::chrono::seconds(20) }, {});
    Daemon::PlacementRequest request = requestFor(fleet, { 0, 1 });
    request.latestStart = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    std::optional<Daemon::PlacementOutcome> outcome;
    place(std::move(request), outcome);
    ASSERT_TRUE(outcome);
    EXPECT_FALSE(outcome->position);
    EXPECT_EQ(outcome->error.verdict, Core::Verdict::NotRun);
    EXPECT_GT(outcome->retryAfter, std::chrono::seconds(19)) << "the shortest remaining pause";
    EXPECT_LE(outcome->retryAfter, std::chrono::seconds(25)) << "plus at most a quarter";
    EXPECT_EQ(m_dispatcher->openRequests(), 0U);
}

TEST_F(DispatcherTest, WaitsForABrieflyPausedTarget)
{
    Daemon::FleetPointer fleet = fleetOf(1);
    m_dispatcher->setFleet(fleet);
    m_dispatcher->noteNotice(1, { false, std::chrono::milliseconds(50) }, {});
    std::optional<Daemon::PlacementOutcome> outcome;
    place(requestFor(fleet, { 0 }), outcome);
    EXPECT_FALSE(outcome);
    EXPECT_FALSE(m_dispatcher->mayWrite(fleet->targets[0], 0));
    m_context.restart();
    m_context.run();
    ASSERT_TRUE(outcome);
    EXPECT_TRUE(outcome->position);
    EXPECT_TRUE(m_dispatcher->mayWrite(fleet->targets[0], 0));
}

// Guards against writing a request that was placed before the target announced that it leaves.
TEST_F(DispatcherTest, NothingMayBeWrittenToATargetThatAnnouncedItLeaves)
{
    Daemon::FleetPointer fleet = fleetOf(2);
    m_dispatcher->setFleet(fleet);
    EXPECT_TRUE(m_dispatcher->mayWrite(fleet->targets[0], 0));
    EXPECT_TRUE(m_dispatcher->noteNotice(1, { true, {} }, {}));
    EXPECT_FALSE(m_dispatcher->mayWrite(fleet->targets[0], 0));
    // An older list that still has the target as ready changes nothing.
    m_dispatcher->setFleet(fleetOf(2));
    EXPECT_FALSE(m_dispatcher->mayWrite(fleet->targets[0], 0));
    for (int n = 0; n < 5; ++n) {
        std::optional<Daemon::PlacementOutcome> outcome;
        std::uint64_t id = place(requestFor(fleet, { 0, 1 }), outcome);
        ASSERT_TRUE(outcome);
        EXPECT_EQ(outcome->position, 1U);
        m_dispatcher->release(id);
    }
    // Targets that are closed in the list or missing from it may not be written to, either.
    m_dispatcher->setFleet(fleetOf(2, "leaving"));
    EXPECT_FALSE(m_dispatcher->mayWrite(fleet->targets[1], 0));
    m_dispatcher->setFleet(fleetOf(1));
    EXPECT_FALSE(m_dispatcher->mayWrite(fleet->targets[1], 0));
}

// Guards against key collisions, by which one unreachable target would close all others.
TEST_F(DispatcherTest, EachTargetAndEachOfItsStartsHasAUniqueKey)
{
    EXPECT_NE(Daemon::targetKeyOf("e-1", "a"), Daemon::targetKeyOf("e-2", "a"));
    EXPECT_NE(Daemon::targetKeyOf("e-1", "a"), Daemon::targetKeyOf("e-1", "b"));
    EXPECT_NE(Daemon::targetKeyOf("e-1", 1), Daemon::targetKeyOf("e-1", 2));
    EXPECT_EQ(Daemon::targetKeyOf("e-1", 1), Daemon::targetKeyOf("e-1", 1));
    Daemon::FleetPointer fleet = fleetOf(2);
    m_dispatcher->setFleet(fleet);
    m_dispatcher->noteOutcome(fleet->targets[0].key, Routing::TargetOutcome::Unreachable);
    std::optional<Daemon::PlacementOutcome> outcome;
    place(requestFor(fleet, { 0, 1 }), outcome);
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->position, 1U);
}

// Guards against a request that a target gets beyond its rate limit because it was placed before the limit was known.
TEST_F(DispatcherTest, ARequestPlacedBeforeTheRateLimitWasKnownCountsAgainstItWhenItIsWritten)
{
    Daemon::FleetPointer fleet = fleetOf(2);
    m_dispatcher->setFleet(fleet);
    m_dispatcher->setDaemons("front-0", {});
    std::optional<Daemon::PlacementOutcome> outcome;
    std::uint64_t id = place(requestFor(fleet, { 0 }), outcome);
    ASSERT_TRUE(outcome && outcome->position);
    m_dispatcher->noteNotice(1, { false, {}, 1.0 }, {});
    EXPECT_FALSE(m_dispatcher->mayWrite(fleet->targets[0], id)) << "a new limit allows nothing for the time before";
    EXPECT_TRUE(m_dispatcher->mayWrite(fleet->targets[1], id));
    // Others go to the target without a limit.
    for (int n = 0; n < 3; ++n) {
        std::optional<Daemon::PlacementOutcome> other;
        std::uint64_t otherId = place(requestFor(fleet, { 0, 1 }), other);
        ASSERT_TRUE(other);
        EXPECT_EQ(other->position, 1U);
        EXPECT_TRUE(m_dispatcher->mayWrite(fleet->targets[1], otherId));
        m_dispatcher->release(otherId);
    }
    EXPECT_EQ(m_dispatcher->rateLimits(), (std::map<std::string, Routing::RateLimitStatus> { { "e-0", { 1.0, 1.0 } } }));
}

// Guards against requests that wait beyond what a rate limit lets through in their time, and against a share that is lost with a
// caller who left.
TEST_F(DispatcherTest, RequestsWaitForTheirShareOfARateLimitInTurnOrAreRefusedAtOnce)
{
    Daemon::FleetPointer fleet = fleetOf(1);
    m_dispatcher->setFleet(fleet);
    m_dispatcher->setDaemons("front-0", {});
    m_dispatcher->noteNotice(1, { false, {}, 20.0 }, {});
    std::vector<std::optional<Daemon::PlacementOutcome>> outcomes(10);
    std::vector<std::uint64_t> ids;
    for (std::optional<Daemon::PlacementOutcome>& it : outcomes) {
        Daemon::PlacementRequest request = requestFor(fleet, { 0 });
        request.latestStart = std::chrono::steady_clock::now() + std::chrono::milliseconds(600);
        ids.push_back(place(std::move(request), it));
    }
    // A third of 600 ms has room for four at 20 a second.
    int refused = 0;
    for (std::optional<Daemon::PlacementOutcome> const& it : outcomes) {
        refused += it ? 1 : 0;
        if (it) {
            EXPECT_FALSE(it->position);
            EXPECT_GE(it->retryAfter, std::chrono::milliseconds(150));
            EXPECT_LE(it->retryAfter, std::chrono::milliseconds(1'000));
        }
    }
    EXPECT_GE(refused, 6);
    EXPECT_FALSE(outcomes[0]);
    EXPECT_FALSE(outcomes[1]);
    m_dispatcher->release(ids[0]);
    m_context.restart();
    m_context.run_for(std::chrono::milliseconds(400));
    ASSERT_TRUE(outcomes[1]);
    EXPECT_TRUE(outcomes[1]->position);
    EXPECT_TRUE(m_dispatcher->mayWrite(fleet->targets[0], ids[1]));
}

// Guards against daemons without a share that hold requests or send them all the same.
TEST_F(DispatcherTest, WithoutAShareOfARateLimitRequestsAreRefusedAtOnce)
{
    Daemon::FleetPointer fleet = fleetOf(1);
    m_dispatcher->setFleet(fleet);
    m_dispatcher->takePeerRateLimits("front-1", { { 1, 5.0, std::chrono::milliseconds(10) } });
    std::optional<Daemon::PlacementOutcome> outcome;
    place(requestFor(fleet, { 0 }), outcome);
    ASSERT_TRUE(outcome);
    EXPECT_FALSE(outcome->position);
    EXPECT_EQ(outcome->error.verdict, Core::Verdict::NotRun);
    EXPECT_EQ(outcome->retryAfter.count(), 0) << "not known here";
    EXPECT_FALSE(m_dispatcher->mayWrite(fleet->targets[0], 0));
    m_dispatcher->takePeerRateLimits("front-1", { { 1, std::nullopt, std::chrono::milliseconds(0) } });
    EXPECT_TRUE(m_dispatcher->mayWrite(fleet->targets[0], 0));
}

// Guards against an engine that a daemon never uses again because a request for its former role reached it while it changed.
TEST_F(DispatcherTest, ATargetThatListsItselfInANewRoleIsOpenAgain)
{
    std::shared_ptr<Daemon::FleetSnapshot> before = fleetOf(1);
    before->targets[0].role = Routing::TargetRole::Prefill;
    m_dispatcher->setFleet(before);
    m_dispatcher->noteOutcome(before->targets[0].key, Routing::TargetOutcome::Replaced);
    std::shared_ptr<Daemon::FleetSnapshot> same = fleetOf(1);
    same->targets[0].role = Routing::TargetRole::Prefill;
    m_dispatcher->setFleet(same);
    EXPECT_EQ(m_dispatcher->suspects().size(), 1U);
    std::shared_ptr<Daemon::FleetSnapshot> changed = fleetOf(1);
    changed->targets[0].role = Routing::TargetRole::Decode;
    m_dispatcher->setFleet(changed);
    EXPECT_TRUE(m_dispatcher->suspects().empty());
    Daemon::PlacementRequest request = requestFor(changed, { 0 });
    request.shape.phase = Routing::Phase::Decode;
    std::optional<Daemon::PlacementOutcome> outcome;
    place(std::move(request), outcome);
    ASSERT_TRUE(outcome);
    EXPECT_EQ(outcome->position, 0U);
}

namespace {

Daemon::FleetPointer fleetOfReleases(std::vector<std::string> const& releases)
{
    std::shared_ptr<Daemon::FleetSnapshot> fleet = fleetOf(releases.size());
    for (std::size_t n = 0; n < releases.size(); ++n)
        fleet->targets[n].streamRelease = releases[n];
    return fleet;
}

}

TEST_F(DispatcherTest, AStreamGoesOnOnlyAtItsRelease)
{
    Daemon::FleetPointer fleet = fleetOfReleases({ "v1", "v2", "v2" });
    m_dispatcher->setFleet(fleet);
    std::optional<Daemon::PlacementOutcome> first;
    std::optional<Daemon::PlacementOutcome> waiting;
    std::optional<Daemon::PlacementOutcome> other;
    Daemon::PlacementRequest request = requestFor(fleet, { 0, 1, 2 });
    request.stream = { Daemon::StreamPlacement::Kind::GoesOn, "v1" };
    std::uint64_t id = place(request, first);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->position, 0U);
    place(request, waiting);
    EXPECT_FALSE(waiting) << "its only target is full";
    // One that may go elsewhere does not wait behind it.
    place(requestFor(fleet, { 0, 1, 2 }), other);
    ASSERT_TRUE(other);
    EXPECT_NE(other->position, 0U);
    m_dispatcher->release(id);
    runReady();
    ASSERT_TRUE(waiting);
    EXPECT_EQ(waiting->position, 0U);
}

// Guards against a stream that goes on at targets which do not state their release either.
TEST_F(DispatcherTest, AnUnknownReleaseEqualsNoOther)
{
    Daemon::FleetPointer fleet = fleetOfReleases({ "", "" });
    m_dispatcher->setFleet(fleet);
    std::optional<Daemon::PlacementOutcome> outcome;
    Daemon::PlacementRequest request = requestFor(fleet, { 0, 1 });
    request.stream = { Daemon::StreamPlacement::Kind::GoesOn, "" };
    place(std::move(request), outcome);
    EXPECT_FALSE(outcome);
}

// Guards against a write to a target that was listed anew with another release after the request was placed.
TEST_F(DispatcherTest, ATargetThatHasChangedItsReleaseIsNotWrittenTo)
{
    Daemon::FleetPointer fleet = fleetOfReleases({ "v1" });
    m_dispatcher->setFleet(fleet);
    std::optional<Daemon::PlacementOutcome> outcome;
    std::uint64_t id = place(requestFor(fleet, { 0 }), outcome);
    ASSERT_TRUE(outcome);
    EXPECT_TRUE(m_dispatcher->mayWrite(fleet->targets[0], id));
    m_dispatcher->setFleet(fleetOfReleases({ "v2" }));
    EXPECT_FALSE(m_dispatcher->mayWrite(fleet->targets[0], id));
}

TEST_F(DispatcherTest, StreamsBeginOnlyAtReleasesThatAreRecorded)
{
    std::shared_ptr<Daemon::FleetSnapshot> fleet = std::make_shared<Daemon::FleetSnapshot>(*fleetOfReleases({ "v1", "v2" }));
    fleet->targets[1].mayBeginStreams = false;
    m_dispatcher->setFleet(fleet);
    for (int n = 0; n < 8; ++n) {
        std::optional<Daemon::PlacementOutcome> outcome;
        Daemon::PlacementRequest request = requestFor(fleet, { 0, 1 });
        request.stream = { Daemon::StreamPlacement::Kind::Begins, {} };
        std::uint64_t id = place(std::move(request), outcome);
        ASSERT_TRUE(outcome);
        EXPECT_EQ(outcome->position, 0U);
        m_dispatcher->release(id);
    }
}

// Guards against streams that begin at the only target of a release: if it were lost, they could go on nowhere.
TEST_F(DispatcherTest, ALoneReleaseBeginsStreamsOnlyWhileTheOthersAreFull)
{
    Daemon::FleetPointer fleet = fleetOfReleases({ "v1", "v2", "v2" });
    m_dispatcher->setFleet(fleet);
    std::array<std::optional<Daemon::PlacementOutcome>, 3> outcomes;
    std::set<std::uint32_t> first;
    for (std::size_t n = 0; n < outcomes.size(); ++n) {
        Daemon::PlacementRequest request = requestFor(fleet, { 0, 1, 2 });
        request.stream = { Daemon::StreamPlacement::Kind::Begins, {} };
        place(std::move(request), outcomes[n]);
        ASSERT_TRUE(outcomes[n]);
        if (n < 2)
            first.insert(*outcomes[n]->position);
    }
    // With one of the two full, each release has a target left.
    EXPECT_TRUE(first.contains(1) || first.contains(2));
    EXPECT_NE(outcomes.front()->position, 0U);
}

// Guards against a stream of low priority that passes requests which have waited before it, since it waits in a queue of its own.
TEST_F(DispatcherTest, StreamsThatMayBeginAnywhereWaitInLineWithAllElse)
{
    Daemon::FleetPointer fleet = fleetOfReleases({ "v1" });
    m_dispatcher->setFleet(fleet);
    std::optional<Daemon::PlacementOutcome> running;
    std::uint64_t id = place(requestFor(fleet, { 0 }), running);
    std::optional<Daemon::PlacementOutcome> stream;
    std::optional<Daemon::PlacementOutcome> urgent;
    Daemon::PlacementRequest request = requestFor(fleet, { 0 });
    request.stream = { Daemon::StreamPlacement::Kind::Begins, {} };
    request.priority = 9;
    place(std::move(request), stream);
    request = requestFor(fleet, { 0 });
    request.priority = 0;
    place(std::move(request), urgent);
    m_dispatcher->release(id);
    runReady();
    EXPECT_TRUE(urgent);
    EXPECT_FALSE(stream);
}
