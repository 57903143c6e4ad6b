#include <LibDaemon/BeaconMessage.h>
#include <cmath>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

Platform::ListedDaemon makeDaemon()
{
    boost::asio::ip::address address = boost::asio::ip::make_address("10.1.2.3");
    return { "front-1", 77, "zone-a", "region-a", { address, 80 }, { address, 81 }, { address, 82 } };
}

}

TEST(BeaconMessage, ReadsWhatItWrites)
{
    Fleet::DaemonState state { true, true, true, 9, 12, std::chrono::milliseconds(1'300), std::nullopt, std::chrono::milliseconds(0), Fleet::Time(std::chrono::hours(100)) };
    Daemon::BeaconMessage beacon { makeDaemon(), 5, state, { { 3, { 0.25, 2, 900 } } }, { 3 }, { 4, 5 }, { { 3, 8, 2 } }, { { "llm", { 2.5, 120, 400'000 }, { { 0.25, 0.5, 0.125 }, 40, 0.0625 } } }, { { 9, 3 } }, std::chrono::milliseconds(700), { 21, 22 }, { { { 11, 12 }, Quarantine::SuspectTarget { 3, "llm", "v1" }, Fleet::Time(std::chrono::milliseconds(70)), Fleet::Time(std::chrono::milliseconds(90)) }, { { 13, 14 }, std::nullopt, Fleet::Time(), Fleet::Time(std::chrono::milliseconds(80)) } }, 99 };
    beacon.state.cannotHoldDuties = true;
    beacon.state.leaseClaimed = 18;
    beacon.changingTo = { { 4, Routing::TargetRole::Decode }, { 5, Routing::TargetRole::Prefill } };
    beacon.state.runningFor = std::chrono::seconds(40);
    beacon.state.startedAt = std::chrono::milliseconds(1'774'879'260'120);
    beacon.wallClock = std::chrono::milliseconds(1'774'879'300'123);
    beacon.usage = { { { 354, { { "org-a", 3 }, { "org-b", 1 } } }, { 355, {} } }, 355, 353 };
    beacon.sizedDemands = { { "llm", 12.5 } };
    beacon.rateLimits = { { 3, 4.5, std::chrono::milliseconds(250) }, { 4, std::nullopt, std::chrono::milliseconds(0) } };
    beacon.paths = { { "llm", 7, 2 }, { "app", 0, 3 } };
    beacon.placeDemands = { { "app", { { "org-a", 2.5 }, { "", 0.5 } } }, { "llm", {} } };
    beacon.paceSamples = { { 3, Routing::PaceKind::Prompt, 2, 5, 0.5, 0.75 }, { 4, Routing::PaceKind::Whole, 6, 1, 0.0625, 0.125 } };
    beacon.partUses = { { 9, 4 } };
    Daemon::BeaconMessage read = Daemon::decodeBeacon(Daemon::encode(beacon)).value();
    EXPECT_EQ(read.placeDemands, beacon.placeDemands);
    EXPECT_EQ(read.paceSamples, beacon.paceSamples);
    EXPECT_EQ(read.partUses, beacon.partUses);
    EXPECT_EQ(read.rateLimits, beacon.rateLimits);
    EXPECT_EQ(read.paths, beacon.paths);
    EXPECT_EQ(read.wallClock, beacon.wallClock);
    EXPECT_EQ(read.usage, beacon.usage);
    EXPECT_EQ(read.sizedDemands, beacon.sizedDemands);
    EXPECT_EQ(read.sender, beacon.sender);
    EXPECT_EQ(read.sequence, 5U);
    EXPECT_EQ(read.state, beacon.state);
    ASSERT_EQ(read.shares.size(), 1U);
    EXPECT_EQ(read.shares[0].work, beacon.shares[0].work);
    EXPECT_EQ(read.suspects, beacon.suspects);
    EXPECT_EQ(read.changing, beacon.changing);
    EXPECT_EQ(read.changingTo, beacon.changingTo);
    EXPECT_EQ(read.outcomes, beacon.outcomes);
    EXPECT_EQ(read.heldParts, beacon.heldParts);
    EXPECT_EQ(read.lapseGrace, beacon.lapseGrace);
    EXPECT_EQ(read.leaving, beacon.leaving);
    EXPECT_EQ(read.suspectNews, beacon.suspectNews);
    EXPECT_EQ(read.suspectDigest, 99U);
}

TEST(BeaconMessage, ABriefOneNamesItsSenderAndLeavesOutWhatHardlyChanges)
{
    Daemon::BeaconMessage beacon;
    beacon.sender = makeDaemon();
    beacon.sequence = 5;
    beacon.shares = { { 7, { 0.25, 2, 900 } } };
    beacon.services = { { "llm", { 2.5, 120, 400'000 }, { { 0.25, 0.5, 0.125 }, 40, 0.0625 } } };
    std::size_t fullSize = Daemon::encode(beacon).size();
    beacon.isBrief = true;
    std::string bytes = Daemon::encode(beacon);
    EXPECT_LT(bytes.size(), fullSize / 2);
    Daemon::BeaconMessage read = Daemon::decodeBeacon(bytes).value();
    EXPECT_TRUE(read.isBrief);
    EXPECT_EQ(read.sender.name, beacon.sender.name);
    EXPECT_EQ(read.sender.incarnation, beacon.sender.incarnation);
    ASSERT_EQ(read.shares.size(), 1U);
    EXPECT_EQ(read.shares[0].work, beacon.shares[0].work);
    EXPECT_TRUE(read.services.empty());
}

TEST(BeaconMessage, EntriesReportsAndClaims)
{
    Duties::UsageReport report { 354, { { "org-a", 3 }, { "org-b", 1 } } };
    EXPECT_EQ(Daemon::decodeUsageReport(Daemon::encode(report)).value(), report);
    EXPECT_EQ(Daemon::decodeListedDaemon("front-1", Daemon::encode(makeDaemon())).value(), makeDaemon());
    Authority::StoreLeaseHolder holder { "front-1", 77 };
    EXPECT_EQ(Daemon::decodeLeaseHolder(Daemon::encode(holder)).value(), holder);
}

RC_GTEST_PROP(BeaconMessage, ArbitraryBytesNeverDoHarm, (std::string const& bytes))
{
    Core::Result<Daemon::BeaconMessage> beacon = Daemon::decodeBeacon(bytes);
    bool isRefused = beacon.has_error() && !beacon.error().message.empty();
    RC_ASSERT(isRefused || beacon.has_value());
}

// A load that a daemon does not measure must not pass for an idle one, nor one that is no number for a load.
TEST(BeaconMessage, ALoadOfPromptsThatIsNotMeasuredStaysUnknown)
{
    Daemon::BeaconMessage beacon;
    beacon.sender = makeDaemon();
    beacon.services = { { "known", {}, {}, 2.5 }, { "unknown", {}, {}, std::nullopt }, { "bad", {}, {}, std::nan("") }, { "negative", {}, {}, -1 } };
    Core::Result<Daemon::BeaconMessage> decoded = Daemon::decodeBeacon(Daemon::encode(beacon));
    ASSERT_TRUE(decoded.has_value());
    ASSERT_EQ(decoded.value().services.size(), 2U);
    EXPECT_EQ(decoded.value().services[0].promptLoad, 2.5);
    EXPECT_FALSE(decoded.value().services[1].promptLoad);
}
