#include <LibRequest/RequestMachine.h>
#include <gtest/gtest.h>

namespace {

using namespace Request;
using namespace std::chrono_literals;

constexpr TimePoint start { 1s };
constexpr TimePoint deadline { 11s };

RequestProfile repeatable()
{
    return { .isRepeatable = true, .mayContinue = true, .canResume = true, .canCancel = true, .deadline = deadline };
}

/// A machine with its budget, and shorthands for common test steps.
struct Case {
    RetryBudget budget { {} };
    RequestMachine machine;

    explicit Case(RequestProfile profile)
        : machine(profile, budget)
    {
    }

    RequestActions feed(RequestEvent event, TimePoint now = start) { return machine.handle(std::move(event), now); }

    /// Feeds an event and returns its one action.
    template <typename Action>
    Action expect(RequestEvent event, TimePoint now = start)
    {
        RequestActions actions = feed(std::move(event), now);
        EXPECT_EQ(actions.size(), 1U);
        EXPECT_TRUE(!actions.empty() && std::holds_alternative<Action>(actions.front()));
        return actions.empty() || !std::holds_alternative<Action>(actions.front()) ? Action {} : std::get<Action>(actions.front());
    }

    /// Feeds an event after which the request is finished, and returns the last action.
    Finish finish(RequestEvent event, TimePoint now = start)
    {
        RequestActions actions = feed(std::move(event), now);
        EXPECT_TRUE(machine.isFinished());
        return actions.empty() ? Finish {} : std::get<Finish>(actions.back());
    }

    void write(std::uint32_t attempt)
    {
        feed(TargetPicked { attempt, "target-" + std::to_string(attempt) });
        expect<WriteRequest>(Connected { { attempt, 1 } });
    }

    void stream(std::uint64_t pieces)
    {
        feed(Admitted {});
        write(1);
        feed(ResponseHead { { 1, 1 }, 200 });
        for (std::uint64_t i = 0; i < pieces; ++i)
            feed(Piece { { 1, 1 }, i, "x", true });
    }
};

Core::Verdict verdictOf(Finish const& it)
{
    EXPECT_TRUE(!it.error || it.error->verdict == it.verdict);
    return it.verdict;
}

}

TEST(RequestMachine, DeliversAWholeAnswerInOrderOnce)
{
    Case it(repeatable());
    it.stream(0);
    RequestActions first = it.feed(Piece { { 1, 1 }, 0, "a", true });
    ASSERT_EQ(first.size(), 2U);
    EXPECT_EQ(std::get<DeliverHead>(first[0]).status, 200);
    EXPECT_EQ(std::get<DeliverPiece>(first[1]).bytes, "a");
    EXPECT_TRUE(it.feed(Piece { { 1, 1 }, 0, "a", true }).empty()) << "a repeat";
    EXPECT_TRUE(it.feed(Piece { { 1, 1 }, 2, "c", true }).empty()) << "out of order";
    EXPECT_EQ(it.expect<DeliverPiece>(Piece { { 1, 1 }, 1, "b", true }).position, 1U);
    Finish end = it.expect<Finish>(StreamEnded { { 1, 1 }, 2 });
    EXPECT_EQ(end.verdict, Core::Verdict::Ran);
    EXPECT_FALSE(end.error);
    EXPECT_TRUE(it.feed(StreamEnded { { 1, 1 }, 2 }).empty());
    EXPECT_TRUE(it.feed(DeadlineReached {}, deadline).empty());
}

TEST(RequestMachine, AnEndThatMissesPiecesResumesWhereTheyAreMissing)
{
    Case it(repeatable());
    it.stream(2);
    Resume resume = it.expect<Resume>(StreamEnded { { 1, 1 }, 4 });
    EXPECT_EQ(resume.from, 2U);
    EXPECT_EQ(resume.leg, (Leg { 1, 2 }));
    EXPECT_EQ(resume.target, "target-1");
    EXPECT_TRUE(it.feed(StreamBroken { { 1, 1 } }).empty()) << "of the former connection";
    it.feed(ResumeAccepted { { 1, 2 } });
    it.feed(Piece { { 1, 2 }, 2, "x", true });
    it.feed(Piece { { 1, 1 }, 3, "x", true });
    EXPECT_EQ(verdictOf(it.finish(StreamEnded { { 1, 2 }, 4 })), Core::Verdict::Ran);
}

TEST(RequestMachine, ContinuesElsewhereOnlyAtAWholeEventAndOnlyIfPermitted)
{
    for (bool isWhole : { true, false }) {
        for (bool mayContinue : { true, false }) {
            RequestProfile profile = repeatable();
            profile.mayContinue = mayContinue;
            Case it(profile);
            it.stream(2);
            it.feed(Piece { { 1, 1 }, 2, "x", isWhole });
            it.feed(SilentConnection { { 1, 1 } });
            RequestActions actions = it.feed(ResumeUnknown { { 1, 2 } });
            ASSERT_EQ(actions.size(), 2U);
            EXPECT_EQ(std::get<CancelAtTarget>(actions[0]).attempt, 1U);
            if (!isWhole || !mayContinue) {
                EXPECT_EQ(verdictOf(std::get<Finish>(actions[1])), Core::Verdict::MayHaveRun);
                continue;
            }
            EXPECT_EQ(std::get<Continue>(actions[1]).delivered, 3U);
            EXPECT_EQ(std::get<Continue>(actions[1]).excluded, std::vector<std::string> { "target-1" });
            it.write(2);
            it.feed(ResponseHead { { 2, 1 }, 200 });
            EXPECT_TRUE(it.feed(Piece { { 1, 1 }, 3, "of the former attempt", true }).empty());
            EXPECT_TRUE(it.feed(Piece { { 1, 1 }, 0, "of the former attempt", true }).empty());
            EXPECT_EQ(it.expect<DeliverPiece>(Piece { { 2, 1 }, 0, "y", true }).position, 3U);
            EXPECT_FALSE(it.finish(StreamEnded { { 2, 1 }, 1 }).error);
        }
    }
}

// Guards against requests that a silence of their target's host ends although they have nowhere else to go.
TEST(RequestMachine, SaysWhetherAnotherTargetMayGetTheRequest)
{
    for (bool isRepeatable : { true, false }) {
        for (bool mayContinue : { true, false }) {
            RequestProfile profile = repeatable();
            profile.isRepeatable = isRepeatable;
            profile.mayContinue = mayContinue;
            profile.maxAttempts = 2;
            Case it(profile);
            it.feed(Admitted {});
            it.feed(TargetPicked { 1, "prefill-1" });
            EXPECT_TRUE(it.machine.maySendElsewhere()) << "a prompt may be computed twice";
            it.write(1);
            it.feed(ResponseHead { { 1, 1 }, 200 });
            EXPECT_EQ(it.machine.maySendElsewhere(), isRepeatable) << "nothing is delivered";
            it.feed(Piece { { 1, 1 }, 0, "x", true });
            EXPECT_EQ(it.machine.maySendElsewhere(), isRepeatable && mayContinue);
            it.feed(Piece { { 1, 1 }, 1, "x", false });
            EXPECT_FALSE(it.machine.maySendElsewhere()) << "in the middle of an event";
        }
    }
    RequestProfile profile = repeatable();
    profile.maxAttempts = 1;
    Case it(profile);
    it.stream(0);
    EXPECT_FALSE(it.machine.maySendElsewhere()) << "no attempt is left";
}

TEST(RequestMachine, AnErrorHeadNeverFollowsWhatWasDelivered)
{
    Case it(repeatable());
    it.stream(2);
    it.feed(SilentConnection { { 1, 1 } });
    it.feed(ResumeUnknown { { 1, 2 } });
    it.write(2);
    RequestActions actions = it.feed(ResponseHead { { 2, 1 }, 500 });
    EXPECT_TRUE(std::holds_alternative<Continue>(actions.back()));
    EXPECT_TRUE(it.feed(Piece { { 2, 1 }, 0, "{\"error\"", true }).empty());
}

TEST(RequestMachine, SaysNotRunOnlyBeforeTheWriteOrAfterAnExplicitRefusal)
{
    for (bool isWritten : { false, true }) {
        for (RequestEvent const& event : { RequestEvent(CallerGone {}), RequestEvent(DeadlineReached {}), RequestEvent(ShutdownForced {}) }) {
            Case it(repeatable());
            it.feed(Admitted {});
            it.feed(TargetPicked { 1, "target-1" });
            if (isWritten)
                it.feed(Connected { { 1, 1 } });
            RequestActions actions = it.feed(event, deadline);
            EXPECT_EQ(actions.size(), isWritten ? 2U : 1U) << "what was sent is canceled";
            EXPECT_EQ(verdictOf(std::get<Finish>(actions.back())), isWritten ? Core::Verdict::MayHaveRun : Core::Verdict::NotRun);
        }
    }
}

TEST(RequestMachine, ARefusalAfterAnAttemptThatMayHaveRunDoesNotUndoIt)
{
    Case it(repeatable());
    it.feed(Admitted {});
    it.write(1);
    it.feed(SilentConnection { { 1, 1 } });
    it.feed(ResumeUnknown { { 1, 2 } });
    it.write(2);
    it.feed(TargetRefused { { 2, 1 } });
    Finish end = it.finish(NoTarget { 3, Core::makeError(Core::ErrorCode::Unavailable, "none") });
    EXPECT_EQ(verdictOf(end), Core::Verdict::MayHaveRun);
}

TEST(RequestMachine, ALateRefusalOrConnectFailureIsNoProofOnceAnAnswerCame)
{
    Case it({ .canCancel = true, .deadline = deadline });
    it.stream(0);
    EXPECT_TRUE(it.feed(TargetRefused { { 1, 1 } }).empty());
    EXPECT_TRUE(it.feed(ConnectFailed { { 1, 1 } }).empty());
    EXPECT_EQ(it.machine.verdict(), Core::Verdict::MayHaveRun);
}

TEST(RequestMachine, AWriteThatADaemonWakesToAfterTheDeadlineIsNotMade)
{
    Case it(repeatable());
    it.feed(Admitted {});
    it.feed(TargetPicked { 1, "target-1" });
    Finish end = it.finish(Connected { { 1, 1 } }, deadline);
    EXPECT_EQ(verdictOf(end), Core::Verdict::NotRun);
    EXPECT_EQ(end.error->code, Core::ErrorCode::Timeout);
}

TEST(RequestMachine, AFencedAttemptIsRunElsewhereAndAnUnknownOneIsNot)
{
    for (CancelOutcome outcome : { CancelOutcome::NeverSeen, CancelOutcome::Canceled, CancelOutcome::Finished, CancelOutcome::Unknown }) {
        for (std::string_view before : { "", "i1" }) {
            for (std::string_view after : { "", "i1", "i2" }) {
                Case it({ .canCancel = true, .deadline = deadline });
                it.feed(Admitted {});
                it.feed(TargetPicked { 1, "target-1" });
                it.feed(Connected { { 1, 1 }, std::string(before) });
                EXPECT_TRUE(it.expect<CancelAtTarget>(StreamBroken { { 1, 1 } }).needsOutcome);
                RequestActions actions = it.feed(CancelAcknowledged { 1, outcome, std::string(after) });
                ASSERT_EQ(actions.size(), 1U);
                bool isProof = outcome == CancelOutcome::NeverSeen && before == "i1" && after == "i1";
                EXPECT_EQ(std::holds_alternative<Dispatch>(actions[0]), isProof) << Core::nameOf(cancelOutcomeNames, outcome) << before << after;
                EXPECT_EQ(it.machine.verdict(), isProof ? Core::Verdict::NotRun : Core::Verdict::MayHaveRun);
            }
        }
    }
}

TEST(RequestMachine, AServerErrorIsRetriedOnlyIfRepeatableAndElsePassedOn)
{
    Case repeats(repeatable());
    repeats.feed(Admitted {});
    repeats.write(1);
    EXPECT_EQ(repeats.expect<Dispatch>(ResponseHead { { 1, 1 }, 500 }).excluded, std::vector<std::string> { "target-1" });
    Case once({ .deadline = deadline });
    once.feed(Admitted {});
    once.write(1);
    EXPECT_TRUE(once.feed(ResponseHead { { 1, 1 }, 500 }).empty());
    RequestActions end = once.feed(StreamEnded { { 1, 1 }, 0 });
    EXPECT_EQ(std::get<DeliverHead>(end.front()).status, 500);
    EXPECT_EQ(verdictOf(std::get<Finish>(end.back())), Core::Verdict::MayHaveRun);
}

TEST(RequestMachine, OnlyTheHomeSaysNotRunOfAForwardedRequest)
{
    RequestProfile profile { .canResume = true, .goesToHome = true, .deadline = deadline };
    Case gone(profile);
    gone.feed(Admitted {});
    EXPECT_EQ(verdictOf(gone.finish(CallerGone {})), Core::Verdict::MayHaveRun) << "another entry may have sent the ticket before";
    Case told(profile);
    told.feed(Admitted {});
    told.write(1);
    Finish end = told.finish(HomeAnswered { { 1, 1 }, Core::makeError(Core::ErrorCode::Overloaded, "full"), 2s });
    EXPECT_EQ(verdictOf(end), Core::Verdict::NotRun);
    EXPECT_EQ(end.retryAfter, 2s);
}

TEST(RequestMachine, ARequestWithATicketOutlivesItsCaller)
{
    Case it({ .canCancel = true, .outlivesCaller = true, .deadline = deadline });
    it.stream(1);
    EXPECT_TRUE(it.feed(CallerGone {}).empty());
    EXPECT_EQ(it.expect<DeliverPiece>(Piece { { 1, 1 }, 1, "x", true }).position, 1U);
}

TEST(RequestMachine, RetriesEndWithTheBudgetAndTheAttempts)
{
    Case it(repeatable());
    it.feed(Admitted {});
    for (std::uint32_t attempt = 1; attempt < 4; ++attempt)
        it.expect<Dispatch>(ConnectFailed { { attempt, 1 } });
    EXPECT_EQ(verdictOf(it.finish(ConnectFailed { { 4, 1 } })), Core::Verdict::NotRun);
    RetryBudget empty({ .ratio = 0, .burst = 0, .floorPerSecond = 0 });
    RequestMachine machine(repeatable(), empty);
    machine.handle(Admitted {}, start);
    machine.handle(ConnectFailed { { 1, 1 } }, start);
    EXPECT_TRUE(machine.isFinished());
}

TEST(RequestMachine, TriesOfWhichNothingReachedATargetDoNotCount)
{
    RequestProfile profile { .maxAttempts = 1, .deadline = deadline };
    profile.unsentTries = 2;
    Case test(profile);
    test.expect<Dispatch>(Admitted());
    EXPECT_EQ(test.expect<Dispatch>(ConnectFailed { { 1, 1 } }).attempt, 2U);
    EXPECT_EQ(test.expect<Dispatch>(ConnectFailed { { 2, 1 } }).attempt, 3U);
    EXPECT_EQ(test.finish(ConnectFailed { { 3, 1 } }).verdict, Core::Verdict::NotRun);
}

TEST(RequestMachine, ATargetThatRefusedThePreparationCounts)
{
    RequestProfile profile { .maxAttempts = 1, .deadline = deadline };
    profile.unsentTries = 2;
    Case test(profile);
    test.expect<Dispatch>(Admitted());
    EXPECT_EQ(test.finish(PromptFailed { { 1, 1 }, PromptEnd::Refused }).verdict, Core::Verdict::NotRun);
}

// Targets that share an allowance count every send beyond the first; recomputing a prompt counts as a separate send.
TEST(RequestMachine, ARetryThatComputesItsPromptAnewTakesTwoSendsFromTheBudget)
{
    Case it({ .isRepeatable = true, .maxAttempts = 4, .deadline = deadline });
    it.budget.change({ .ratio = 0, .burst = 3, .floorPerSecond = 0 });
    it.feed(Admitted {});
    it.feed(TargetPicked { 1, "prefill-1" });
    it.feed(PromptComputed { 1 });
    it.write(1);
    it.expect<Dispatch>(TargetRefused { { 1, 1 } });
    it.write(2);
    EXPECT_EQ(it.finish(TargetRefused { { 2, 1 } }).verdict, Core::Verdict::NotRun) << "one send is left, and a retry takes two";
}

TEST(RequestMachine, ARetryThatGoesOnFromTheComputedPromptTakesOneSend)
{
    Case it({ .isRepeatable = true, .maxAttempts = 4, .deadline = deadline });
    it.budget.change({ .ratio = 0, .burst = 2, .floorPerSecond = 0 });
    it.feed(Admitted {});
    it.feed(TargetPicked { 1, "prefill-1" });
    it.feed(PromptComputed { 1 });
    it.write(1);
    it.expect<Dispatch>(TargetRefused { { 1, 1 }, true });
    it.write(2);
    it.expect<Dispatch>(TargetRefused { { 2, 1 }, true });
    it.write(3);
    EXPECT_EQ(it.finish(TargetRefused { { 3, 1 }, true }).verdict, Core::Verdict::NotRun);
}

TEST(RequestMachine, ATryOfWhichNothingWasSentIsFreeOnlyWithoutAnotherPrompt)
{
    for (bool keepsPrompt : { true, false }) {
        Case it({ .isRepeatable = true, .maxAttempts = 4, .unsentTries = 3, .deadline = deadline });
        it.budget.change({ .ratio = 0, .burst = 0, .floorPerSecond = 0 });
        it.feed(Admitted {});
        it.feed(TargetPicked { 1, "prefill-1" });
        it.feed(PromptComputed { 1 });
        it.feed(ConnectFailed { { 1, 1 }, keepsPrompt });
        EXPECT_EQ(it.machine.isFinished(), !keepsPrompt);
    }
}
