#include <LibDaemon/TargetOutcomes.h>
#include <gtest/gtest.h>

using Daemon::AnswerProof;
using Daemon::outcomeOf;
using Routing::TargetOutcome;

TEST(TargetOutcomes, OfAnAnswersHead)
{
    EXPECT_EQ(outcomeOf(AnswerProof::Answer, 200, false), TargetOutcome::Answered);
    EXPECT_EQ(outcomeOf(AnswerProof::Answer, 404, false), TargetOutcome::Answered);
    EXPECT_EQ(outcomeOf(AnswerProof::Answer, 500, false), TargetOutcome::Failed);
    EXPECT_EQ(outcomeOf(AnswerProof::Answer, 504, false), TargetOutcome::Answered);
    EXPECT_EQ(outcomeOf(AnswerProof::Replaced, 421, false), TargetOutcome::Replaced);
    EXPECT_EQ(outcomeOf(AnswerProof::NotRun, 503, false), TargetOutcome::Refused);
    EXPECT_EQ(outcomeOf(AnswerProof::NotRun, 503, true), TargetOutcome::Answered);
}

TEST(TargetOutcomes, OfAPrefill)
{
    EXPECT_EQ(outcomeOf(std::string("10.0.0.1:80/handle")), TargetOutcome::Answered);
    EXPECT_EQ(outcomeOf(Core::makeError(Core::ErrorCode::NotFound, "another target")), TargetOutcome::Replaced);
    EXPECT_EQ(outcomeOf(Core::makeError(Core::ErrorCode::Unavailable, "refused")), TargetOutcome::Refused);
    EXPECT_EQ(outcomeOf(Core::makeUncertainError(Core::ErrorCode::Unavailable, "500")), TargetOutcome::Failed);
}
