#include <LibOperator/CommandLine.h>
#include <LibOperator/Story.h>
#include <gtest/gtest.h>
#include <sstream>

namespace {

using Operator::Story;

constexpr char const* frontOne = R"(2026-12-03 10:00:00,100 INFO  event=6001 name=target-added target=i-1 address=10.0.0.1:80 leaving=yes
2026-12-03 10:00:01,100 INFO  event=2001 name=route-decided request=other attempt=1 target=i-1 score=0.1
2026-12-03 10:00:01,200 INFO  event=2001 name=route-decided request=abc attempt=1 target=i-1 score=0.25
2026-12-03 10:00:01,300 WARN  event=2004 name=attempt-failed request=abc target=i-1 step=exchange verdict=may-have-run error="failed: \"reset\" by peer"
2026-12-03 10:00:01,310 WARN  event=2003 name=request-finished request=abc verdict=may-have-run target=i-1 attempts=1 total_ms=110 error="The target was lost."
some text that is no event
2026-12-03 10:00:09,000 INFO  event=6002 name=target-removed target=i-1
)";
// As a platform hands it out that puts its own columns in front.
constexpr char const* frontTwo = R"(   1.2000 front-2 2026-12-03 10:00:01,150 INFO  event=4005 name=order-sent pool=p engine=i-1 role=decode
   1.2000 front-2 2026-12-03 10:00:01,150 INFO  event=6002 name=target-removed target=i-1
)";

Story storyOf(std::string const& id)
{
    Story story(id);
    std::istringstream one(frontOne);
    std::istringstream two(frontTwo);
    story.read(two, "two.log");
    story.read(one, "one.log");
    return story;
}

}

TEST(Story, PutsTheLinesOfARequestInOrderAcrossDaemons)
{
    std::vector<Operator::LogLine> lines = storyOf("abc").lines();
    std::vector<std::string> events;
    for (Operator::LogLine const& line : lines)
        events.push_back(line.event);
    EXPECT_EQ(events, (std::vector<std::string> { "target-added", "order-sent", "route-decided", "attempt-failed", "request-finished" }));
    EXPECT_EQ(lines[1].source, "front-2");
    EXPECT_EQ(lines[3].source, "one.log");
    EXPECT_EQ(lines[3].field("error"), "failed: \"reset\" by peer");
}

TEST(Story, NamesTheCause)
{
    EXPECT_EQ(storyOf("abc").cause(), "It ended with verdict may-have-run after 1 attempt(s) and 110 ms: The target was lost. The last attempt failed at i-1 (exchange): failed: \"reset\" by peer.");
    EXPECT_TRUE(storyOf("other").cause().starts_with("It has no final answer"));
    EXPECT_TRUE(storyOf("unknown").cause().starts_with("No line names this request"));
    EXPECT_TRUE(storyOf("unknown").lines().empty());
}

TEST(Story, ReadsOnlyEventLines)
{
    EXPECT_TRUE(Operator::parseLogLine("2026-12-03 10:00:00,100 INFO hello", "f").has_error());
    EXPECT_TRUE(Operator::parseLogLine("event=1 name=x", "f").has_error());
    EXPECT_TRUE(Operator::parseLogLine("2026-12-03 10:00:00,100 INFO event=", "f").has_error());
    EXPECT_EQ(Operator::parseLogLine("2026-12-03 10:00:00,100 INFO event=1 name=x a=\"b", "f").value().field("a"), "b");
}

TEST(Story, AsksNoServer)
{
    Operator::CommandLine::Environment environment = [](char const*) -> char const* { return nullptr; };
    EXPECT_TRUE(Operator::CommandLine::parse({ "story", "abc", "one.log" }, environment).has_value());
    EXPECT_TRUE(Operator::CommandLine::parse({ "story", "abc" }, environment).has_error());
}
