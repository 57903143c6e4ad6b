#include <LibModel/Engine.h>
#include <gtest/gtest.h>

namespace {

using Model::Engine;
using Model::Job;
using Model::Time;
using Routing::TargetRole;

Job makeJob(std::uint32_t promptTokens, std::uint32_t outputTokens)
{
    Job job;
    job.promptTokens = promptTokens;
    job.outputTokens = outputTokens;
    return job;
}

// Runs the engine until it is idle; returns the events in their order.
std::vector<Engine::Event> runOut(Engine& engine, Time& now)
{
    std::vector<Engine::Event> events;
    while (std::optional<Time> end = engine.start(now)) {
        now = *end;
        engine.finish(now, events);
    }
    return events;
}

double seconds(Time time)
{
    return std::chrono::duration<double>(time.time_since_epoch()).count();
}

}

TEST(Engine, PrefillTakesItsTimeAndHandsTheCacheOver)
{
    Engine engine({}, TargetRole::Prefill);
    Job job = makeJob(8000, 100);
    engine.enqueue(job);
    Time now {};
    std::vector<Engine::Event> events = runOut(engine, now);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].happening, Engine::Happening::PrefillDone);
    EXPECT_FALSE(job.hasFirstToken);
    // 8,000 tokens at 8,000 a second in four chunks of 12 ms overhead each.
    EXPECT_NEAR(seconds(now), 1.048, 1e-6);
}

TEST(Engine, PromptsBesideRunningRequestsSlowTheirTokens)
{
    Engine mixed({}, TargetRole::Mixed);
    Job quiet = makeJob(100, 100);
    mixed.enqueue(quiet);
    Time now {};
    runOut(mixed, now);
    EXPECT_EQ(quiet.slowTokens, 0U);

    Job running = makeJob(100, 100);
    mixed.enqueue(running);
    std::vector<Engine::Event> events;
    now = *mixed.start(now);
    mixed.finish(now, events);
    Job disturbing = makeJob(5120, 2);
    mixed.enqueue(disturbing);
    runOut(mixed, now);
    // Twenty chunks of 256 tokens.
    EXPECT_EQ(running.slowTokens, 20U);
}

TEST(Engine, UrgentRequestsPassQueuedOnes)
{
    Engine engine({}, TargetRole::Prefill);
    Job first = makeJob(4000, 1);
    Job second = makeJob(4000, 1);
    Job urgent = makeJob(4000, 1);
    urgent.priority = 1;
    engine.enqueue(first);
    engine.enqueue(second);
    Time now {};
    std::vector<Engine::Event> events;
    now = *engine.start(now);
    engine.finish(now, events);
    engine.enqueue(urgent);
    for (Engine::Event const& it : runOut(engine, now))
        events.push_back(it);
    ASSERT_EQ(events.size(), 3U);
    EXPECT_EQ(events[0].job, &first);
    EXPECT_EQ(events[1].job, &urgent);
    EXPECT_EQ(events[2].job, &second);
}

TEST(Engine, CachedPrefixesAreNotComputedAgainAndOldOnesGo)
{
    Model::EngineSettings settings;
    settings.cacheCapacityTokens = 2000;
    Engine engine(settings, TargetRole::Prefill);
    Time now {};
    auto run = [&](std::uint64_t prefix) {
        Job job = makeJob(1500, 1);
        job.prefixHash = prefix;
        job.prefixTokens = 1000;
        engine.enqueue(job);
        runOut(engine, now);
        return job.cachedTokens;
    };
    EXPECT_EQ(run(1), 0U);
    EXPECT_EQ(run(1), 1000U);
    run(2);
    run(3);
    EXPECT_EQ(run(3), 1000U);
    EXPECT_EQ(run(1), 0U);
    engine.setRole(TargetRole::Mixed);
    EXPECT_EQ(run(1), 0U);
}

TEST(Engine, ReportCountsWhatWaitsUntilItIsDone)
{
    Engine engine({}, TargetRole::Prefill);
    Job job = makeJob(4096, 1);
    engine.enqueue(job);
    EXPECT_EQ(engine.report({}).waiting, 1U);
    EXPECT_EQ(engine.report({}).waitingPromptTokens, 4096U);
    Time end = *engine.start({});
    EXPECT_EQ(engine.report({}).waitingPromptTokens, 4096U);
    std::vector<Engine::Event> events;
    engine.finish(end, events);
    EXPECT_EQ(engine.report(end).waitingPromptTokens, 2048U);
    EXPECT_EQ(engine.report(end).running, 1U);
}

TEST(Engine, ACrashGivesAllItsRequestsBack)
{
    Engine engine({}, TargetRole::Mixed);
    std::vector<Job> jobs(40, makeJob(300, 200));
    for (Job& it : jobs)
        engine.enqueue(it);
    Time now {};
    std::vector<Engine::Event> events;
    for (int i = 0; i < 10; ++i) {
        now = *engine.start(now);
        engine.finish(now, events);
    }
    std::vector<Job*> lost;
    engine.crash(lost);
    EXPECT_EQ(lost.size(), 40U);
    EXPECT_TRUE(engine.isIdle());
    EXPECT_EQ(engine.report(now).kvUsedTokens, 0U);
}
