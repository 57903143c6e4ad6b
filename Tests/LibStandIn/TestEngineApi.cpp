#include "ApiFixture.h"

#include <LibStandIn/EngineApi.h>
#include <LibStandIn/ExpectedText.h>
#include <LibStandIn/WeightStoreApi.h>
#include <boost/json/parse.hpp>

namespace {

class EngineApiTest : public ApiFixture {
public:
    /// A fast engine, so that the tests wait for nothing.
    Endpoint serveEngine(StandIn::Role role = StandIn::Role::Mixed, std::optional<Endpoint> const& weightStore = std::nullopt)
    {
        StandIn::EngineApiSettings settings;
        settings.engine.configuration.role = role;
        settings.engine.configuration.model = "m";
        settings.engine.checksFencing = true;
        settings.engine.prefillTokensPerSecond = settings.engine.decodeTokensPerSecond = settings.engine.streamTokensPerSecond = 1e6;
        settings.engine.changeTime = std::chrono::milliseconds(1);
        settings.engine.loadLag = std::chrono::milliseconds(0);
        settings.incarnation = "i1";
        settings.weightStore = weightStore;
        m_engine = StandIn::EngineApi::create(m_context, settings).value();
        return serve(m_engine);
    }

    boost::json::value state(Endpoint const& engine)
    {
        Http::Response response = send(engine, "GET", "/control/state");
        return boost::json::parse(response.body);
    }

    /// Waits until the engine's state has this phase and role.
    void awaitServing(Endpoint const& engine, std::string_view role)
    {
        while (true) {
            boost::json::value it = state(engine);
            if (it.at("phase").as_string() == "serving" && it.at("role").as_string() == role)
                return;
        }
    }

    std::shared_ptr<StandIn::EngineApi> m_engine;
};

constexpr std::array<std::string_view, 6> badCompletions { "", "[]", "{}", R"({"prompt":1})", R"({"prompt":"a","max_tokens":-1})", R"({"prompt":"a","stream":1})" };
constexpr std::array<std::string_view, 4> badChats { "{}", R"({"messages":[]})", R"({"messages":[{"role":"user"}]})", R"({"messages":[{"role":"user","content":1}]})" };
constexpr std::string_view streamedBody = R"({"model":"m","prompt":"hello","max_tokens":3,"stream":true})";

std::string textOf(std::string const& body)
{
    return std::string(boost::json::parse(body).at("choices").at(0).at("text").as_string());
}

/// Joins the tokens of a stream of completion events and checks that their ids count up from `from`.
std::string joinEvents(std::string_view events, std::uint64_t from)
{
    std::string text;
    while (!events.empty()) {
        std::string head = "id: " + std::to_string(from++) + "\ndata: ";
        EXPECT_TRUE(events.starts_with(head)) << events;
        std::size_t end = events.find("\n\n");
        std::string_view data = events.substr(head.size(), end - head.size());
        text += data == "[DONE]" ? "[DONE]" : textOf(std::string(data));
        events.remove_prefix(end + 2);
    }
    return text;
}

}

TEST_F(EngineApiTest, AnswersAreWholeStreamedAndResumed)
{
    Endpoint engine = serveEngine();
    std::string expected = StandIn::expectedText("hello", 3);
    Http::Response streamed = send(engine, "POST", "/v1/completions", std::string(streamedBody), { { "X-Request-Id", "r1" } });
    EXPECT_EQ(joinEvents(streamed.body, 0), expected + "[DONE]");
    Http::Response resumed = send(engine, "GET", "/v1/streams/r1?from=2");
    EXPECT_EQ(joinEvents(resumed.body, 2), expected.substr(18) + "[DONE]");
    EXPECT_EQ(send(engine, "GET", "/v1/streams/r2").status, 404);
    Http::Response whole = send(engine, "POST", "/v1/completions", R"({"prompt":"hello","max_tokens":3})");
    EXPECT_EQ(textOf(whole.body), expected);
    Http::Response chat = send(engine, "POST", "/v1/chat/completions", R"({"messages":[{"role":"user","content":"hi"}],"max_tokens":2})");
    EXPECT_EQ(boost::json::parse(chat.body).at("choices").at(0).at("message").at("content").as_string(), StandIn::expectedText("user: hi\n", 2));
    EXPECT_EQ(send(engine, "DELETE", "/v1/streams/r1").body, R"({"state":"finished"})");
    EXPECT_EQ(send(engine, "DELETE", "/v1/streams/r3").status, 404);
    EXPECT_EQ(send(engine, "POST", "/v1/completions", std::string(streamedBody), { { "X-Request-Id", "r3" } }).status, 503);
    EXPECT_EQ(send(engine, "GET", "/v1/models").body, R"({"object":"list","data":[{"id":"m","object":"model","created":0,"owned_by":"currantvale-standin"}]})");
}

TEST_F(EngineApiTest, BadInputIsRefused)
{
    Endpoint engine = serveEngine();
    for (std::string_view body : badCompletions)
        EXPECT_EQ(send(engine, "POST", "/v1/completions", std::string(body)).status, 400) << body;
    for (std::string_view body : badChats)
        EXPECT_EQ(send(engine, "POST", "/v1/chat/completions", std::string(body)).status, 400) << body;
    EXPECT_EQ(send(engine, "POST", "/v1/completions", R"({"prompt":"a"})", { { "X-Priority", "10" } }).status, 400);
    Http::Response other = send(engine, "POST", "/v1/completions", R"({"prompt":"a","model":"x"})");
    EXPECT_EQ(other.status, 503);
    EXPECT_EQ(boost::json::parse(other.body).at("error").at("code").as_string(), "not-serving");
    EXPECT_EQ(send(engine, "POST", "/control/orders", R"({"role":"x"})").status, 400);
    EXPECT_EQ(m_engine->core().started(), 0U);
}

TEST_F(EngineApiTest, CutStreamLooksBrokenAndResumes)
{
    Endpoint engine = serveEngine();
    EXPECT_TRUE(trySend(engine, "POST", "/admin/faults", R"({"cut_after_events":2})"));
    Core::Result<Http::Response> cut = trySend(engine, "POST", "/v1/completions", std::string(streamedBody), { { "X-Request-Id", "r1" } });
    EXPECT_TRUE(cut.has_error());
    EXPECT_TRUE(trySend(engine, "POST", "/admin/faults", R"({"cut_after_events":0})"));
    Http::Response resumed = send(engine, "GET", "/v1/streams/r1?from=0");
    EXPECT_EQ(joinEvents(resumed.body, 0), StandIn::expectedText("hello", 3) + "[DONE]");
}

TEST_F(EngineApiTest, OrdersCompareFencingAndChangeTheRole)
{
    Endpoint engine = serveEngine();
    EXPECT_EQ(send(engine, "POST", "/control/orders", R"({"fencing":18})").body, R"({"accepted":true})");
    Http::Response old = send(engine, "POST", "/control/orders", R"({"fencing":17,"role":"decode"})");
    EXPECT_EQ(old.status, 409);
    EXPECT_EQ(old.body, R"({"fencing":18})");
    EXPECT_EQ(send(engine, "POST", "/control/orders", R"({"fencing":18,"role":"decode"})").status, 200);
    awaitServing(engine, "decode");
    boost::json::value it = state(engine);
    EXPECT_EQ(it.at("incarnation").as_string(), "i1");
    EXPECT_EQ(it.at("fencing").to_number<int>(), 18);
}

TEST_F(EngineApiTest, PrefillIsExportedAndDecodedElsewhere)
{
    Endpoint prefill = serveEngine(StandIn::Role::Prefill);
    Endpoint decode = serveEngine(StandIn::Role::Decode);
    std::string body = R"({"prompt":"hello","max_tokens":3})";
    EXPECT_EQ(send(prefill, "POST", "/v1/completions", body).status, 503);
    Http::Response answer = send(prefill, "POST", "/v1/completions", body, { { "X-Phase", "prefill" } });
    std::string handle(boost::json::parse(answer.body).at("kv").as_string());
    Http::Fields source { { "X-KV-Source", Http::toString(prefill) + "/" + handle } };
    EXPECT_EQ(textOf(send(decode, "POST", "/v1/completions", body, source).body), StandIn::expectedText("hello", 3));
    source.set("X-KV-Source", Http::toString(prefill) + "/none");
    EXPECT_EQ(send(decode, "POST", "/v1/completions", body, source).status, 503);
}

TEST_F(EngineApiTest, ChangeOfWeightsAsksTheStoreAndMayCrash)
{
    std::shared_ptr<StandIn::WeightStoreApi> store = StandIn::WeightStoreApi::create(10);
    Endpoint engine = serveEngine(StandIn::Role::Mixed, serve(store));
    bool hasCrashed = false;
    m_engine->onCrash = [&] { hasCrashed = true; };
    EXPECT_TRUE(trySend(engine, "POST", "/control/orders", R"({"fencing":1,"version":"2"})"));
    while (state(engine).at("version").as_string() != "2") { }
    EXPECT_TRUE(trySend(engine, "POST", "/admin/faults", R"({"crash_during_change":true})"));
    EXPECT_TRUE(trySend(engine, "POST", "/control/orders", R"({"fencing":1,"role":"decode"})"));
    while (!hasCrashed)
        state(engine);
    EXPECT_EQ(store->store().granted(), 1U);
}
