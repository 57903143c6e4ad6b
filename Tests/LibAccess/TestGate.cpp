#include <LibAccess/Gate.h>
#include <gtest/gtest.h>

namespace {

using namespace std::chrono_literals;
using Access::Verdict;

class Gate : public testing::Test {
protected:
    Verdict judge(std::vector<std::string_view> const& keys, std::optional<std::chrono::milliseconds> age, bool isPublicRoute = false) const
    {
        return Access::judge(m_organisations.get(), { keys, isPublicRoute, age }, m_settings).verdict;
    }

    Access::GateSettings m_settings { 2s, false, 5s };
    std::shared_ptr<Access::Organisations const> m_organisations = Access::Organisations::create({ { "a", std::nullopt, { Access::KeyDigest::of("k") } } }).value();
};

}

TEST_F(Gate, OneKnownKeyIsAllowed)
{
    EXPECT_EQ(judge({ "k" }, 100ms), Verdict::Allowed);
    EXPECT_EQ(judge({ "other" }, 100ms), Verdict::Unknown);
    EXPECT_EQ(judge({}, 100ms), Verdict::Missing);
    EXPECT_EQ(judge({ "" }, 100ms), Verdict::Missing);
    EXPECT_EQ(judge({ "k", "k" }, 100ms), Verdict::Missing);
    EXPECT_EQ(judge({}, 100ms, true), Verdict::NotAsked);
    EXPECT_EQ(Access::judge(nullptr, {}, m_settings).verdict, Verdict::NotAsked);
}

// Guards against a daemon with an old copy that denies a key which was added meanwhile.
TEST_F(Gate, AnOldConfigurationRefusesNobodyForGood)
{
    for (std::optional<std::chrono::milliseconds> age : { std::optional<std::chrono::milliseconds>(2'001ms), std::optional<std::chrono::milliseconds>() }) {
        EXPECT_EQ(judge({ "other" }, age), Verdict::NotKnownYet);
        EXPECT_EQ(judge({}, age), Verdict::NotKnownYet);
        EXPECT_EQ(judge({ "k" }, age), Verdict::Allowed);
    }
    EXPECT_EQ(judge({ "other" }, 2'000ms), Verdict::Unknown);
}

// Guards against a key that was taken away and lives on at a daemon that is cut off from the store.
TEST_F(Gate, StrictDaemonsServeNoKeyByAnOldConfiguration)
{
    m_settings.isStrict = true;
    EXPECT_EQ(judge({ "k" }, 5'000ms), Verdict::Allowed);
    EXPECT_EQ(judge({ "k" }, 5'001ms), Verdict::NotKnownYet);
    EXPECT_EQ(judge({ "k" }, std::nullopt), Verdict::NotKnownYet);
    EXPECT_EQ(judge({}, std::nullopt, true), Verdict::NotAsked);
}

TEST_F(Gate, RefusalsSayNotRunAndWhatIsMissing)
{
    EXPECT_EQ(Access::errorOf(Verdict::Unknown).code, Core::ErrorCode::Unauthenticated);
    EXPECT_EQ(Access::errorOf(Verdict::Missing).code, Core::ErrorCode::Unauthenticated);
    EXPECT_EQ(Access::errorOf(Verdict::NotKnownYet).code, Core::ErrorCode::Unavailable);
    for (Verdict verdict : { Verdict::Unknown, Verdict::Missing, Verdict::NotKnownYet })
        EXPECT_EQ(Access::errorOf(verdict).verdict, Core::Verdict::NotRun);
}
