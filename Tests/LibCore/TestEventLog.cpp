#include <LibCore/EventLog.h>
#include <gtest/gtest.h>
#include <thread>
#include <vector>

TEST(EventLog, LineNamesEventAndQuotesValues)
{
    std::string line = Core::formatEvent(Core::Event::RouteDecided, { { "target", "a-1" }, { "why", "least \"load\"\nhere" } });
    EXPECT_EQ(line, "event=2001 name=route-decided target=a-1 why=\"least \\\"load\\\" here\"");
}

// Guards against values from outside that end a line, steer a terminal, or fill the log.
TEST(EventLog, AValueIsShortAndHasNoControlCharacters)
{
    std::string line = Core::formatEvent(Core::Event::RouteDecided, { { "target", "a\x1b[2J\nb" } });
    EXPECT_EQ(line, "event=2001 name=route-decided target=\"a [2J b\"");
    EXPECT_LT(Core::formatEvent(Core::Event::RouteDecided, { { "target", std::string(200'000, 'x') } }).size(), 5'000U);
}

TEST(EventLog, EachEventHasOneName)
{
    for (std::pair<Core::Event, std::string_view> const& it : Core::eventNames)
        EXPECT_EQ(Core::valueOf(Core::eventNames, it.second), it.first);
}

TEST(EventLog, ThreadsMayLogTogether)
{
    Core::startEventLog(Core::Severity::Error);
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([] {
            for (int n = 0; n < 100; ++n)
                Core::logEvent(Core::Severity::Info, Core::Event::RouteDecided, { { "n", std::to_string(n) } });
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    EXPECT_FALSE(Core::isLogged(Core::Severity::Info));
    EXPECT_TRUE(Core::isLogged(Core::Severity::Error));
}
