// Callers' keys at the edge: who a request is for, and that the key goes no further.

#include <gtest/gtest.h>
#include <platform/Adapters.h>
#include <platform/Callers.h>
#include <platform/Targets.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace std::chrono_literals;

constexpr char const* configuration = R"({"version":7,"routes":[
    {"name":"histories","host":"a.example","path_prefix":"/h/","kind":"stream","timeout_ms":6000,"priority":2,"service":"llm","public":false},
    {"name":"open","host":"a.example","path_prefix":"/o/","kind":"safe","timeout_ms":6000,"priority":2,"service":"app","public":true}],
    "services":[{"name":"llm","engine":{"slots":64}},{"name":"app"}],
    "tenants":[{"name":"org-a","api_keys":["key-a1","key-a2"],"priority":1},{"name":"org-b","api_keys":["key-b"]},{"name":"org-c","api_keys":[]}]})";

Core::Result<State::ServiceConfig> decode(std::string const& text)
{
    return UsersPlatform::createAdapters().codec.decodeConfiguration(text);
}

Daemon::FleetSnapshot makeFleet(std::chrono::milliseconds age)
{
    Daemon::FleetSnapshot fleet;
    State::ServiceConfig config = decode(configuration).value();
    fleet.view = State::TargetView::create(State::toLabelConfig(config, 1).value(), {});
    fleet.services = std::make_shared<State::ServiceConfig const>(std::move(config));
    fleet.configConfirmedAt = std::make_shared<std::atomic<Core::BootClock::time_point>>(Core::BootClock::now() - age);
    fleet.isReady = true;
    return fleet;
}

Core::Result<Daemon::Work> parse(std::string target, Http::Fields const& extra, std::chrono::milliseconds age = 0ms)
{
    Http::Request request { "POST", std::move(target), { { "Host", "a.example" }, { "X-Request-Id", "r1" } }, "body" };
    for (Http::Fields::Entry const& entry : extra.entries())
        request.fields.add(entry.first, entry.second);
    return UsersPlatform::callerProtocol().parse(request, makeFleet(age), {}, "own");
}

std::vector<std::string> named(Http::Request const& request)
{
    std::vector<std::string> names;
    for (Http::Fields::Entry const& entry : request.fields.entries()) {
        if (Http::isSameFieldName(entry.first, "X-Tenant"))
            names.push_back(entry.second);
    }
    return names;
}

std::string textOf(Http::Request const& request)
{
    std::string text = request.method + request.target + request.body.text();
    for (Http::Fields::Entry const& entry : request.fields.entries())
        text += entry.first + ":" + entry.second + "\n";
    return text;
}

}

// Guards against a key that goes on to targets, and against the caller's word for who it is.
TEST(PlatformKeys, TargetsGetTheOrganisationInPlaceOfTheKey)
{
    Daemon::Work work = parse("/h/x", { { "Api-Key", "key-a2" }, { "X-Tenant", "org-b" }, { "x-tenant", "org-c" } }).value();
    EXPECT_EQ(work.organisation, "org-a");
    EXPECT_EQ(work.priority, 1);
    Daemon::TargetSend send;
    for (Http::Request const& sent : { UsersPlatform::targetProtocol().request(work, send), UsersPlatform::targetProtocol().prefillRequest(work, send) }) {
        EXPECT_EQ(named(sent), std::vector<std::string> { "org-a" });
        EXPECT_FALSE(sent.fields.find("Api-Key"));
    }
    // The route's priority holds where the organisation has none.
    EXPECT_EQ(parse("/h/x", { { "Api-Key", "key-b" } }).value().priority, 2);
}

// Guards against requests of nobody that run.
TEST(PlatformKeys, WithoutAKeyThatIsInForceNothingRuns)
{
    for (Http::Fields const& fields : { Http::Fields {}, Http::Fields { { "Api-Key", "gone" } }, Http::Fields { { "Api-Key", "" } }, Http::Fields { { "Api-Key", "key-a1" }, { "api-key", "key-b" } }, Http::Fields { { "X-Tenant", "org-a" } } }) {
        Core::Result<Daemon::Work> work = parse("/h/x", fields);
        ASSERT_TRUE(work.has_error());
        EXPECT_EQ(work.error().code, Core::ErrorCode::Unauthenticated);
        Request::HttpErrorContext context;
        context.requestId = "r1";
        Http::Response answer = UsersPlatform::callerProtocol().error(work.error(), context);
        EXPECT_EQ(answer.status, 401);
        EXPECT_TRUE(answer.fields.find("WWW-Authenticate"));
        EXPECT_EQ(answer.body.find("gone"), std::string::npos);
    }
    // What an old configuration does not know may be in force.
    Core::Result<Daemon::Work> old = parse("/h/x", { { "Api-Key", "new" } }, 10s);
    ASSERT_TRUE(old.has_error());
    EXPECT_EQ(old.error().code, Core::ErrorCode::Unavailable);
}

TEST(PlatformKeys, APublicRouteNeedsNoKeyAndPassesNoneOn)
{
    Daemon::Work work = parse("/o/x", { { "Api-Key", "key-a1" }, { "X-Tenant", "org-b" } }).value();
    Http::Request sent = UsersPlatform::targetProtocol().request(work, {});
    EXPECT_TRUE(named(sent).empty());
    EXPECT_FALSE(sent.fields.find("Api-Key"));
}

// Guards against a quarantine that one organisation evades with a second key.
TEST(PlatformKeys, AllKeysOfAnOrganisationAreOneCaller)
{
    Http::Request request { "POST", "/h/x", { { "Host", "a.example" } }, "body" };
    Daemon::Work first = parse("/h/x", { { "Api-Key", "key-a1" } }).value();
    Daemon::Work second = parse("/h/x", { { "Api-Key", "key-a2" } }).value();
    Daemon::Work other = parse("/h/x", { { "Api-Key", "key-b" } }).value();
    EXPECT_EQ(Daemon::workKeyOf(request, first), Daemon::workKeyOf(request, second));
    EXPECT_NE(Daemon::workKeyOf(request, first), Daemon::workKeyOf(request, other));
}

TEST(PlatformKeys, OrganisationsThatCannotBeToldApartAreRefused)
{
    std::string prefix = R"({"version":8,"routes":[],"services":[],"tenants":)";
    EXPECT_TRUE(decode(prefix + R"([{"name":"a","api_keys":["secret"]},{"name":"b","api_keys":["secret"]}]})").has_error());
    EXPECT_TRUE(decode(prefix + R"([{"name":"a","api_keys":[""]}]})").has_error());
    EXPECT_TRUE(decode(prefix + R"([{"name":"a","api_keys":"secret"}]})").has_error());
    EXPECT_TRUE(decode(prefix + R"([{"name":"a"}]})").has_error());
    EXPECT_TRUE(decode(prefix + R"(["secret"]})").has_error());
    EXPECT_EQ(decode(prefix + R"([{"name":"a","api_keys":["secret"]},{"name":"b","api_keys":["secret"]}]})").error().message.find("secret"), std::string::npos);
    // No organisation is not the same as none asked for.
    EXPECT_TRUE(decode(prefix + "[]}").value().organisations);
    EXPECT_FALSE(decode(R"({"version":8,"routes":[],"services":[]})").value().organisations);
}

RC_GTEST_PROP(PlatformKeys, NoByteOfAKeyGoesBehindTheEdge, ())
{
    // Headers in any case and number, some under the names that are the system's own.
    std::vector<std::string> names { "Api-Key", "api-key", "API-KEY", "X-Tenant", "x-TENANT", "Connection", "Accept", "Cookie", "X-Kv-Source" };
    std::vector<std::string> values { "key-a1", "key-a2", "key-b", "org-b", "Api-Key", "keep-alive, X-Tenant", "text" };
    std::vector<std::pair<std::size_t, std::size_t>> picks = *rc::gen::container<std::vector<std::pair<std::size_t, std::size_t>>>(rc::gen::pair(rc::gen::inRange<std::size_t>(0, names.size()), rc::gen::inRange<std::size_t>(0, values.size())));
    Http::Fields fields;
    for (std::pair<std::size_t, std::size_t> const& pick : picks) {
        // A key in a header that is not meant for keys is the caller's own affair.
        bool isKeyField = pick.first < 3;
        bool isKey = pick.second < 3;
        if (isKeyField || !isKey)
            fields.add(names[pick.first], values[pick.second]);
    }
    Core::Result<Daemon::Work> work = parse(*rc::gen::element<std::string>("/h/x", "/o/x"), fields);
    if (work.has_error()) {
        RC_ASSERT((work.error().message.find("key-a") == std::string::npos));
        return;
    }
    for (Http::Request const& sent : { UsersPlatform::targetProtocol().request(work.value(), {}), UsersPlatform::targetProtocol().prefillRequest(work.value(), {}) }) {
        RC_ASSERT((textOf(sent).find("key-a") == std::string::npos && textOf(sent).find("key-b") == std::string::npos));
        std::vector<std::string> expected = work.value().isAuthenticated ? std::vector<std::string> { work.value().organisation } : std::vector<std::string>();
        RC_ASSERT((named(sent) == expected));
    }
}

// Guards against a peer that rejects what was passed on to it, because the caller's key stayed behind.
TEST(PlatformKeys, APassedOnRequestIsReadAsTheCallerSentIt)
{
    Daemon::Work work = parse("/h/x", { { "Api-Key", "key-a2" }, { "X-Deadline-Ms", "5000" }, { "X-Token-Usage", "100,10" }, { "X-Prompt-Prefix", "a:60,b:40" }, { "X-Tenant", "org-b" } }).value();
    Http::Request relayed = UsersPlatform::callerProtocol().relayed(work, 1'234ms, "7");
    EXPECT_EQ(relayed.fields.find("X-Deadline-Ms"), "1234");
    EXPECT_EQ(relayed.fields.find("Last-Event-Id"), "7");
    EXPECT_TRUE(named(relayed).empty());
    Daemon::Work read = UsersPlatform::callerProtocol().parse(relayed, makeFleet(0ms), {}, "own").value();
    EXPECT_EQ(read.organisation, "org-a");
    EXPECT_EQ(read.requestId, work.requestId);
    EXPECT_EQ(read.timeout, 1'234ms);
    EXPECT_EQ(read.prefix.size(), work.prefix.size());
    EXPECT_EQ(read.upstream.body, work.upstream.body);
    EXPECT_EQ(read.priority, work.priority);
}
