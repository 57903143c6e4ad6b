// How many targets the prompts of all daemons keep busy, while daemons come, die and tell nonsense.

#include <LibRouting/PromptLoad.h>
#include <cmath>
#include <gtest/gtest.h>
#include <limits>

namespace {

using namespace Routing;
using namespace std::chrono_literals;
using Time = PromptLoad::Time;

constexpr std::size_t daemonCount = 70;

// Daemons that send a prompt of a tenth of a second each tenth of a second keep one target busy each.
void play(std::vector<PromptLoad>& daemons, Time& now, std::chrono::milliseconds duration)
{
    for (Time end = now + duration; now < end; now += 100ms) {
        for (PromptLoad& it : daemons)
            it.note("llm", 0.1, now);
        for (std::size_t n = 1; n < daemons.size(); ++n)
            daemons.front().setPeer("llm", "daemon-" + std::to_string(n), daemons[n].own("llm", now), now);
    }
}

}

TEST(PromptLoad, SeventyDaemonsWithFewPromptsEachAreOneLoadAndADeadOnesPartLapses)
{
    std::vector<PromptLoad> daemons(daemonCount);
    Time now { 100s };
    play(daemons, now, 20s);
    EXPECT_NEAR(daemons.front().total("llm", now).value_or(0), daemonCount, 0.05 * daemonCount);
    daemons.resize(daemonCount / 2);
    play(daemons, now, 11s);
    EXPECT_NEAR(daemons.front().total("llm", now).value_or(0), daemonCount / 2.0, 0.05 * daemonCount);
    EXPECT_FALSE(daemons.front().total("other", now));
}

TEST(PromptLoad, ADaemonThatHasJustStartedOrIsTheFirstOfItsVersionTakesNoFleetForIdle)
{
    PromptLoad load;
    Time now { 100s };
    load.note("llm", 0.1, now);
    EXPECT_FALSE(load.total("llm", now + 1s));
    load.setPeer("llm", "a", 3, now + 3s);
    load.setPeer("llm", "b", std::nullopt, now + 3s);
    EXPECT_FALSE(load.total("llm", now + 5s));
    load.setPeer("llm", "b", 2, now + 6s);
    EXPECT_NEAR(load.total("llm", now + 7s).value_or(0), 5, 0.1);
}

TEST(PromptLoad, LoadsThatAreNoneSpoilNoSum)
{
    PromptLoad load;
    Time now { 100s };
    load.note("llm", 1e-9, now);
    load.setPeer("llm", "a", 3, now + 4s);
    for (double it : { std::nan(""), -1.0, std::numeric_limits<double>::infinity() })
        load.setPeer("llm", "b", it, now + 4s);
    EXPECT_NEAR(load.total("llm", now + 5s).value_or(0), 3, 1e-6);
}
