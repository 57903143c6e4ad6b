#include <LibDaemon/Work.h>
#include <LibState/Fold.h>
#include <gtest/gtest.h>
#include <vector>

namespace {

Core::Result<Daemon::Work> parse(Http::Request const& request)
{
    std::shared_ptr<State::Config const> config = State::Config::create(State::Fold().state());
    return Daemon::parseWork(request, *config, Daemon::WorkLimits(), "e-1");
}

Http::Request completion(std::string body, Http::Fields fields = {})
{
    return { "POST", "/v1/completions", std::move(fields), std::move(body) };
}

std::string problemOf(Http::Request const& request)
{
    Core::Result<Daemon::Work> work = parse(request);
    if (work.has_value())
        return "none";
    EXPECT_EQ(work.error().verdict, Core::Verdict::NotRun);
    return work.error().message;
}

}

TEST(Work, ModelRequestIsRead)
{
    Http::Fields fields { { "Currantvale-Organisation", "workshop-12" }, { "Currantvale-Labels", "priority=2" }, { "Currantvale-Deadline-Ms", "5000" }, { "Authorization", "Bearer x" }, { "Connection", "close" } };
    Daemon::Work work = parse(completion(R"({"model":"m","prompt":"hello there","stream":true,"max_tokens":7})", fields)).value();
    EXPECT_EQ(work.name, "m");
    EXPECT_TRUE(work.isStreamed);
    EXPECT_TRUE(work.isRepeatable);
    EXPECT_EQ(work.priority, 2);
    EXPECT_EQ(work.organisation, "workshop-12");
    EXPECT_EQ(work.timeout.count(), 5000);
    EXPECT_EQ(work.shape.expectedOutputTokens, 7U);
    EXPECT_EQ(work.labels.get("kind"), "model");
    EXPECT_EQ(work.upstream.fields.find("authorization"), "Bearer x");
    EXPECT_FALSE(work.upstream.fields.find("connection"));
    EXPECT_FALSE(work.upstream.fields.find("currantvale-labels"));
}

TEST(Work, CallersCannotSetTheSystemsLabels)
{
    Daemon::Work work = parse(completion(R"({"model":"m","prompt":"p"})", { { "Currantvale-Labels", "kind=service,model=other" } })).value();
    EXPECT_EQ(work.labels.get("kind"), "model");
    EXPECT_EQ(work.labels.get("model"), "m");
}

TEST(Work, PlainCallIsPassedOnAndRepeatableByItsMethod)
{
    Daemon::Work post = parse({ "POST", "/services/records/enrol?x=1", {}, "b" }).value();
    EXPECT_EQ(post.name, "records");
    EXPECT_EQ(post.upstream.target, "/enrol?x=1");
    EXPECT_FALSE(post.isRepeatable);
    EXPECT_TRUE(parse({ "GET", "/services/records?x=1", {}, "" }).value().isRepeatable);
    EXPECT_EQ(parse({ "GET", "/services/records?x=1", {}, "" }).value().upstream.target, "/?x=1");
    EXPECT_TRUE(parse({ "POST", "/services/records/a", { { "Currantvale-Labels", "repeatable=yes" } }, "" }).value().isRepeatable);
}

TEST(Work, BadInputSaysWhatIsAllowed)
{
    EXPECT_NE(problemOf(completion("{")).find("not JSON"), std::string::npos);
    EXPECT_NE(problemOf(completion("[]")).find("allowed is an object"), std::string::npos);
    EXPECT_NE(problemOf(completion(R"({"prompt":"p"})")).find("model: missing"), std::string::npos);
    EXPECT_NE(problemOf(completion(R"({"model":"m"})")).find("prompt: missing"), std::string::npos);
    EXPECT_NE(problemOf(completion(R"({"model":"m","prompt":"p","stream":1})")).find("stream: allowed"), std::string::npos);
    EXPECT_NE(problemOf(completion(R"({"model":"m","prompt":"p","max_tokens":-1})")).find("max_tokens: allowed"), std::string::npos);
    EXPECT_NE(problemOf(completion(R"({"model":"m","prompt":"p"})", { { "Currantvale-Labels", "a=b=c" } })).find("Currantvale-Labels"), std::string::npos);
    EXPECT_NE(problemOf(completion(R"({"model":"m","prompt":"p"})", { { "Currantvale-Labels", "priority=10" } })).find("label priority"), std::string::npos);
    EXPECT_NE(problemOf(completion(R"({"model":"m","prompt":"p"})", { { "Currantvale-Deadline-Ms", "0" } })).find("Currantvale-Deadline-Ms"), std::string::npos);
    EXPECT_NE(problemOf({ "POST", "/v1/chat/completions", {}, R"({"model":"m","messages":[]})" }).find("messages"), std::string::npos);
    EXPECT_NE(problemOf({ "GET", "/v1/completions", {}, "" }).find("allowed is POST"), std::string::npos);
    EXPECT_NE(problemOf({ "GET", "/elsewhere", {}, "" }).find("no such path"), std::string::npos);
}

TEST(Work, TheSameRequestHasTheSameKeyUnderAnyId)
{
    Http::Request first { "POST", "/h/1?x=y", { { "Host", "a.example" }, { "X-Request-Id", "1" }, { "X-Deadline-Ms", "5000" } }, "body" };
    Http::Request again = first;
    again.fields.set("X-Request-Id", "2");
    again.fields.set("X-Deadline-Ms", "4000");
    EXPECT_EQ(Daemon::workKeyOf(first, {}), Daemon::workKeyOf(again, {}));
    EXPECT_EQ(Daemon::toLogText(Daemon::workKeyOf(first, {})).size(), 16U);

    std::vector<Http::Request> others(5, first);
    others[0].method = "GET";
    others[1].target = "/h/1?x=z";
    others[2].body = "other";
    others[3].fields.set("Host", "b.example");
    others[4].fields.set("Authorization", "Bearer x");
    for (Http::Request const& other : others)
        EXPECT_NE(Daemon::workKeyOf(first, {}), Daemon::workKeyOf(other, {})) << other.method << ' ' << other.target;
}
