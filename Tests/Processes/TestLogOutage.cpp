#include "Fleet.h"
#include "StreamLoad.h"

#include <LibPlatform/Json.h>
#include <algorithm>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <gtest/gtest.h>

using namespace Processes;
using Platform::numberOf;
using Platform::stringOf;

namespace {

constexpr std::string_view name = "reasoning-2";

// Returns how many records of this id were accepted, as a daemon's history tells.
std::ptrdiff_t accepted(Fleet const& fleet, std::size_t n, std::string const& id)
{
    boost::json::object history = fleet.read(n, "/v1/config/history?limit=50");
    boost::json::array const* records = Platform::arrayOf(history, "records");
    return records ? std::count_if(records->begin(), records->end(), [&](boost::json::value const& it) { return stringOf(it.get_object(), "id") == id && stringOf(it.get_object(), "outcome") == "accepted"; }) : -1;
}

// An answer to a change that tells its author the truth while the log is down.
bool isUncertainOrNotRun(Http::Response const& response)
{
    Core::Result<boost::json::object> body = Platform::parseObject(response.body);
    if (response.status != 503 || body.has_error())
        return false;
    boost::json::value const* error = body.value().if_contains("error");
    std::string verdict = error && error->is_object() ? stringOf(error->get_object(), "verdict") : "";
    return stringOf(body.value(), "outcome") == "unknown" || verdict == "not-run" || verdict == "may-have-run";
}

}

TEST(LogOutage, LeavesTrafficAloneAndChangesUndecided)
{
    Fleet fleet;
    StreamLoad load([&] { return std::vector<Endpoint> { fleet.callers(0), fleet.callers(1), fleet.callers(2) }; }, std::chrono::milliseconds(500));
    ASSERT_TRUE(waitFor([&] { return load.received() > 0; }));
    boost::json::array edits;
    edits.push_back(fleet.edit(0, "target", std::string(name), { { "labels", "tier=night" } }));
    std::string id = fleet.newRecordId(0);
    ASSERT_EQ(post(fleet.log(), "/admin/faults", R"({"down":true})"), 200);
    for (std::size_t n = 0; n < daemonCount; ++n) {
        Http::Response response = fleet.submit(n, id, edits);
        EXPECT_TRUE(isUncertainOrNotRun(response)) << response.status << response.body;
    }
    std::uint64_t before = load.received();
    EXPECT_TRUE(waitFor([&] { return load.received() > before + 100; })) << "traffic goes on without the log";
    ASSERT_EQ(post(fleet.log(), "/admin/faults", R"({"down":false})"), 200);
    // Sent again under its id by several hands: accepted once, and everybody is told so.
    for (std::size_t n = 0; n < daemonCount; ++n)
        EXPECT_TRUE(waitFor([&] { return fleet.submit(n, id, edits).status == 200; })) << n;
    for (std::size_t n = 0; n < daemonCount; ++n)
        EXPECT_TRUE(waitFor([&] { return accepted(fleet, n, id) == 1; })) << n;
    LoadCounts counts = load.stop();
    EXPECT_EQ(counts.whole, counts.sent) << counts.text;
}

TEST(LogOutage, ThatLosesTheReplyToAnAppendAcceptsTheChangeOnce)
{
    Fleet fleet;
    boost::json::array edits;
    edits.push_back(fleet.edit(0, "target", std::string(name), { { "labels", "tier=night" } }));
    std::string id = fleet.newRecordId(0);
    ASSERT_EQ(post(fleet.log(), "/admin/faults", R"({"lose_replies":1})"), 200);
    fleet.submit(0, id, edits);
    for (std::size_t n = 0; n < daemonCount; ++n)
        EXPECT_TRUE(waitFor([&] { return fleet.submit(n, id, edits).status == 200; })) << n;
    for (std::size_t n = 0; n < daemonCount; ++n)
        EXPECT_TRUE(waitFor([&] { return accepted(fleet, n, id) == 1; })) << n;
}

TEST(Restart, OfAllDaemonsAtOnceKeepsTheConfiguration)
{
    Fleet fleet;
    ASSERT_TRUE(fleet.change(0, "target", std::string(name), { { "labels", "tier=night" } }));
    boost::json::object before;
    ASSERT_TRUE(waitFor([&] {
        before = fleet.config(0);
        return !before.empty() && before == fleet.config(1) && before == fleet.config(2);
    }));
    for (std::size_t n = 0; n < daemonCount; ++n)
        fleet.daemon(n).kill();
    for (std::size_t n = 0; n < daemonCount; ++n)
        fleet.spawnDaemon(n);
    for (std::size_t n = 0; n < daemonCount; ++n) {
        ASSERT_TRUE(fleet.waitUntilReady(n));
        boost::json::object after;
        EXPECT_TRUE(waitFor([&] {
            after = fleet.config(n);
            return after.contains("objects") && after["objects"] == before["objects"];
        })) << boost::json::serialize(after);
        EXPECT_GE(numberOf(after, "offset"), numberOf(before, "offset"));
    }
}
