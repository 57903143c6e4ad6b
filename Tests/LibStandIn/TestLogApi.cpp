#include "ApiFixture.h"

#include <LibStandIn/LogApi.h>

namespace {

using LogApiTest = ApiFixture;

}

TEST_F(LogApiTest, RecordsReadBackAndExpiredOnesAreGone)
{
    Endpoint log = serve(StandIn::LogApi::create(2));
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(send(log, "POST", "/v1/streams/config/records", std::string("a\0b", 3)).body, R"({"offset":)" + std::to_string(i) + "}");
    EXPECT_EQ(send(log, "GET", "/v1/streams/config/records?from=2&limit=1").body, R"({"first":1,"next":3,"records":[{"offset":2,"data":"YQBi"}]})");
    Http::Response gone = send(log, "GET", "/v1/streams/config/records?from=0");
    EXPECT_EQ(gone.status, 410);
    EXPECT_EQ(gone.body, R"({"first":1,"next":3})");
    EXPECT_EQ(send(log, "GET", "/v1/streams/config/records?from=x").status, 400);
    EXPECT_EQ(send(log, "POST", "/admin/faults", R"({"down":true})").status, 200);
    EXPECT_EQ(send(log, "POST", "/v1/streams/config/records", "x").status, 503);
    EXPECT_EQ(send(log, "GET", "/v1/streams/config/records?from=1").status, 503);
    EXPECT_EQ(send(log, "POST", "/admin/faults", R"({"odd":true})").status, 400);
}

TEST_F(LogApiTest, LongPollWakesAtTheAppend)
{
    std::shared_ptr<StandIn::LogApi> api = StandIn::LogApi::create(0);
    Endpoint log = serve(api);
    boost::asio::steady_timer timer(m_context, std::chrono::milliseconds(1));
    timer.async_wait([api](boost::system::error_code) { EXPECT_TRUE(api->store().append("s", "x")); });
    EXPECT_EQ(send(log, "GET", "/v1/streams/s/records?from=0&wait_ms=20000").body, R"({"first":0,"next":1,"records":[{"offset":0,"data":"eA=="}]})");
    EXPECT_EQ(send(log, "GET", "/v1/streams/s/records?from=1&wait_ms=1").body, R"({"first":0,"next":1,"records":[]})");
}

TEST_F(LogApiTest, LostReplyComesAfterTheEffect)
{
    std::shared_ptr<StandIn::LogApi> api = StandIn::LogApi::create(0);
    Endpoint log = serve(api);
    EXPECT_TRUE(trySend(log, "POST", "/admin/faults", R"({"lose_replies":1})"));
    Core::Result<Http::Response> lost = trySend(log, "POST", "/v1/streams/s/records", "x");
    EXPECT_TRUE(lost.has_error() && lost.error().verdict == Core::Verdict::MayHaveRun);
    EXPECT_EQ(send(log, "POST", "/v1/streams/s/records", "y").body, R"({"offset":1})");
}
