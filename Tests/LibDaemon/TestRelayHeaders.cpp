#include <LibDaemon/RelayHeaders.h>
#include <gtest/gtest.h>

TEST(RelayHeaders, AreReadAsWrittenAndRemoved)
{
    Http::Fields fields;
    Daemon::writeRelayAttempts(fields, { 2, { "i-1", "i-2" } });
    EXPECT_EQ(Daemon::takeRelayAttempts(fields), (Daemon::RelayAttempts { 2, { "i-1", "i-2" } }));
    EXPECT_EQ(Daemon::takeRelayAttempts(fields), std::nullopt);
}

TEST(RelayHeaders, ANumberThatCannotBeReadAllowsOneAttempt)
{
    for (char const* text : { "", "-1", "two", "4294967296", "3 " }) {
        Http::Fields fields;
        fields.set("Currantvale-Relay-Attempts", text);
        EXPECT_EQ(Daemon::takeRelayAttempts(fields)->attempts, 1U) << text;
    }
}

TEST(RelayHeaders, APeerThatSentNothingSaysSo)
{
    Http::Fields fields;
    Daemon::writeRelayAttempts(fields, {});
    EXPECT_EQ(Daemon::takeRelayAttempts(fields), Daemon::RelayAttempts {});
}

TEST(RelayHeaders, ANameThatWouldBreakTheHeaderIsLeftOut)
{
    Http::Fields fields;
    Daemon::writeRelayAttempts(fields, { 1, { "a\r\nX: 1", "b,c", "", "i-3" } });
    EXPECT_EQ(Daemon::takeRelayAttempts(fields)->triedTargets, std::vector<std::string> { "i-3" });
}
