#include <LibRequest/HttpMapping.h>
#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <set>

namespace {

using namespace std::chrono_literals;

std::string headerOf(Request::HttpError const& error, std::string_view name)
{
    for (std::pair<std::string, std::string> const& it : error.headers) {
        if (it.first == name)
            return it.second;
    }
    return "";
}

}

TEST(HttpMapping, WhatMayHaveRunGetsNoStatusThatClientsResendOn)
{
    std::set<int> const resent { 408, 409, 425, 429 };
    for (std::pair<Core::ErrorCode, std::string_view> const& code : Core::errorCodeNames) {
        for (Core::Verdict verdict : { Core::Verdict::MayHaveRun, Core::Verdict::Ran }) {
            Request::HttpError once = Request::toHttpError({ code.first, "x", verdict }, { .requestId = "r" });
            EXPECT_TRUE(once.status >= 400 && once.status < 500 && !resent.contains(once.status)) << code.second << once.status;
            EXPECT_EQ(headerOf(once, "x-should-retry"), "false");
            EXPECT_EQ(headerOf(once, "Retry-After"), "");
            EXPECT_EQ(headerOf(once, "Currantvale-Verdict"), Core::toString(verdict));
        }
    }
}

TEST(HttpMapping, WhatDidNotRunSaysWhenToComeBack)
{
    Request::HttpError busy = Request::toHttpError(Core::makeError(Core::ErrorCode::Overloaded, "full"), { .requestId = "r", .retryAfter = 1200ms });
    EXPECT_EQ(busy.status, 429);
    EXPECT_EQ(headerOf(busy, "Retry-After"), "2");
    EXPECT_EQ(headerOf(busy, "x-should-retry"), "");
    EXPECT_EQ(headerOf(busy, "Currantvale-Verdict"), "not-run");
    Request::HttpError away = Request::toHttpError(Core::makeError(Core::ErrorCode::Unavailable, "none"), { .requestId = "r" });
    EXPECT_EQ(away.status, 503);
    EXPECT_EQ(headerOf(away, "Retry-After"), "1");
    EXPECT_EQ(Request::toHttpError(Core::makeError(Core::ErrorCode::Conflict, "other"), {}).status, 422);
}

// A request that crashes its target must not be retried.
TEST(HttpMapping, ARequestInQuarantineIsNotRunAndNotToBeSentAgain)
{
    Request::HttpError refused = Request::toHttpError(Core::makeError(Core::ErrorCode::Quarantined, "x"), { .requestId = "r", .retryAfter = 60s });
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(headerOf(refused, "Retry-After"), "60");
    EXPECT_EQ(headerOf(refused, "x-should-retry"), "false");
    EXPECT_EQ(headerOf(refused, "Currantvale-Verdict"), "not-run");
}

TEST(HttpMapping, BodiesAreJsonWithCodeSentenceVerdictAndId)
{
    Core::Error error = Core::makeUncertainError(Core::ErrorCode::Timeout, "The \"deadline\" passed.\n");
    boost::json::value body = boost::json::parse(Request::toHttpError(error, { .requestId = "r-1" }).body);
    EXPECT_EQ(body.at("error").at("code").as_string(), "timeout");
    EXPECT_EQ(body.at("error").at("message").as_string(), error.message);
    EXPECT_EQ(body.at("error").at("verdict").as_string(), "may-have-run");
    EXPECT_EQ(body.at("error").at("request_id").as_string(), "r-1");
    std::string event = Request::streamErrorEvent(error, "r-1");
    EXPECT_EQ(event.find('\n'), std::string("event: error").size()) << "the JSON is on one line";
    EXPECT_EQ(event.substr(event.size() - 2), "\n\n");
}

TEST(HttpMapping, AKeyWithoutATicketIsGivenOne)
{
    Request::HttpError it = Request::ticketRequired("ticket", "r");
    EXPECT_EQ(it.status, 428);
    EXPECT_EQ(headerOf(it, "Currantvale-Ticket"), "ticket");
    EXPECT_EQ(headerOf(it, "Currantvale-Verdict"), "not-run");
}
