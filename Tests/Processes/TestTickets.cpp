#include "Fleet.h"

#include <LibPlatform/Json.h>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <gtest/gtest.h>
#include <thread>

using namespace Processes;
using Platform::numberOf;
using Platform::stringOf;

namespace {

constexpr std::string_view key = "worker-4711";
constexpr std::string_view mayHaveRun = "may-have-run";

std::string newTicket(Fleet const& fleet, std::size_t home)
{
    return stringOf(getObject(fleet.callers(home), "/v1/entries"), "ticket");
}

Http::Response enrol(Fleet const& fleet, std::size_t daemon, std::string const& ticket)
{
    Http::Fields fields { { "Content-Type", "application/json" }, { "Idempotency-Key", std::string(key) }, { "Currantvale-Ticket", ticket } };
    return fetch(fleet.callers(daemon), { "POST", "/services/records/enrol", fields, R"({"worker":4711})" });
}

std::string verdictOf(Http::Response const& response)
{
    return std::string(response.fields.find("Currantvale-Verdict").value_or(""));
}

std::uint64_t runs(Fleet const& fleet)
{
    boost::json::object counts = getObject(fleet.service(), "/admin/runs");
    boost::json::value const* byKey = counts.if_contains("idempotency_keys");
    return byKey && byKey->is_object() ? numberOf(byKey->get_object(), key) : 0;
}

}

TEST(Enrolment, WhoseReplyIsLostRunsOnceAndSaysThatItMayHaveRun)
{
    Fleet fleet;
    ASSERT_EQ(post(fleet.service(), "/admin/faults", R"({"lose_replies":1})"), 200);
    std::string ticket = newTicket(fleet, 0);
    EXPECT_EQ(verdictOf(enrol(fleet, 0, ticket)), mayHaveRun);
    EXPECT_EQ(runs(fleet), 1U);
    for (std::size_t n : { 1, 2, 0 })
        EXPECT_EQ(verdictOf(enrol(fleet, n, ticket)), mayHaveRun) << Fleet::daemonName(n);
    EXPECT_EQ(runs(fleet), 1U);
}

TEST(Enrolment, RepeatedThroughAllDaemonsRunsOnceAndGivesOneAnswer)
{
    Fleet fleet;
    std::string ticket = newTicket(fleet, 0);
    Http::Response first = enrol(fleet, 1, ticket);
    EXPECT_EQ(first.status, 200);
    for (std::size_t n : { 0, 1, 2 })
        EXPECT_EQ(enrol(fleet, n, ticket).body, first.body) << Fleet::daemonName(n);
    EXPECT_EQ(runs(fleet), 1U);
}

TEST(Enrolment, WhoseHomeIsKilledRunsAtMostOnceAndSaysThatItMayHaveRun)
{
    Fleet fleet;
    ASSERT_EQ(post(fleet.service(), "/admin/faults", R"({"delay_ms":3000})"), 200);
    std::string ticket = newTicket(fleet, 0);
    Http::Response first;
    std::thread caller([&] { first = enrol(fleet, 0, ticket); });
    bool isInFlight = waitFor([&] { return numberOf(fleet.target(0, "records-1"), "in_flight") == 1; });
    fleet.daemon(0).kill();
    caller.join();
    ASSERT_TRUE(isInFlight);
    EXPECT_EQ(first.status, 0) << "its daemon was gone";
    for (std::size_t n : { 1, 2 })
        EXPECT_EQ(verdictOf(enrol(fleet, n, ticket)), mayHaveRun) << Fleet::daemonName(n);
    fleet.startDaemon(0);
    for (std::size_t n : { 0, 1, 2 })
        EXPECT_EQ(verdictOf(enrol(fleet, n, ticket)), mayHaveRun) << Fleet::daemonName(n) << ", home anew";
    // The service delays all alike, so what came before this has been run when it is answered.
    ASSERT_EQ(fetch(fleet.service(), { "GET", "/", {}, {} }).status, 200);
    EXPECT_LE(runs(fleet), 1U);
}
