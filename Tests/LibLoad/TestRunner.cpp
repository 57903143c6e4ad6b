#include <LibLoad/Runner.h>
#include <LibStandIn/EngineApi.h>
#include <gtest/gtest.h>

namespace {

using Load::Ending;

class RunnerTest : public testing::Test {
protected:
    RunnerTest()
    {
        StandIn::EngineApiSettings settings;
        settings.engine.configuration.model = "m";
        settings.engine.prefillTokensPerSecond = settings.engine.decodeTokensPerSecond = settings.engine.streamTokensPerSecond = 1e7;
        m_engine = StandIn::EngineApi::create(m_context, settings).value();
        boost::asio::ip::tcp::endpoint any(boost::asio::ip::address_v4::loopback(), 0);
        m_server = StandIn::listen(m_context, any, m_engine).value();
        m_run.sides = { { "a", { { any.address(), m_server->port() } } } };
        m_run.model = "m";
        m_run.plan.requestsPerSecond = 10000;
        m_run.plan.limit = 60;
        m_run.plan.phaseTime = std::chrono::milliseconds(3);
    }

    std::vector<Load::Summary> run()
    {
        std::shared_ptr<Load::Runner> runner = Load::Runner::create(m_context, m_run);
        bool isDone = false;
        runner->onDone = [&] { isDone = true; };
        Load::Runner::start(runner);
        while (!isDone)
            m_context.run_one();
        return runner->summaries();
    }

    boost::asio::io_context m_context { 1 };
    std::shared_ptr<StandIn::EngineApi> m_engine;
    std::unique_ptr<Http::Server> m_server;
    Load::RunSettings m_run;
};

}

TEST_F(RunnerTest, AllAnswersAreWholeStreamedOrNotTimedOrInTurn)
{
    for (bool isStreamed : { true, false }) {
        for (std::size_t workers : { 0, 3 }) {
            m_run.isStreamed = isStreamed;
            m_run.workers = workers;
            EXPECT_EQ(run().front().count(Ending::Whole), 60U);
        }
    }
}

TEST_F(RunnerTest, SidesTakeTurns)
{
    m_run.sides.push_back(m_run.sides.front());
    std::vector<Load::Summary> summaries = run();
    EXPECT_EQ(summaries[0].count(Ending::Whole), 30U);
    EXPECT_EQ(summaries[1].count(Ending::Whole), 30U);
}

TEST_F(RunnerTest, CutAndRefusedAnswersAreCounted)
{
    m_engine->core().faults().cutAfterEvents = 20;
    Load::Summary cut = run().front();
    EXPECT_GT(cut.count(Ending::Cut), 0U) << "the short questions, of 64 tokens each";
    EXPECT_EQ(cut.count(Ending::Whole) + cut.count(Ending::Cut), 60U);
    EXPECT_TRUE(cut.hasBadAnswers());
    m_engine->core().faults() = {};
    m_engine->core().faults().refuses = true;
    EXPECT_EQ(run().front().count(Ending::NotRun), 60U);
}

TEST_F(RunnerTest, WhatIsDueBeyondTheOpenLimitIsCounted)
{
    m_engine->core().faults().delayMs = 20;
    m_run.openLimit = 5;
    Load::Summary summary = run().front();
    EXPECT_LT(summary.sent(), 60U);
    EXPECT_EQ(summary.toJson(std::chrono::seconds(1)).at("unsent").to_number<std::uint64_t>(), 60U - summary.sent());
    EXPECT_EQ(summary.count(Ending::Whole), summary.sent());
}
