#include "ApiFixture.h"

#include <LibStandIn/Forwarder.h>
#include <LibStandIn/ServiceApi.h>
#include <LibStandIn/VmListApi.h>
#include <LibStandIn/WeightStoreApi.h>
#include <boost/json/parse.hpp>

namespace {

using OtherApiTest = ApiFixture;
}

TEST_F(OtherApiTest, VmListIsReplacedAndChanged)
{
    Endpoint vms = serve(StandIn::VmListApi::create(std::chrono::milliseconds(0)));
    std::string list = R"({"vms":[{"name":"a","address":"127.0.0.1:1","kind":"engine","availability_zone":"z","state":"live"}]})";
    EXPECT_EQ(send(vms, "GET", "/v1/vms").body, R"({"vms":[]})");
    EXPECT_EQ(send(vms, "POST", "/admin/vms", list).status, 200);
    EXPECT_EQ(send(vms, "GET", "/v1/vms").body, list);
    EXPECT_EQ(send(vms, "POST", "/admin/state", R"({"name":"a","state":"gone"})").status, 200);
    EXPECT_EQ(send(vms, "GET", "/v1/vms").body, R"({"vms":[]})");
    EXPECT_EQ(send(vms, "POST", "/admin/state", R"({"name":"a","state":"gone"})").status, 404);
}

TEST_F(OtherApiTest, ServiceRepeatsTheRequestAndCountsRunsAlsoOfLostReplies)
{
    Endpoint service = serve(StandIn::ServiceApi::create("records"));
    Http::Fields key { { "Idempotency-Key", "k1" } };
    EXPECT_TRUE(trySend(service, "POST", "/admin/faults", R"({"lose_replies":1})"));
    EXPECT_TRUE(trySend(service, "PUT", "/a?b=c", "body", key).has_error());
    boost::json::value answer = boost::json::parse(send(service, "PUT", "/a?b=c", "body", key).body);
    EXPECT_EQ(answer.at("target").as_string(), "/a?b=c");
    EXPECT_EQ(answer.at("body").as_string(), "body");
    EXPECT_EQ(answer.at("runs").to_number<int>(), 2);
    boost::json::value runs = boost::json::parse(send(service, "GET", "/admin/runs").body);
    EXPECT_EQ(runs.at("idempotency_keys").at("k1").to_number<int>(), 2);
}

TEST_F(OtherApiTest, WeightStoreSaysWhenToTryAgain)
{
    Endpoint store = serve(StandIn::WeightStoreApi::create(1));
    EXPECT_EQ(send(store, "POST", "/v1/loads", "{}").status, 200);
    Http::Response refused = send(store, "POST", "/v1/loads", "{}");
    EXPECT_EQ(refused.status, 429);
    EXPECT_TRUE(refused.fields.find("Retry-After"));
}

TEST_F(OtherApiTest, ForwarderHoldsBackGoesOnAndCuts)
{
    std::shared_ptr<StandIn::ServiceApi> api = StandIn::ServiceApi::create("s");
    Endpoint service = serve(api);
    Endpoint any(boost::asio::ip::address_v4::loopback(), 0);
    std::shared_ptr<StandIn::Forwarder> forwarder = StandIn::Forwarder::create(m_context, any, service).value();
    Endpoint admin = serve(forwarder);
    Endpoint through(any.address(), forwarder->port());
    EXPECT_EQ(send(through, "GET", "/1").status, 200);
    EXPECT_EQ(send(admin, "POST", "/pause", R"({"direction":"backward"})").status, 200);
    Answer held;
    begin(held, through, { "GET", "/2", {}, {} });
    runUntil([&] { return api->core().total() == 2; });
    EXPECT_EQ(send(admin, "POST", "/pause", R"({"direction":"odd"})").status, 400);
    EXPECT_FALSE(held) << "the service has run it, and its answer is held back";
    EXPECT_EQ(send(admin, "POST", "/resume").status, 200);
    runUntil([&] { return held.has_value(); });
    EXPECT_TRUE(held->has_value());
    EXPECT_EQ(send(admin, "POST", "/pause", R"({"direction":"forward"})").status, 200);
    Answer cut;
    begin(cut, through, { "GET", "/3", {}, {} });
    EXPECT_EQ(send(admin, "POST", "/cut").status, 200);
    EXPECT_EQ(send(admin, "POST", "/resume").status, 200);
    runUntil([&] { return cut.has_value(); });
    EXPECT_FALSE(cut->has_value());
    EXPECT_EQ(api->core().total(), 2U);
    EXPECT_EQ(send(admin, "POST", "/odd").status, 404);
}

TEST_F(OtherApiTest, ForwarderIsNoFasterThanItsRateUntilThatIsLifted)
{
    using Clock = std::chrono::steady_clock;
    constexpr std::size_t bodyBytes = 40'000;
    std::shared_ptr<StandIn::ServiceApi> api = StandIn::ServiceApi::create("s");
    Endpoint service = serve(api);
    Endpoint any(boost::asio::ip::address_v4::loopback(), 0);
    std::shared_ptr<StandIn::Forwarder> forwarder = StandIn::Forwarder::create(m_context, any, service).value();
    Endpoint admin = serve(forwarder);
    Endpoint through(any.address(), forwarder->port());
    EXPECT_EQ(send(admin, "POST", "/rate", "{}").status, 400);
    EXPECT_EQ(send(admin, "POST", "/rate", R"({"bytes_per_s":200000})").status, 200);
    Clock::time_point begun = Clock::now();
    EXPECT_EQ(send(through, "POST", "/1", std::string(bodyBytes, 'x')).status, 200);
    EXPECT_GE(Clock::now() - begun, std::chrono::milliseconds(200));
    EXPECT_EQ(send(admin, "POST", "/rate", R"({"bytes_per_s":1})").status, 200);
    Answer held;
    begin(held, through, { "POST", "/2", {}, std::string(bodyBytes, 'x') });
    runUntil([&] { return send(admin, "GET", "/state").body.find(R"("waiting_forward":1)") != std::string::npos; });
    EXPECT_FALSE(held);
    EXPECT_EQ(api->core().total(), 1U);
    EXPECT_EQ(send(admin, "POST", "/rate", R"({"bytes_per_s":0})").status, 200);
    runUntil([&] { return held.has_value(); });
    EXPECT_TRUE(held->has_value());
    EXPECT_EQ(api->core().total(), 2U);
}
