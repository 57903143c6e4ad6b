// Attempts of a request that daemons pass on to each other: over all of them no more targets run it than its route allows.

#include <LibRequest/RequestMachine.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace {

using namespace Request;

constexpr TimePoint start { std::chrono::seconds(1) };
constexpr int serverError = 500;

/// How one attempt at a target ends.
enum class TargetEnd : std::uint8_t {
    Unreachable,
    Refused,
    Failed, ///< Ran, and answered with an error.
    Broken, ///< May have run.
};

/// How an attempt that a peer makes ends for the daemon that passed the request on.
enum class PeerEnd : std::uint8_t {
    Unreachable,
    AnswerLost,
    Dies, ///< After some of its attempts.
    Answers,
    AnswersWithoutReport, ///< As a daemon of an earlier release.
};

/// One request, and the targets that ran it at any daemon.
class RelayedRequest {
public:
    explicit RelayedRequest(std::uint32_t attempts)
        : m_attempts(attempts)
    {
    }

    void play()
    {
        RequestMachine machine(profile(m_attempts, {}), m_budget);
        handle(machine, Admitted(), true);
    }

    std::size_t runs() const { return m_ran.size(); }

private:
    static RequestProfile profile(std::uint32_t attempts, std::vector<std::string> tried)
    {
        RequestProfile profile;
        profile.isRepeatable = true;
        profile.maxAttempts = attempts;
        profile.unsentTries = 3;
        profile.triedTargets = std::move(tried);
        profile.deadline = start + std::chrono::seconds(10);
        return profile;
    }

    // Follows the machine until it has finished, or until `m_attemptsToDeath` have been made at this daemon.
    void handle(RequestMachine& machine, RequestEvent event, bool mayRelay)
    {
        RequestActions actions = machine.handle(std::move(event), start);
        for (RequestAction const& action : actions) {
            Dispatch const* dispatch = std::get_if<Dispatch>(&action);
            if (!dispatch)
                continue;
            for (std::string const& name : m_ran)
                RC_ASSERT(std::find(dispatch->excluded.begin(), dispatch->excluded.end(), name) != dispatch->excluded.end() || m_isAnyUnknown);
            if (mayRelay && *rc::gen::arbitrary<bool>())
                tryPeer(machine, dispatch->attempt);
            else
                tryTarget(machine, dispatch->attempt, mayRelay);
        }
    }

    void tryTarget(RequestMachine& machine, std::uint32_t attempt, bool mayRelay)
    {
        if (!mayRelay && m_attemptsToDeath-- == 0)
            return;
        std::string name = "target-" + std::to_string(m_nextTarget++);
        Leg leg { attempt, 1 };
        machine.handle(TargetPicked { attempt, name, false }, start);
        TargetEnd end = *rc::gen::element(TargetEnd::Unreachable, TargetEnd::Refused, TargetEnd::Failed, TargetEnd::Broken);
        if (end == TargetEnd::Unreachable) {
            handle(machine, ConnectFailed { leg }, mayRelay);
            return;
        }
        machine.handle(Connected { leg, {} }, start);
        if (end == TargetEnd::Refused) {
            handle(machine, TargetRefused { leg }, mayRelay);
            return;
        }
        m_ran.insert(name);
        if (end == TargetEnd::Broken) {
            handle(machine, StreamBroken { leg }, mayRelay);
            return;
        }
        handle(machine, ResponseHead { leg, serverError }, mayRelay);
        machine.handle(StreamEnded { leg, 0 }, start);
    }

    void tryPeer(RequestMachine& machine, std::uint32_t attempt)
    {
        Leg leg { attempt, 1 };
        machine.handle(TargetPicked { attempt, "peer-" + std::to_string(attempt), true }, start);
        PeerEnd end = *rc::gen::element(PeerEnd::Unreachable, PeerEnd::AnswerLost, PeerEnd::Dies, PeerEnd::Answers, PeerEnd::AnswersWithoutReport);
        if (end == PeerEnd::Unreachable) {
            handle(machine, ConnectFailed { leg }, true);
            return;
        }
        machine.handle(Connected { leg, {} }, start);
        RequestMachine peer(profile(machine.grantedToPeer(), machine.triedTargets()), m_budget);
        m_attemptsToDeath = end == PeerEnd::Dies ? *rc::gen::inRange(0, 4) : -1;
        handle(peer, Admitted(), false);
        if (end == PeerEnd::AnswerLost || end == PeerEnd::Dies) {
            m_isAnyUnknown = true;
            handle(machine, StreamBroken { leg }, true);
            return;
        }
        bool isReported = end == PeerEnd::Answers;
        m_isAnyUnknown = m_isAnyUnknown || !isReported;
        if (isReported)
            machine.handle(PeerReported { attempt, peer.attemptsUsed(), { m_ran.begin(), m_ran.end() } }, start);
        if (peer.verdict() == Core::Verdict::NotRun) {
            handle(machine, ConnectFailed { leg }, true);
            return;
        }
        handle(machine, ResponseHead { leg, serverError }, true);
        machine.handle(StreamEnded { leg, 0 }, start);
    }

    RetryBudget m_budget { { .ratio = 0.1, .burst = 100 } };
    std::uint32_t m_attempts { 0 };
    std::set<std::string> m_ran;
    bool m_isAnyUnknown { false }; ///< A peer has not said which targets it tried.
    int m_attemptsToDeath { -1 };
    int m_nextTarget { 0 };
};

}

RC_GTEST_PROP(SendAllowance, NoMoreTargetsRunARelayedRequestThanItsRouteAllowsWhicheverDaemonDies, ())
{
    std::uint32_t attempts = *rc::gen::inRange<std::uint32_t>(1, 5);
    RelayedRequest request(attempts);
    request.play();
    RC_ASSERT(request.runs() <= attempts);
}

TEST(SendAllowance, AnAnswerThatAPeerDeliversWithAllAttemptsUsedIsNotTriedAgain)
{
    RetryBudget budget { { .ratio = 0.1, .burst = 100 } };
    RequestProfile profile;
    profile.isRepeatable = true;
    profile.maxAttempts = 2;
    profile.deadline = start + std::chrono::seconds(10);
    RequestMachine machine(profile, budget);
    machine.handle(Admitted(), start);
    machine.handle(TargetPicked { 1, "peer", true }, start);
    machine.handle(Connected { { 1, 1 }, {} }, start);
    EXPECT_EQ(machine.grantedToPeer(), 2U);
    machine.handle(PeerReported { 1, 2, { "target-a", "target-b" } }, start);
    EXPECT_TRUE(machine.handle(ResponseHead { { 1, 1 }, serverError }, start).empty()) << "a third target";
    RequestActions actions = machine.handle(StreamEnded { { 1, 1 }, 0 }, start);
    EXPECT_TRUE(machine.isFinished());
    EXPECT_FALSE(std::get<Finish>(actions.back()).error);
}

TEST(SendAllowance, APeerThatUsedOneOfTwoAttemptsLeavesTheOther)
{
    SendAllowance allowance(2);
    allowance.begin();
    EXPECT_EQ(allowance.grant(), 2U);
    EXPECT_EQ(allowance.left(), 0U);
    allowance.settle(1);
    EXPECT_EQ(allowance.left(), 1U);
    allowance.settle(2);
    EXPECT_EQ(allowance.left(), 1U) << "the grant has ended";
    allowance.takeBack();
    EXPECT_EQ(allowance.left(), 2U);
}

TEST(SendAllowance, ATargetThatRefusedTheRequestAtAPeerCountsAndAPeerThatSentNothingDoesNot)
{
    for (std::uint32_t sent : { 0U, 1U }) {
        RetryBudget budget { { .ratio = 0.1, .burst = 100 } };
        RequestProfile profile;
        profile.maxAttempts = 1;
        profile.unsentTries = 3;
        profile.deadline = start + std::chrono::seconds(10);
        RequestMachine peer(profile, budget);
        peer.handle(Admitted(), start);
        if (sent > 0) {
            peer.handle(TargetPicked { 1, "target-a", false }, start);
            peer.handle(Connected { { 1, 1 }, {} }, start);
            peer.handle(TargetRefused { { 1, 1 } }, start);
        } else {
            peer.handle(NoTarget { 1, Core::makeError(Core::ErrorCode::Unavailable, "none") }, start);
        }
        ASSERT_TRUE(peer.isFinished());
        EXPECT_EQ(peer.attemptsUsed(), sent);
        RequestMachine machine(profile, budget);
        machine.handle(Admitted(), start);
        machine.handle(TargetPicked { 1, "peer", true }, start);
        machine.handle(Connected { { 1, 1 }, {} }, start);
        machine.handle(PeerReported { 1, peer.attemptsUsed(), {} }, start);
        machine.handle(ConnectFailed { { 1, 1 } }, start);
        EXPECT_EQ(machine.isFinished(), sent > 0) << "its route allows one target";
        EXPECT_EQ(machine.verdict(), Core::Verdict::NotRun);
    }
}
