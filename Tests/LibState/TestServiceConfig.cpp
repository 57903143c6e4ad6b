#include <LibState/ServiceConfig.h>
#include <LibState/TargetView.h>
#include <gtest/gtest.h>
#include <map>

namespace {

using namespace State;
using namespace std::chrono_literals;

EntryRoute route(std::string name, std::string host, std::string prefix, std::string service)
{
    EntryRoute result;
    result.name = std::move(name);
    result.host = std::move(host);
    result.pathPrefix = std::move(prefix);
    result.shares = { { std::move(service), 1 } };
    return result;
}

Label::LabelSet labels(std::string_view text) { return Label::LabelSet::parse(text).value(); }

}

TEST(EntryRoutes, TheLongestPrefixOfTheHostDecides)
{
    EntryRoutes routes({ route("all", "a.example", "/", "x"), route("deep", "a.example", "/one/two/", "y"), route("one", "a.example", "/one/", "z"), route("other", "b.example", "/one/", "w") });
    EXPECT_EQ(routes.find("a.example", "/one/two/three")->name, "deep");
    EXPECT_EQ(routes.find("a.example", "/one/three")->name, "one");
    EXPECT_EQ(routes.find("A.Example", "/one")->name, "all");
    EXPECT_EQ(routes.find("b.example", "/one/")->name, "other");
    EXPECT_EQ(routes.find("b.example", "/"), nullptr);
    EXPECT_EQ(routes.find("c.example", "/one/"), nullptr);
}

TEST(EntryRoutes, SharesFollowTheirWeights)
{
    EntryRoute split = route("split", "a", "/", "x");
    split.shares = { { "x", 90 }, { "y", 10 }, { "z", 0 } };
    std::map<std::string, int> counts;
    for (std::uint64_t n = 0; n < 10'000; ++n)
        ++counts[chooseShare(split, n).service];
    EXPECT_NEAR(counts["x"], 9'000, 200);
    EXPECT_NEAR(counts["y"], 1'000, 200);
    EXPECT_EQ(counts["z"], 0);
    EXPECT_EQ(&chooseShare(split, 7), &chooseShare(split, 7));
}

TEST(ServiceConfig, BecomesLabelsAndSelectors)
{
    ServiceConfig config;
    config.version = 3;
    EntryRoute safe = route("look-up", "a", "/s/", "records");
    safe.isRepeatable = true;
    safe.priority = 2;
    EntryRoute prompts = route("histories", "a", "/h/", "reasoning");
    prompts.shares.push_back({ "reasoning-2", 1 });
    config.routes = EntryRoutes({ safe, prompts });
    config.services = { { "records", std::nullopt }, { "reasoning", EngineTerms { 64, 1'000, 3s, 5s } } };
    Core::Result<std::shared_ptr<Config const>> made = toLabelConfig(config, 17);
    ASSERT_TRUE(made.has_value()) << made.error().message;
    Config const& result = *made.value();
    Label::LabelSet request = result.requestLabels(labels("route=look-up,service=records"));
    EXPECT_EQ(request.get("priority"), "2");
    EXPECT_EQ(request.get("repeatable"), "yes");
    EXPECT_EQ(result.requestLabels(labels("route=histories")).get("repeatable"), "no");
    EXPECT_TRUE(result.isAllowed(request, labels("service=records")));
    EXPECT_FALSE(result.isAllowed(request, labels("service=reasoning")));
    EXPECT_TRUE(result.isAllowed(labels("route=histories"), labels("service=reasoning-2")));
    EXPECT_FALSE(result.isAllowed(labels("route=unknown"), labels("service=records"))) << "nothing selected means nothing allowed";
    EXPECT_TRUE(result.groupDecision(labels("service=reasoning")).roles.contains(Role::Prefill));
    EXPECT_TRUE(result.groupDecision(labels("service=records")).roles.empty());
}

TEST(ServiceConfig, ANameThatIsNoLabelValueIsAnError)
{
    ServiceConfig config;
    config.version = 1;
    config.routes = EntryRoutes({ route("not a name", "a", "/", "x") });
    Core::Result<std::shared_ptr<Config const>> made = toLabelConfig(config, 1);
    ASSERT_TRUE(made.has_error());
    EXPECT_EQ(made.error().code, Core::ErrorCode::BadInput);
}
