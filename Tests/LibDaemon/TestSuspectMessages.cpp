#include <LibDaemon/SuspectMessages.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace std::chrono_literals;

constexpr Quarantine::Time origin { 1'000s };

}

// Encoded times are ages, because clocks differ between daemons and the store outlives them.
TEST(SuspectMessages, AgesAreIndependentOfTheReadersClock)
{
    Quarantine::Suspect suspect;
    suspect.key = { 1, 0xabcdef };
    suspect.ends = { { { 7, "llm", "v1" }, origin - 3s, origin - 2s } };
    suspect.survivedAt = origin - 5s;
    std::string key = Request::toString(suspect.key);
    EXPECT_EQ(key, "0000000000abcdef0000000000000001");
    Quarantine::Time later = origin + 500s;
    Quarantine::Suspect read = Daemon::decodeSuspect(key, Daemon::encode(suspect, origin), later).value();
    EXPECT_EQ(read.key, suspect.key);
    ASSERT_EQ(read.ends.size(), 1U);
    EXPECT_EQ(read.ends[0].target, suspect.ends[0].target);
    EXPECT_EQ(read.ends[0].at, later - 2s);
    EXPECT_EQ(read.ends[0].begunAt, later - 3s);
    EXPECT_EQ(read.survivedAt, later - 5s);
}

TEST(SuspectMessages, OtherKeysAreRefused)
{
    for (std::string_view key : { "", "1", "0000000000abcdef000000000000000g", "0000000000abcdef00000000000000011" })
        EXPECT_EQ(Daemon::decodeSuspect(key, "", origin).error().code, Core::ErrorCode::Corrupt) << key;
}

RC_GTEST_PROP(SuspectMessages, ArbitraryBytesNeverDoHarm, (std::string const& bytes))
{
    Core::Result<Quarantine::Suspect> read = Daemon::decodeSuspect(std::string(32, '0'), bytes, origin);
    RC_ASSERT((read.has_value() || read.error().code == Core::ErrorCode::Corrupt));
}
