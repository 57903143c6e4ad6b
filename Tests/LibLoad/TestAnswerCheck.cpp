#include <LibLoad/AnswerCheck.h>
#include <LibStandIn/Completion.h>
#include <LibStandIn/ExpectedText.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using Load::Ending;

constexpr std::string_view prompt = "hello";
constexpr std::uint64_t tokens = 4;

StandIn::EngineStream finished(std::string_view of)
{
    StandIn::EngineStream stream;
    stream.seed = StandIn::answerSeed(of);
    stream.maximumTokens = stream.tokens = tokens;
    stream.isFinished = true;
    return stream;
}

std::vector<std::string> eventsOf(std::string_view of)
{
    StandIn::EngineStream stream = finished(of);
    StandIn::CompletionWriter writer(false, "r", "m");
    std::vector<std::string> events;
    for (std::uint64_t i = 0; i < StandIn::CompletionWriter::eventCount(stream); ++i)
        events.push_back(writer.event(stream, i));
    return events;
}

Ending endingOf(std::vector<std::string> const& events)
{
    Load::AnswerCheck check(prompt, tokens);
    for (std::string const& it : events)
        check.add(it);
    return check.ending();
}

}

RC_GTEST_PROP(AnswerCheck, WholeAnswerIsWholeHoweverItIsCutIntoPieces, ())
{
    std::string body;
    for (std::string const& it : eventsOf(prompt))
        body += it;
    Load::AnswerCheck check(prompt, tokens);
    std::uint64_t counted = 0;
    while (!body.empty()) {
        std::size_t n = *rc::gen::inRange<std::size_t>(1, body.size() + 1);
        counted += check.add(std::string_view(body).substr(0, n));
        body.erase(0, n);
        RC_ASSERT((check.ending() == Ending::Whole) == body.empty());
    }
    RC_ASSERT(counted == tokens);
}

TEST(AnswerCheck, CutMixedDoubledAndReorderedAnswersAreNotWhole)
{
    std::vector<std::string> good = eventsOf(prompt);
    std::vector<std::string> other = eventsOf("other");
    for (std::size_t i = 0; i < good.size(); ++i) {
        std::vector<std::string> cut(good.begin(), good.begin() + static_cast<std::ptrdiff_t>(i));
        EXPECT_EQ(endingOf(cut), Ending::Cut) << i;
        std::vector<std::string> lost = good;
        lost.erase(lost.begin() + static_cast<std::ptrdiff_t>(i));
        EXPECT_NE(endingOf(lost), Ending::Whole) << i;
        std::vector<std::string> doubled = good;
        doubled.insert(doubled.begin() + static_cast<std::ptrdiff_t>(i), good[i]);
        EXPECT_EQ(endingOf(doubled), Ending::Wrong) << i;
        std::vector<std::string> mixed = good;
        mixed[i] = other[i];
        EXPECT_EQ(endingOf(mixed), i < tokens ? Ending::Wrong : Ending::Whole) << i;
    }
    std::swap(good[0], good[1]);
    EXPECT_EQ(endingOf(good), Ending::Wrong);
}

TEST(AnswerCheck, ErrorEventTellsItsVerdict)
{
    std::vector<std::string> events = eventsOf(prompt);
    events.resize(2);
    events.emplace_back("data: {\"error\":{\"code\":\"unavailable\",\"message\":\"gone\",\"verdict\":\"may-have-run\"}}\n\n");
    EXPECT_EQ(endingOf(events), Ending::MayHaveRun);
    events.emplace_back("data: [DONE]\n\n");
    EXPECT_EQ(endingOf(events), Ending::Wrong) << "an answer that failed must not look whole";
    EXPECT_EQ(Load::endingOf("not-run"), Ending::NotRun);
    EXPECT_EQ(Load::endingOf("odd"), Ending::NoAnswer);
}

TEST(AnswerCheck, WholeBodiesAreChecked)
{
    std::string body = StandIn::CompletionWriter(false, "r", "m").whole(finished(prompt));
    EXPECT_EQ(Load::checkWhole(body, prompt, tokens), Ending::Whole);
    EXPECT_EQ(Load::checkWhole(body, "other", tokens), Ending::Wrong);
    EXPECT_EQ(Load::checkWhole(body, prompt, tokens + 1), Ending::Cut);
    EXPECT_EQ(Load::checkWhole(body.substr(0, 40), prompt, tokens), Ending::Cut);
}
