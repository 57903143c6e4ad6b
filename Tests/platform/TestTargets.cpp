#include <gtest/gtest.h>
#include <platform/Targets.h>

namespace {

using namespace std::chrono_literals;
using Daemon::AnswerProof;

Daemon::Work makeWork()
{
    Daemon::Work work;
    work.requestId = "r1";
    work.name = "llm";
    work.upstream = { "POST", "/h/x", { { "X-Request-Id", "r1" }, { "Host", "a.example" } }, "body" };
    return work;
}

Daemon::TargetSend makeSend()
{
    Daemon::TargetSend send;
    send.targetIncarnation = "i-1";
    send.timeLeft = 1'234ms;
    send.urgency = 3;
    return send;
}

AnswerProof judge(std::uint16_t status, Http::Fields fields)
{
    return UsersPlatform::targetProtocol().judge(makeWork(), makeSend(), { status, std::move(fields) }, nullptr);
}

}

TEST(PlatformTargets, ARequestNamesItsTargetAndTheTimeThatIsLeft)
{
    Daemon::TargetSend send = makeSend();
    send.kvSource = "1.2.3.4:5/abc";
    send.lastEventId = "9";
    Http::Request request = UsersPlatform::targetProtocol().request(makeWork(), send);
    EXPECT_EQ(request.target, "/h/x");
    EXPECT_EQ(request.body, "body");
    EXPECT_EQ(request.fields.find("X-Request-Id"), "r1");
    EXPECT_EQ(request.fields.find("X-Target-Instance"), "i-1");
    EXPECT_EQ(request.fields.find("X-Deadline-Ms"), "1234");
    EXPECT_EQ(request.fields.find("X-Request-Priority"), "3");
    EXPECT_EQ(request.fields.find("X-Kv-Source"), "1.2.3.4:5/abc");
    EXPECT_EQ(request.fields.find("Last-Event-Id"), "9");
    EXPECT_FALSE(request.fields.find("X-Stage"));
    EXPECT_EQ(UsersPlatform::targetProtocol().prefillRequest(makeWork(), makeSend()).fields.find("X-Stage"), "prefill");
    EXPECT_EQ(UsersPlatform::targetProtocol().releaseKv("1.2.3.4:5/abc").target, "/currantvale/kv-handle/abc");
}

TEST(PlatformTargets, OnlyAProvenAnswerToThisRequestIsPassedOn)
{
    Http::Fields own { { "X-Request-Id", "r1" } };
    Http::Fields proven { { "X-Request-Id", "r1" }, { "X-Server-Seal", "s" } };
    EXPECT_EQ(judge(200, proven), AnswerProof::Answer);
    EXPECT_EQ(judge(200, own), AnswerProof::Unusable);
    EXPECT_EQ(judge(200, { { "X-Server-Seal", "s" } }), AnswerProof::Unusable);
    EXPECT_EQ(judge(200, { { "X-Request-Id", "r2" }, { "X-Server-Seal", "s" } }), AnswerProof::Foreign);
    EXPECT_EQ(judge(200, { { "X-Request-Id", "r1" }, { "X-Server-Seal", "s" }, { "Content-Encoding", "gzip" } }), AnswerProof::Unusable);
    EXPECT_EQ(judge(500, own), AnswerProof::Answer);
    EXPECT_EQ(judge(504, own), AnswerProof::Answer);
}

TEST(PlatformTargets, OnlyTheTargetsOwnWordProvesThatItDidNotRun)
{
    EXPECT_EQ(judge(503, { { "X-Not-Executed", "1" } }), AnswerProof::NotRun);
    EXPECT_EQ(judge(400, { { "X-Request-Id", "r1" }, { "X-Not-Executed", "1" } }), AnswerProof::NotRun);
    EXPECT_EQ(judge(421, {}), AnswerProof::Replaced);
    // A refusal of another request says nothing of this one.
    EXPECT_EQ(judge(503, { { "X-Request-Id", "r2" }, { "X-Not-Executed", "1" } }), AnswerProof::Foreign);
    // These would promise the caller something that nobody has proven.
    for (std::uint16_t status : { 408, 429, 503 })
        EXPECT_EQ(judge(status, { { "X-Request-Id", "r1" }, { "X-Server-Seal", "s" } }), AnswerProof::Unusable) << status;
}

// Guards against an engine that is closed for good, and against a request that counts as the end of one, after a send for a former role.
TEST(PlatformTargets, OnlyAResponseOfAnotherProcessShowsThatTheTargetIsReplaced)
{
    Http::Fields own { { "X-Request-Id", "r1" }, { "X-Not-Executed", "1" }, { "X-Instance-Id", "i-1" } };
    Http::Fields other { { "X-Request-Id", "r1" }, { "X-Not-Executed", "1" }, { "X-Instance-Id", "i-2" } };
    EXPECT_EQ(judge(421, own), AnswerProof::NotRun);
    EXPECT_EQ(judge(421, other), AnswerProof::Replaced);
    Daemon::TargetProtocol protocol = UsersPlatform::targetProtocol();
    Daemon::FleetTarget target;
    target.incarnation = "i-1";
    Core::Result<std::string> rejected = protocol.readPrefill(target, makeWork(), { 421, own, "" });
    EXPECT_EQ(rejected.error().code, Core::ErrorCode::Unavailable);
    EXPECT_EQ(rejected.error().verdict, Core::Verdict::NotRun);
    EXPECT_EQ(protocol.readPrefill(target, makeWork(), { 421, other, "" }).error().code, Core::ErrorCode::NotFound);
}

TEST(PlatformTargets, APrefillGivesTheSourceOfItsKvCache)
{
    Daemon::TargetProtocol protocol = UsersPlatform::targetProtocol();
    Daemon::FleetTarget target;
    target.endpoint = { boost::asio::ip::make_address("10.1.2.3"), 80 };
    Core::Result<std::string> source = protocol.readPrefill(target, makeWork(), { 200, {}, R"({"handle":"3fa0","tokens":5,"version":1})" });
    EXPECT_EQ(source.value(), "10.1.2.3:80/3fa0");
    EXPECT_EQ(protocol.readPrefill(target, makeWork(), { 503, { { "X-Not-Executed", "1" } }, "" }).error().verdict, Core::Verdict::NotRun);
    EXPECT_EQ(protocol.readPrefill(target, makeWork(), { 421, {}, "" }).error().code, Core::ErrorCode::NotFound);
    EXPECT_EQ(protocol.readPrefill(target, makeWork(), { 200, {}, "{}" }).error().verdict, Core::Verdict::MayHaveRun);
    EXPECT_TRUE(protocol.readPrefill(target, makeWork(), { 200, { { "X-Request-Id", "r2" } }, R"({"handle":"x"})" }).has_error());
}

TEST(PlatformTargets, ReadsWhatATargetSaysOfItself)
{
    std::function<Routing::TargetNotice(std::uint16_t, Http::Fields const&)> read = UsersPlatform::targetProtocol().readNotice;
    EXPECT_EQ(read(200, { { "X-Request-Id", "r1" } }), Routing::TargetNotice());
    for (std::uint16_t status : { 200, 404, 429, 500, 503 })
        EXPECT_TRUE(read(status, { { "server-leaving", "1" } }).isLeaving) << status;
    EXPECT_EQ(read(503, { { "Retry-After", "2.5" } }).pause, 2'500ms);
    EXPECT_EQ(read(503, { { "Retry-After", "3" } }).pause, 3s);
    EXPECT_FALSE(read(200, { { "Retry-After", "3" } }).pause) << "it has answered";
}

// Guards against a word that cannot be read and closes a target, or ends the daemon.
TEST(PlatformTargets, WhatATargetCannotMeanIsAsIfItWereNotThere)
{
    std::function<Routing::TargetNotice(std::uint16_t, Http::Fields const&)> read = UsersPlatform::targetProtocol().readNotice;
    for (char const* text : { "", "-1", "-0", "0", "nan", "inf", "1e30", "1e3", "0x10", "99999999999999999999", "Wed, 21 Oct 2015 07:28:00 GMT", "3 s", " 3", "+3", "3,5" })
        EXPECT_EQ(read(503, { { "Retry-After", text } }), Routing::TargetNotice()) << text;
    for (char const* text : { "", "0", "no", "11", "true" })
        EXPECT_FALSE(read(200, { { "Server-Leaving", text } }).isLeaving) << text;
    EXPECT_EQ(read(503, { { "Retry-After", "1" }, { "Retry-After", "x" }, { "Retry-After", "4" } }).pause, 4s);
}

// Guards against a rate limit that is not read, and against one that cannot be read and opens or closes its target.
TEST(PlatformTargets, ReadsTheRateLimitThatATargetStates)
{
    std::function<Routing::TargetNotice(std::uint16_t, Http::Fields const&)> read = UsersPlatform::targetProtocol().readNotice;
    for (std::uint16_t status : { 200, 404, 429, 500, 503 })
        EXPECT_EQ(read(status, { { "server-limit", "4.5" } }).requestsPerSecond, 4.5) << status;
    EXPECT_EQ(read(200, { { "Server-Limit", "12" } }).requestsPerSecond, 12.0);
    EXPECT_EQ(read(200, { { "Server-Limit", "0" } }).requestsPerSecond, 0.0);
    EXPECT_EQ(read(200, { { "Server-Limit", "9" }, { "Server-Limit", "2.5" } }).requestsPerSecond, 2.5) << "the smaller one";
    for (char const* text : { "", "-1", "-0", "nan", "inf", "1e30", "0x10", " 3", "+3", "3,5", "3/s", ".5" }) {
        Routing::TargetNotice notice = read(200, { { "Server-Limit", text } });
        EXPECT_FALSE(notice.requestsPerSecond) << text;
        EXPECT_TRUE(notice.hasUnreadableLimit) << text;
    }
    EXPECT_FALSE(read(200, {}).hasUnreadableLimit);
}

// Guards against a target whose handle cannot be sent, or adds fields or requests to what is sent with it.
TEST(PlatformTargets, AHandleThatCannotBeSentIsNoAnswerToAPrefill)
{
    Daemon::TargetProtocol protocol = UsersPlatform::targetProtocol();
    Daemon::FleetTarget target;
    for (std::string const& handle : { std::string("a b"), std::string("a\\r\\nX-Other: 1"), std::string("../x"), std::string(70'000, 'x') }) {
        Core::Result<std::string> source = protocol.readPrefill(target, makeWork(), { 200, {}, "{\"handle\":\"" + handle + "\"}" });
        ASSERT_TRUE(source.has_error());
        EXPECT_EQ(source.error().verdict, Core::Verdict::MayHaveRun);
    }
}
