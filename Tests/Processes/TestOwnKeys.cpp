// Organisations' keys where operators edit objects one by one, on three daemons.

#include "Fleet.h"

#include <LibAccess/KeyDigest.h>
#include <LibPlatform/Json.h>
#include <boost/json/serialize.hpp>
#include <gtest/gtest.h>

using namespace Processes;

namespace {

std::string digests(std::vector<std::string> const& keys)
{
    std::string text;
    for (std::string const& key : keys)
        text += (text.empty() ? "" : ",") + Access::KeyDigest::of(key).toString();
    return text;
}

Http::Response send(Fleet const& fleet, std::size_t daemon, std::string const& key, std::string const& ticket = {})
{
    Http::Fields fields;
    if (!key.empty())
        fields.add("Authorization", "Bearer " + key);
    if (!ticket.empty())
        fields.add("Currantvale-Ticket", ticket);
    fields.add("Currantvale-Organisation", "org-b");
    return fetch(fleet.callers(daemon), { "POST", "/services/records/enrol", fields, "body" });
}

// Whether all daemons answer a key so.
bool allAnswer(Fleet const& fleet, std::string const& key, int status)
{
    for (std::size_t n = 0; n < daemonCount; ++n) {
        if (!waitFor([&] { return send(fleet, n, key).status == status; }))
            return false;
    }
    return true;
}

}

// Guards against a key that goes on to a target or a peer, and against one that outlives its end.
TEST(OwnKeys, LetInWhoHoldsThemAndNobodyElse)
{
    Fleet fleet;
    EXPECT_EQ(send(fleet, 0, "").status, 200) << "without organisations nobody is asked for a key";
    ASSERT_TRUE(fleet.change(0, "organisation", "org-a", { { "key-digests", digests({ "secret-1", "secret-2" }) } }));
    EXPECT_TRUE(allAnswer(fleet, "secret-2", 200));
    EXPECT_TRUE(allAnswer(fleet, "secret-3", 401));
    EXPECT_TRUE(allAnswer(fleet, "", 401));

    // A ticket's request is forwarded to its home, which knows by the organisation's name whose it is.
    std::string ticket = Platform::stringOf(getObject(fleet.callers(0), "/v1/entries"), "ticket");
    for (Http::Response const& answer : { send(fleet, 1, "secret-1"), send(fleet, 1, "secret-1", ticket) }) {
        ASSERT_EQ(answer.status, 200) << answer.body;
        EXPECT_NE(answer.body.find(R"("Currantvale-Organisation":"org-a")"), std::string::npos) << answer.body;
        EXPECT_EQ(answer.body.find("secret-"), std::string::npos) << answer.body;
    }
    EXPECT_EQ(send(fleet, 2, "secret-3", ticket).status, 424) << "what was sent under the ticket before may have run";

    ASSERT_TRUE(fleet.change(1, "organisation", "org-a", { { "key-digests", digests({ "secret-2" }) } }));
    EXPECT_TRUE(allAnswer(fleet, "secret-1", 401));
    EXPECT_EQ(send(fleet, 2, "secret-2").status, 200);
    EXPECT_FALSE(fleet.change(2, "organisation", "org-b", { { "key-digests", digests({ "secret-2" }) } })) << "another one holds it";
    EXPECT_EQ(send(fleet, 2, "secret-2").status, 200);
    for (std::size_t n = 0; n < daemonCount; ++n)
        EXPECT_TRUE(fleet.logLines(Fleet::daemonName(n), "secret-").empty());
}
