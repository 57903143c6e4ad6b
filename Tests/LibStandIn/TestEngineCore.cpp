#include <LibStandIn/EngineCore.h>
#include <LibStandIn/ExpectedText.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using StandIn::EngineCore;
using std::chrono::milliseconds;
using Time = EngineCore::Time;

constexpr Time start { std::chrono::hours(1) };

StandIn::EngineSettings settings()
{
    StandIn::EngineSettings it;
    it.configuration.model = "m";
    it.prefillTokensPerSecond = 1000;
    it.decodeTokensPerSecond = 100;
    it.streamTokensPerSecond = 50;
    it.maximumRunning = 2;
    it.kvCapacityTokens = 10000;
    it.changeTime = milliseconds(1000);
    it.loadLag = milliseconds(100);
    return it;
}

EngineCore engine(StandIn::EngineSettings const& it = settings())
{
    return EngineCore::create(it, start).value();
}

StandIn::EngineRequest request(std::string id, std::size_t promptTokens = 100, std::uint64_t tokens = 10)
{
    return { .id = id, .prompt = std::string(promptTokens * 4, id[0]), .maximumTokens = tokens };
}

StandIn::EngineOrder roleOrder(std::uint64_t fencing, StandIn::Role role)
{
    return { .fencing = fencing, .role = role };
}

}

TEST(ExpectedText, IsAFunctionOfPromptAndIndex)
{
    EXPECT_EQ(StandIn::expectedText("a", 3), StandIn::expectedText("a", 2) + StandIn::answerToken(StandIn::answerSeed("a"), 2));
    EXPECT_NE(StandIn::expectedText("a", 3), StandIn::expectedText("b", 3));
    EXPECT_EQ(StandIn::countTokens("12345"), 2U);
}

TEST(EngineCore, SettingsOutOfRangeAreRefused)
{
    for (double rate : { 0.0, -1.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity() }) {
        StandIn::EngineSettings it = settings();
        it.decodeTokensPerSecond = rate;
        EXPECT_EQ(EngineCore::create(it, start).error().code, Core::ErrorCode::BadInput);
    }
}

TEST(EngineCore, TokensComeAtTheRatesOfPrefillAndDecode)
{
    EngineCore it = engine();
    ASSERT_TRUE(it.start(request("a"), start));
    it.advance(start + milliseconds(99));
    EXPECT_EQ(it.find("a")->tokens, 0U);
    it.advance(start + milliseconds(101));
    EXPECT_EQ(it.find("a")->tokens, 1U);
    it.advance(start + milliseconds(100 + 101));
    EXPECT_EQ(it.find("a")->tokens, 6U);
    it.advance(start + milliseconds(100 + 181));
    EXPECT_TRUE(it.find("a")->isFinished);
    EXPECT_FALSE(it.nextDeadline());
}

TEST(EngineCore, RunningRequestsAreBoundedAndPriorityGoesFirst)
{
    EngineCore it = engine();
    for (char const* id : { "a", "b", "c" })
        ASSERT_TRUE(it.start(request(id), start));
    StandIn::EngineRequest urgent = request("d");
    urgent.priority = 0;
    ASSERT_TRUE(it.start(urgent, start));
    EXPECT_EQ(it.currentLoad().running, 2U);
    EXPECT_EQ(it.currentLoad().waitingPromptTokens, 200U);
    it.advance(start + milliseconds(1500));
    EXPECT_TRUE(it.find("d")->isFinished);
    it.advance(start + milliseconds(10000));
    EXPECT_TRUE(it.find("c")->isFinished);
    EXPECT_EQ(it.currentLoad().kvUsedTokens, 0U);
}

TEST(EngineCore, CachedPrefixShortensThePrefillAndIsPublishedLate)
{
    EngineCore it = engine();
    ASSERT_TRUE(it.start(request("a1", 128), start));
    EXPECT_TRUE(it.cache().events(0, start + milliseconds(99)).empty());
    EXPECT_EQ(it.cache().events(0, start + milliseconds(100)).size(), 2U);
    Time later = start + milliseconds(1000);
    ASSERT_TRUE(it.start(request("a2", 128), later));
    it.advance(later + milliseconds(2));
    EXPECT_EQ(it.find("a2")->tokens, 1U);
}

TEST(EngineCore, FullCacheEvictsTheOldestAndReadersSeeTheEvents)
{
    StandIn::PromptCache cache(128, milliseconds(0));
    EXPECT_EQ(cache.use(std::string(256, 'a'), start), 0U);
    EXPECT_EQ(cache.use(std::string(256, 'b'), start), 0U);
    EXPECT_EQ(cache.use(std::string(256, 'a'), start), 64U);
    EXPECT_EQ(cache.use(std::string(256, 'c'), start), 0U);
    EXPECT_EQ(cache.use(std::string(256, 'b'), start), 0U);
    EXPECT_EQ(cache.nextEvent(start), 6U);
    EXPECT_FALSE(cache.events(2, start).at(0).isStored);
}

TEST(EngineCore, CancelEndsARequestAndRefusesOneThatArrivesLater)
{
    EngineCore it = engine();
    ASSERT_TRUE(it.start(request("a"), start));
    EXPECT_EQ(it.cancel("a", start + milliseconds(150)), StandIn::CancelOutcome::Canceled);
    EXPECT_EQ(it.currentLoad().running, 0U);
    EXPECT_EQ(it.cancel("b", start), StandIn::CancelOutcome::Unknown);
    EXPECT_EQ(it.start(request("b"), start).error().code, Core::ErrorCode::Unavailable);
    ASSERT_TRUE(it.start(request("c"), start + milliseconds(200)));
    it.advance(start + milliseconds(5000));
    EXPECT_EQ(it.cancel("c", start + milliseconds(5000)), StandIn::CancelOutcome::Finished);
    EXPECT_EQ(it.start(request("c"), start + milliseconds(5000)).error().code, Core::ErrorCode::Conflict);
}

TEST(EngineCore, OrderDrainsThenChangesThenServes)
{
    EngineCore it = engine();
    ASSERT_TRUE(it.start(request("a"), start));
    ASSERT_TRUE(it.order(roleOrder(1, StandIn::Role::Prefill), start));
    EXPECT_EQ(it.control().phase(), StandIn::Phase::Draining);
    EXPECT_EQ(it.start(request("b"), start).error().code, Core::ErrorCode::Unavailable);
    it.advance(start + milliseconds(300));
    EXPECT_TRUE(it.find("a")->isFinished);
    EXPECT_EQ(it.control().phase(), StandIn::Phase::Changing);
    it.advance(start + milliseconds(1300));
    EXPECT_EQ(it.control().phase(), StandIn::Phase::Serving);
    EXPECT_EQ(it.control().configuration().role, StandIn::Role::Prefill);
    EXPECT_EQ(it.start(request("c"), start).error().code, Core::ErrorCode::Unavailable);
    StandIn::EngineRequest prefill = request("d");
    prefill.isPrefillOnly = true;
    ASSERT_TRUE(it.start(prefill, start + milliseconds(1300)));
    it.advance(start + milliseconds(1500));
    ASSERT_TRUE(it.find("d")->isFinished);
    EXPECT_EQ(it.exportedTokens(it.exportCache("d")), 100U);
    ASSERT_TRUE(it.order(roleOrder(1, StandIn::Role::Prefill), start + milliseconds(1500)));
    EXPECT_EQ(it.control().phase(), StandIn::Phase::Serving) << "the same state again is a no-op";
}

TEST(EngineCore, DecodeRoleTakesImportedCacheOnly)
{
    StandIn::EngineSettings decode = settings();
    decode.configuration.role = StandIn::Role::Decode;
    EngineCore it = engine(decode);
    EXPECT_EQ(it.start(request("a"), start).error().code, Core::ErrorCode::Unavailable);
    StandIn::EngineRequest imported = request("a");
    imported.hasImportedCache = true;
    ASSERT_TRUE(it.start(imported, start));
    it.advance(start + milliseconds(21));
    EXPECT_EQ(it.find("a")->tokens, 1U);
}

TEST(EngineControl, OnlyEnginesThatCheckRefuseAnOldNumber)
{
    for (bool checks : { true, false }) {
        StandIn::EngineControl it({ .model = "m" }, checks, milliseconds(10));
        ASSERT_TRUE(it.order({ .fencing = 18 }));
        EXPECT_EQ(it.order(roleOrder(17, StandIn::Role::Decode)).has_error(), checks);
        EXPECT_EQ(it.phase() == StandIn::Phase::Serving, checks);
        EXPECT_EQ(it.fencing(), checks ? 18U : 0U);
    }
}

TEST(EngineControl, ChangeOfWeightsWaitsForTheStoreAndMayCrash)
{
    StandIn::EngineControl it({ .model = "m" }, false, milliseconds(1000));
    it.usesWeightStore = true;
    it.crashesDuringChange = true;
    ASSERT_TRUE(it.order({ .version = "2" }));
    it.advance(true, start);
    EXPECT_TRUE(it.isWaitingForWeights());
    it.advance(true, start + milliseconds(5000));
    EXPECT_FALSE(it.hasCrashed());
    it.grantWeights(start + milliseconds(5000));
    it.advance(true, start + milliseconds(5499));
    EXPECT_FALSE(it.hasCrashed());
    it.advance(true, start + milliseconds(5500));
    EXPECT_TRUE(it.hasCrashed());
}

RC_GTEST_PROP(EngineCore, EveryAcceptedRequestEndsInFullWhateverTheStepsOfTime, ())
{
    EngineCore it = engine();
    Time now = start;
    std::vector<std::string> accepted;
    int n = *rc::gen::inRange(1, 30);
    for (int i = 0; i < n; ++i) {
        StandIn::EngineRequest next = request(std::to_string(i), *rc::gen::inRange<std::size_t>(1, 300), *rc::gen::inRange<std::uint64_t>(1, 50));
        next.priority = *rc::gen::inRange(0U, 10U);
        if (it.start(next, now))
            accepted.push_back(next.id);
        if (*rc::gen::inRange(0, 5) == 0)
            (void)it.order(roleOrder(1, *rc::gen::element(StandIn::Role::Mixed, StandIn::Role::Prefill)), now);
        now += milliseconds(*rc::gen::inRange(0, 400));
        it.advance(now);
        RC_ASSERT(it.currentLoad().running <= 2U);
    }
    int steps = 0;
    while (std::optional<Time> deadline = it.nextDeadline()) {
        it.advance(*deadline);
        RC_ASSERT(++steps < 20000);
    }
    for (std::string const& id : accepted) {
        RC_ASSERT(it.find(id)->isFinished);
        RC_ASSERT(it.find(id)->tokens == it.find(id)->maximumTokens);
    }
    RC_ASSERT(it.currentLoad().kvUsedTokens == 0U);
    RC_ASSERT(it.currentLoad().waitingPromptTokens == 0U);
}
