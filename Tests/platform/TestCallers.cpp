#include <gtest/gtest.h>
#include <platform/Adapters.h>
#include <platform/Callers.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace std::chrono_literals;

constexpr char const* configuration = R"({"version":7,"routes":[
    {"name":"histories","host":"a.example","path_prefix":"/h/","kind":"stream","timeout_ms":6000,"goal_ms":600,"priority":2,"service":"llm","max_attempts":1,"affinity":true,"resumable":false,"gap_target_ms":150},
    {"name":"rulings","host":"a.example","path_prefix":"/h/r/","kind":"stream","timeout_ms":4000,"goal_ms":500,"priority":1,"service":"llm","max_attempts":2,"affinity":true,"resumable":true,"gap_target_ms":150},
    {"name":"confirm","host":"a.example","path_prefix":"/c/","kind":"unsafe","timeout_ms":1000,"goal_ms":150,"priority":2,"service":"app","max_attempts":1},
    {"name":"look-up","host":"a.example","path_prefix":"/s/","kind":"safe","timeout_ms":1000,"goal_ms":150,"priority":2,"service":"app","max_attempts":2}],
    "services":[{"name":"llm","engine":{"slots":64,"kv_cap_tokens":1000,"stage_switch_s":3.0,"kv_hold_s":5.0}},{"name":"app"}]})";

Daemon::FleetSnapshot makeFleet()
{
    Daemon::FleetSnapshot fleet;
    State::ServiceConfig config = UsersPlatform::createAdapters().codec.decodeConfiguration(configuration).value();
    fleet.view = State::TargetView::create(State::toLabelConfig(config, 1).value(), {});
    fleet.services = std::make_shared<State::ServiceConfig const>(std::move(config));
    fleet.isReady = true;
    return fleet;
}

Http::Request makeRequest(std::string target, Http::Fields extra = {})
{
    Http::Request request { "POST", std::move(target), { { "Host", "a.example:8080" }, { "X-Request-Id", "r1" } }, "body" };
    for (Http::Fields::Entry const& entry : extra.entries())
        request.fields.set(entry.first, entry.second);
    return request;
}

Core::Result<Daemon::Work> parse(Http::Request const& request)
{
    return UsersPlatform::callerProtocol().parse(request, makeFleet(), {}, "own");
}

}

TEST(PlatformCallers, ReadsAPromptFromItsHeaders)
{
    Http::Fields fields { { "X-Token-Usage", "1460,80" }, { "X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250" }, { "X-Deadline-Ms", "5000" }, { "X-Length-Hint", "30" } };
    Daemon::Work work = parse(makeRequest("/h/x?y=1", fields)).value();
    EXPECT_EQ(work.requestId, "r1");
    EXPECT_EQ(work.kind, Daemon::Work::Kind::Model);
    EXPECT_EQ(work.name, "llm");
    EXPECT_EQ(work.priority, 2);
    EXPECT_EQ(work.timeout, 5000ms);
    EXPECT_EQ(work.firstPieceLimit, 2400ms);
    EXPECT_EQ(work.shape.promptTokens, 1460U);
    EXPECT_EQ(work.shape.sharedTokens, 1210U);
    EXPECT_EQ(work.shape.expectedOutputTokens, 30U);
    EXPECT_EQ(work.prefix.size(), 3U);
    EXPECT_EQ(work.sharedParts, (std::vector<std::uint64_t> { 0x5c1e07a2, 0x91bd3f06 })) << "the last part is the request's own";
    EXPECT_FALSE(work.isRepeatable);
    EXPECT_FALSE(work.mayContinue);
    EXPECT_EQ(work.upstream.target, "/h/x?y=1");
    EXPECT_EQ(work.upstream.fields.find("Host"), "a.example:8080");
}

TEST(PlatformCallers, SharedPartsHaveTheSameNameWhateverFollows)
{
    Daemon::Work one = parse(makeRequest("/h/x", { { "X-Prompt-Prefix", "a:800,b:410" } })).value();
    Daemon::Work other = parse(makeRequest("/h/x", { { "X-Prompt-Prefix", "a:800,c:99" } })).value();
    Daemon::Work elsewhere = parse(makeRequest("/h/x", { { "X-Prompt-Prefix", "b:800,a:410" } })).value();
    EXPECT_EQ(one.shape.prefixHash, other.shape.prefixHash);
    EXPECT_NE(one.prefix.back().hash, other.prefix.back().hash);
    EXPECT_NE(one.shape.prefixHash, elsewhere.shape.prefixHash);
}

TEST(PlatformCallers, WhatMayBeRepeatedFollowsFromTheRoute)
{
    EXPECT_TRUE(parse(makeRequest("/s/1")).value().isRepeatable);
    EXPECT_FALSE(parse(makeRequest("/c/1")).value().isRepeatable);
    Daemon::Work ruling = parse(makeRequest("/h/r/1")).value();
    EXPECT_TRUE(ruling.isRepeatable);
    EXPECT_TRUE(ruling.mayContinue);
    EXPECT_EQ(ruling.maxAttempts, 2U);
    // The route's own time is the most.
    EXPECT_EQ(parse(makeRequest("/c/1", { { "X-Deadline-Ms", "9000" } })).value().timeout, 1000ms);
}

TEST(PlatformCallers, WhatIsOursToSetGoesNoFurther)
{
    Http::Fields fields { { "X-Stage", "prefill" }, { "X-Kv-Source", "1.2.3.4:5/x" }, { "X-Kv-Hold", "h" }, { "X-Pin-Ms", "1" }, { "X-Kv-Backup", "b" }, { "X-Target-Instance", "i" },
        { "X-Request-Priority", "0" }, { "X-Expect-Version", "1" }, { "Connection", "X-Mine" }, { "X-Mine", "1" }, { "X-Other", "2" }, { "Last-Event-Id", "4" } };
    Http::Fields passed = parse(makeRequest("/h/x", fields)).value().upstream.fields;
    for (std::string_view name : { "X-Stage", "X-Kv-Source", "X-Kv-Hold", "X-Pin-Ms", "X-Kv-Backup", "X-Target-Instance", "X-Request-Priority", "X-Expect-Version", "Connection", "X-Mine" })
        EXPECT_FALSE(passed.find(name)) << name;
    EXPECT_EQ(passed.find("X-Other"), "2");
    EXPECT_EQ(passed.find("Last-Event-Id"), "4");
}

TEST(PlatformCallers, BadInputIsNotRunAndSaysWhatWasRead)
{
    std::vector<std::pair<std::string, std::string>> cases { { "X-Token-Usage", "12" }, { "X-Token-Usage", "a,b" }, { "X-Token-Usage", "-1,5" }, { "X-Prompt-Prefix", "xyz:5" },
        { "X-Prompt-Prefix", "ab" }, { "X-Prompt-Prefix", "ab:" }, { "X-Prompt-Prefix", ",ab:5" }, { "X-Deadline-Ms", "0" }, { "X-Deadline-Ms", "soon" }, { "X-Request-Id", "" } };
    for (std::pair<std::string, std::string> const& it : cases) {
        Core::Result<Daemon::Work> work = parse(makeRequest("/h/x", { { it.first, it.second } }));
        ASSERT_TRUE(work.has_error()) << it.first << ": " << it.second;
        EXPECT_EQ(work.error().code, Core::ErrorCode::BadInput);
        EXPECT_EQ(work.error().verdict, Core::Verdict::NotRun);
        EXPECT_NE(work.error().message.find(it.first), std::string::npos);
    }
}

TEST(PlatformCallers, UnknownRoutesAndMissingConfiguration)
{
    EXPECT_EQ(parse(makeRequest("/none/")).error().code, Core::ErrorCode::NotFound);
    Http::Request elsewhere = makeRequest("/h/");
    elsewhere.fields.set("Host", "b.example");
    EXPECT_EQ(parse(elsewhere).error().code, Core::ErrorCode::NotFound);
    EXPECT_EQ(UsersPlatform::callerProtocol().parse(makeRequest("/h/x"), {}, {}, "own").error().code, Core::ErrorCode::Unavailable);
}

TEST(PlatformCallers, AStatusPromisesOnlyWhatIsTrue)
{
    Daemon::CallerProtocol protocol = UsersPlatform::callerProtocol();
    Request::HttpErrorContext context { "r1", false, 250ms };
    std::vector<std::pair<Core::Error, int>> cases {
        { Core::makeError(Core::ErrorCode::Unavailable, ""), 503 },
        { Core::makeError(Core::ErrorCode::Overloaded, ""), 503 },
        { Core::makeError(Core::ErrorCode::Timeout, ""), 503 },
        { Core::makeError(Core::ErrorCode::NotFound, ""), 404 },
        { Core::makeError(Core::ErrorCode::BadInput, ""), 400 },
        { Core::makeUncertainError(Core::ErrorCode::Unavailable, ""), 502 },
        { Core::makeUncertainError(Core::ErrorCode::Timeout, ""), 504 },
        { Core::makeUncertainError(Core::ErrorCode::Canceled, ""), 502 },
    };
    for (std::pair<Core::Error, int> const& it : cases) {
        Http::Response response = protocol.error(it.first, context);
        EXPECT_EQ(response.status, it.second);
        EXPECT_EQ(response.fields.find("Retry-After").has_value(), it.second == 503);
        EXPECT_FALSE(response.fields.find("X-Server-Seal"));
    }
    EXPECT_EQ(protocol.error(cases[0].first, context).fields.find("Retry-After"), "0.250");
}

TEST(PlatformCallers, TheListOfDaemonsIsBounded)
{
    Daemon::EntryList list { std::vector<std::string>(70, "1.2.3.4:5"), 1'500ms };
    Http::Response response = UsersPlatform::callerProtocol().entries(list);
    EXPECT_EQ(std::count(response.body.begin(), response.body.end(), '"'), 64 * 2 + 4);
    EXPECT_NE(response.body.find("1.5"), std::string::npos);
}

// Whatever a header holds, reading it ends with a value or an error that says not run.
RC_GTEST_PROP(PlatformCallers, ArbitraryHeadersNeverDoHarm, ())
{
    std::vector<std::string> names { "X-Token-Usage", "X-Prompt-Prefix", "X-Deadline-Ms", "X-Length-Hint", "X-Request-Id", "Host", "X-Model" };
    Http::Request request = makeRequest("/h/" + *rc::gen::arbitrary<std::string>());
    for (std::string const& name : names) {
        if (*rc::gen::arbitrary<bool>())
            request.fields.set(name, *rc::gen::container<std::string>(rc::gen::elementOf(std::string("0123456789abcdef:,;- x"))));
    }
    Core::Result<Daemon::Work> work = parse(request);
    bool isRefused = work.has_error() && work.error().verdict == Core::Verdict::NotRun;
    RC_ASSERT(isRefused || work.has_value());
}
