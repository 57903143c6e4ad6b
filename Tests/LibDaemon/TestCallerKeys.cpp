// Keys at the edge of the own protocol: who a request is for, and that the key goes no further.

#include <LibDaemon/CallerKeys.h>
#include <LibDaemon/TargetProtocol.h>
#include <LibDaemon/Work.h>
#include <LibState/Fold.h>
#include <LibState/LogRecord.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using namespace std::chrono_literals;

State::Edit organisation(std::string name, std::string_view key, std::string priority)
{
    return { { State::Kind::Organisation, std::move(name) }, std::nullopt, State::Fields { { "key-digests", Access::KeyDigest::of(key).toString() }, { "priority", std::move(priority) } } };
}

Daemon::FleetSnapshot makeFleet(bool hasOrganisations, std::chrono::milliseconds age = 0ms)
{
    State::Fold fold;
    if (hasOrganisations) {
        std::vector<State::Edit> edits { organisation("org-a", "key-a", "1"), organisation("org-b", "key-b", "7") };
        fold.apply(0, State::encode(State::LogRecord(State::ConfigRecord { { 0, 1 }, "clerk", std::move(edits) })).value()).value();
    }
    Daemon::FleetSnapshot fleet;
    fleet.view = State::TargetView::create(State::Config::create(fold.state()), {});
    fleet.configConfirmedAt = std::make_shared<std::atomic<Core::BootClock::time_point>>(Core::BootClock::now() - age);
    fleet.isReady = true;
    return fleet;
}

Http::Request makeRequest(Http::Fields fields)
{
    return { "POST", "/services/records/enrol", std::move(fields), "body" };
}

Core::ErrorCode problemOf(Http::Fields fields, std::chrono::milliseconds age = 0ms, Access::GateSettings const& settings = {})
{
    Http::Request request = makeRequest(std::move(fields));
    Core::Result<void> admitted = Daemon::admitByKey(request, makeFleet(true, age), settings);
    EXPECT_TRUE(admitted.has_error());
    EXPECT_EQ(admitted.error().verdict, Core::Verdict::NotRun);
    return admitted.error().code;
}

}

// Guards against a key that goes on to targets, and against the caller's word for who it is.
TEST(CallerKeys, TargetsGetTheOrganisationInPlaceOfTheKey)
{
    Daemon::FleetSnapshot fleet = makeFleet(true);
    Http::Request request = makeRequest({ { "authorization", "bearer key-a" }, { "Currantvale-Organisation", "org-b" }, { "currantvale-organisation", "org-c" } });
    ASSERT_TRUE(Daemon::admitByKey(request, fleet, {}).has_value());
    Daemon::Work work = Daemon::parseWork(request, fleet.view->config(), {}, "r1").value();
    EXPECT_EQ(work.organisation, "org-a");
    EXPECT_TRUE(work.isAuthenticated);
    EXPECT_EQ(work.priority, 1);
    EXPECT_EQ(work.labels.get("organisation"), "org-a");
    Http::Request sent = Daemon::ownTargetProtocol().request(work, {});
    EXPECT_EQ(sent.fields.find("Currantvale-Organisation"), "org-a");
    EXPECT_FALSE(sent.fields.find("Authorization"));
}

// Guards against requests of nobody that run.
TEST(CallerKeys, WithoutAKeyThatIsInForceNothingIsLetIn)
{
    EXPECT_EQ(problemOf({}), Core::ErrorCode::Unauthenticated);
    EXPECT_EQ(problemOf({ { "Authorization", "Bearer key-c" } }), Core::ErrorCode::Unauthenticated);
    EXPECT_EQ(problemOf({ { "Authorization", "Bearer" } }), Core::ErrorCode::Unauthenticated);
    EXPECT_EQ(problemOf({ { "Authorization", "Bearer key-a" }, { "Authorization", "Bearer key-b" } }), Core::ErrorCode::Unauthenticated);
    EXPECT_EQ(problemOf({ { "Currantvale-Organisation", "org-a" } }), Core::ErrorCode::Unauthenticated);
}

// Guards against a daemon that denies a key by a configuration that has no longer been the newest.
TEST(CallerKeys, AnOldConfigurationDeniesNobody)
{
    EXPECT_EQ(problemOf({ { "Authorization", "Bearer key-c" } }, 10s), Core::ErrorCode::Unavailable);
    Access::GateSettings strict;
    strict.isStrict = true;
    EXPECT_EQ(problemOf({ { "Authorization", "Bearer key-a" } }, 10s, strict), Core::ErrorCode::Unavailable);
}

TEST(CallerKeys, WithoutOrganisationsNothingIsAskedAndCredentialsAreTheTargets)
{
    Daemon::FleetSnapshot fleet = makeFleet(false);
    Http::Request request = makeRequest({ { "Authorization", "Bearer key-a" }, { "Currantvale-Organisation", "org-b" } });
    ASSERT_TRUE(Daemon::admitByKey(request, fleet, {}).has_value());
    Daemon::Work work = Daemon::parseWork(request, fleet.view->config(), {}, "r1").value();
    EXPECT_EQ(work.organisation, "org-b");
    EXPECT_FALSE(work.isAuthenticated);
    EXPECT_EQ(work.upstream.fields.find("Authorization"), "Bearer key-a");
}

RC_GTEST_PROP(CallerKeys, NoKeyIsInWhatTheRestOfTheSystemSees, ())
{
    std::string key = *rc::gen::container<std::string>(rc::gen::inRange<char>('!', '~'));
    std::string scheme = *rc::gen::element<std::string>("Bearer ", "bearer   ", "BEARER ", "Basic ", "");
    std::string credentials = scheme + "secret-" + key;
    Http::Fields fields;
    int count = *rc::gen::inRange(1, 4);
    for (int n = 0; n < count; ++n)
        fields.add(*rc::gen::element<std::string>("Authorization", "AUTHORIZATION", "authorization"), credentials);
    Http::Request request = makeRequest(std::move(fields));
    Core::Result<void> admitted = Daemon::admitByKey(request, makeFleet(true), {});
    RC_ASSERT(admitted.has_error());
    RC_ASSERT(admitted.error().message.find("secret-") == std::string::npos);
    for (Http::Fields::Entry const& entry : request.fields.entries())
        RC_ASSERT(entry.second.find("secret-") == std::string::npos);
}
