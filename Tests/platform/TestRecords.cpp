#include <gtest/gtest.h>
#include <platform/Records.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace {

using namespace std::chrono_literals;

Core::Result<State::ServiceConfig> configuration(std::string_view text)
{
    return UsersPlatform::storeCodec().decodeConfiguration(text);
}

}

TEST(PlatformRecords, AConfigurationWithSharesAndEngines)
{
    State::ServiceConfig config = configuration(R"({"version":9,"routes":[{"name":"r","host":"h","path_prefix":"/p/","kind":"stream","timeout_ms":6000,"goal_ms":600,"priority":2,
        "traffic_split":[{"service":"a","weight":90},{"service":"b","weight":10}],"max_attempts":1,"resumable":false,"gap_target_ms":150}],
        "services":[{"name":"a","engine":{"slots":64,"kv_cap_tokens":554218,"stage_switch_s":3.0,"kv_hold_s":5.5}},{"name":"b"}],
        "limits":{"max_header_bytes":1000,"max_body_bytes":2000,"header_timeout_ms":3000,"idle_timeout_ms":15000}})")
                                      .value();
    EXPECT_EQ(config.version, 9U);
    State::EntryRoute const& route = config.routes.all().front();
    EXPECT_EQ(route.shares.size(), 2U);
    EXPECT_EQ(route.shares[0].weight, 90);
    EXPECT_TRUE(route.isStreamed);
    EXPECT_FALSE(route.isRepeatable);
    EXPECT_EQ(route.longestPause, 150ms);
    EXPECT_EQ(config.find("a")->engine->kvHold, 5500ms);
    EXPECT_FALSE(config.find("b")->engine);
    EXPECT_EQ(config.limits.headBytes, 1000U);
    EXPECT_EQ(config.limits.idleTimeout, 15s);
}

TEST(PlatformRecords, AnUnusableConfigurationSaysWhatIsMissing)
{
    for (std::string_view text : { "", "[]", "{}", R"({"version":0,"routes":[],"services":[]})", R"({"version":1,"routes":[]})", R"({"version":1,"routes":[1],"services":[]})",
             R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/p/","kind":"safe","timeout_ms":5}],"services":[]})",
             R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/p/","kind":"safe","service":"a"}],"services":[]})",
             R"({"version":1,"routes":[{"name":"r","path_prefix":"/p/","kind":"safe","timeout_ms":5,"service":"a"}],"services":[]})" }) {
        Core::Result<State::ServiceConfig> config = configuration(text);
        ASSERT_TRUE(config.has_error()) << text;
        EXPECT_EQ(config.error().code, Core::ErrorCode::BadInput);
        EXPECT_FALSE(config.error().message.empty());
    }
}

// Guards against a configuration whose numbers overflow clocks and counters, and which replaces a good one.
TEST(PlatformRecords, ANumberThatIsTooLargeOrNoneAtAllMakesAConfigurationUnusable)
{
    std::string const sound = R"({"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/p/","kind":"safe","timeout_ms":5000,"goal_ms":1,"max_attempts":2,"priority":1,"service":"a"}],"services":[{"name":"a","engine":{"slots":64,"kv_cap_tokens":5,"kv_hold_s":5.5}}],"limits":{"max_body_bytes":2000,"header_timeout_ms":3000},"tenants":[{"name":"t","api_keys":["k"],"priority":null}]})";
    ASSERT_TRUE(configuration(sound).has_value());
    std::vector<std::string> const fields { R"("timeout_ms":5000)", R"("goal_ms":1)", R"("max_attempts":2)", R"("priority":1)", R"("slots":64)", R"("kv_cap_tokens":5)", R"("kv_hold_s":5.5)", R"("max_body_bytes":2000)", R"("header_timeout_ms":3000)" };
    for (std::string const& field : fields) {
        for (std::string_view value : { "1e300", "4294967296000", "18446744073709551616", "-1", "[]", R"("5")" }) {
            std::string text = sound;
            std::size_t valueAt = field.find(':') + 1;
            text.replace(text.find(field) + valueAt, field.size() - valueAt, value);
            EXPECT_TRUE(configuration(text).has_error()) << text;
        }
    }
}

TEST(PlatformRecords, ATargetsEntry)
{
    Daemon::StoreCodec codec = UsersPlatform::storeCodec();
    Platform::ListedTarget target = codec.decodeTarget("i-1", R"({"service":"llm","addr":"10.1.2.3:80","zone":"z","version":"v1","slots":64,"state":"draining","cold_left_ms":0,"stage":"decode","seq":4,"born":1733190000123})").value();
    EXPECT_EQ(target.id, "i-1");
    EXPECT_EQ(target.bornAtMs, 1733190000123U);
    EXPECT_EQ(target.slots, 64U);
    EXPECT_TRUE(target.isLeaving);
    EXPECT_EQ(target.role, Routing::TargetRole::Decode);
    Platform::ListedTarget plain = codec.decodeTarget("i-2", R"({"service":"app","addr":"10.1.2.3:80","zone":"z","slots":6,"state":"ready"})").value();
    EXPECT_FALSE(plain.role);
    EXPECT_EQ(plain.bornAtMs, 0U);
}

// Guards against a target whose id cannot be sent in the field that names the target.
TEST(PlatformRecords, AnEntryUnderAKeyThatIsNoNameNamesNoTarget)
{
    Daemon::StoreCodec codec = UsersPlatform::storeCodec();
    for (std::string const& key : { std::string(), std::string("a b"), std::string("a\r\nX-Other: 1"), std::string(200'000, 'x') })
        EXPECT_TRUE(codec.decodeTarget(key, R"({"service":"app","addr":"10.1.2.3:80","zone":"z","slots":6,"state":"ready"})").has_error());
}

// Guards against a version that fits no header field or datagram, and against two of them that are taken for one.
TEST(PlatformRecords, AVersionThatIsNoNameIsReplacedByItsDigest)
{
    Daemon::StoreCodec codec = UsersPlatform::storeCodec();
    std::set<std::string> releases;
    for (std::string const& version : { std::string("\"v 1\""), std::string(R"("v\u000d\u000a1")"), "\"" + std::string(200'000, 'x') + "\"", "\"" + std::string(200'001, 'x') + "\"", std::string(R"([[["v"]]])") }) {
        Core::Result<Platform::ListedTarget> target = codec.decodeTarget("i", R"({"service":"app","addr":"10.1.2.3:80","zone":"z","slots":6,"state":"ready","version":)" + version + "}");
        ASSERT_TRUE(target.has_value()) << version.substr(0, 20);
        EXPECT_LT(target.value().release.size(), 100U);
        releases.insert(target.value().release);
    }
    EXPECT_EQ(releases.size(), 5U);
}

// Any writer may put an entry there: fields that are missing or of another type, states that are not known, no JSON at all.
TEST(PlatformRecords, AnEntryWithAnythingMissingOrUnknownNamesNoTarget)
{
    Daemon::StoreCodec codec = UsersPlatform::storeCodec();
    std::string const good = R"({"service":"llm","addr":"10.1.2.3:80","zone":"z","slots":64,"state":"ready","stage":"decode","born":5})";
    ASSERT_TRUE(codec.decodeTarget("i", good).has_value());
    std::vector<std::pair<std::string, std::string>> const changes {
        { R"("service":"llm",)", "" },
        { R"("llm")", "7" },
        { R"("llm")", R"("")" },
        { R"("addr":"10.1.2.3:80",)", "" },
        { "10.1.2.3:80", "nowhere" },
        { "10.1.2.3:80", "10.1.2.3:0" },
        { "10.1.2.3:80", "10.1.2.3:65536" },
        { "10.1.2.3:80", "10.1.2.3:99999999999999999999" },
        { "10.1.2.3:80", "0.0.0.0:80" },
        { "10.1.2.3:80", "255.255.255.255:80" },
        { "10.1.2.3:80", "224.0.0.1:80" },
        { R"("llm")", R"("l\u000d\u000am")" },
        { R"("llm")", "\"" + std::string(200'000, 'x') + "\"" },
        { R"("z")", "\"" + std::string(200'000, 'x') + "\"" },
        { "64", "18446744073709551616" },
        { "64", "1e400" },
        { "5}", R"(5,"version":)" + std::string(100, '[') + std::string(100, ']') + "}" },
        { R"("zone":"z",)", "" },
        { R"("z")", "null" },
        { R"("slots":64,)", "" },
        { "64", R"("64")" },
        { "64", "-1" },
        { "64", "0" },
        { "64", "6.5" },
        { "64", "99999999999" },
        { R"("state":"ready",)", "" },
        { "ready", "asleep" },
        { R"("ready")", "true" },
        { "decode", "both" },
        { R"("decode")", "{}" },
        { "5}", "5.5}" },
        { "5}", R"("5"})" },
        { "5}", "-5}" },
        { "}", "" },
    };
    for (std::pair<std::string, std::string> const& it : changes) {
        std::string entry = good;
        entry.replace(entry.find(it.first), it.first.size(), it.second);
        Core::Result<Platform::ListedTarget> target = codec.decodeTarget("i", entry);
        ASSERT_TRUE(target.has_error()) << entry;
        EXPECT_EQ(target.error().code, Core::ErrorCode::BadInput) << entry;
        EXPECT_FALSE(target.error().message.empty());
    }
}

RC_GTEST_PROP(PlatformRecords, NoBytesOfAnEntryDoHarm, ())
{
    Daemon::StoreCodec codec = UsersPlatform::storeCodec();
    std::string entry = R"({"service":"llm","addr":"10.1.2.3:80","zone":"z","slots":64,"state":"ready","stage":"decode","born":5})";
    int changes = *rc::gen::inRange(1, 6);
    for (int n = 0; n < changes; ++n) {
        std::size_t at = *rc::gen::inRange<std::size_t>(0, entry.size());
        if (*rc::gen::arbitrary<bool>())
            entry[at] = *rc::gen::arbitrary<char>();
        else
            entry.erase(at, *rc::gen::inRange<std::size_t>(1, 9));
        if (entry.empty())
            break;
    }
    Core::Result<Platform::ListedTarget> target = codec.decodeTarget("i", entry);
    if (target.has_value())
        RC_ASSERT((target.value().slots > 0 && !target.value().service.empty() && !target.value().availabilityZone.empty()));
}
