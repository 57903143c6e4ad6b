#include "Records.h"
#include <LibState/Config.h>
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace State {

namespace {

Label::LabelSet labels(std::string const& text)
{
    return Label::LabelSet::parse(text).value();
}

std::pair<ObjectKey, Fields> rule(std::string const& name, std::string const& when, std::string const& set)
{
    return { { Kind::RequestRule, name }, { { "when", when }, { "set", set } } };
}

}

TEST(Config, PlatformLabelsCannotBeOverridden)
{
    FoldState state = stateOf({ { targetKey("e1"), { { "labels", "tier=night" } } } });
    std::shared_ptr<Config const> config = Config::create(state);
    EXPECT_EQ(config->labelsOf("e1", labels("zone=a,name=e1")).toString(), "name=e1,tier=night,zone=a");
    EXPECT_EQ(config->labelsOf("e2", labels("zone=a")).toString(), "zone=a");
    EXPECT_EQ(config->labelsOf("e1", labels("tier=day")).toString(), "tier=day") << "whatever the platform sets wins";
    EXPECT_EQ(config->explainLabelsOf("e1", {}).deciders, (std::vector<Decider> { { targetKey("e1"), 0 } }));
}

TEST(Config, RequestRulesApplyInTheOrderOfTheirNames)
{
    std::shared_ptr<Config const> config = Config::create(stateOf({
        rule("3-late", "tier=day", "tier=night"),
        rule("1-first", "org=a", "tier=day"),
        rule("2-second", "tier=day,org", "priority=1"),
        rule("0-early", "tier=night", "seen=yes"),
    }));
    LabelDecision decision = config->explainRequestLabels(labels("org=a"));
    EXPECT_EQ(decision.labels.toString(), "org=a,priority=1,tier=night") << "0-early came before tier=night was set";
    ASSERT_EQ(decision.deciders.size(), 3U);
    EXPECT_EQ(decision.deciders[0], (Decider { { Kind::RequestRule, "1-first" }, 1 }));
    EXPECT_EQ(decision.deciders[2].key.name, "3-late");
    EXPECT_EQ(config->requestLabels(labels("x=y")).toString(), "x=y");
}

TEST(Config, NothingSelectedMeansNothingAllowed)
{
    std::shared_ptr<Config const> empty = Config::create(FoldState());
    EXPECT_FALSE(empty->isAllowed(labels("org=a"), labels("pool=p")));
    EXPECT_TRUE(empty->groupDecision(labels("pool=p")).roles.empty());
    std::shared_ptr<Config const> config = Config::create(stateOf({
        { { Kind::Route, "r1" }, { { "requests", "org=a" }, { "targets", "pool=p,!drain" } } },
        { { Kind::Route, "r2" }, { { "requests", "org" }, { "targets", "pool=q" } } },
    }));
    EXPECT_TRUE(config->isAllowed(labels("org=a"), labels("pool=p")));
    EXPECT_TRUE(config->isAllowed(labels("org=a"), labels("pool=q")));
    EXPECT_FALSE(config->isAllowed(labels("org=a"), labels("pool=p,drain=yes")));
    EXPECT_FALSE(config->isAllowed(labels("org=b"), labels("pool=p")));
    EXPECT_FALSE(config->isAllowed(labels(""), labels("pool=q")));
    EXPECT_EQ(config->explainAllowed(labels("org=a"), labels("pool=q")), (std::vector<Decider> { { { Kind::Route, "r2" }, 1 } }));
}

TEST(Config, OverlappingGroupsAllowOnlyWhatAllOfThemAllow)
{
    std::shared_ptr<Config const> config = Config::create(stateOf({
        { { Kind::Group, "b" }, { { "targets", "zone=a" }, { "roles", "decode,mixed" }, { "model", "m1" }, { "change-cost", "3" } } },
        { { Kind::Group, "a" }, { { "targets", "pool=p" }, { "roles", "prefill,decode" }, { "model", "m2" }, { "version", "v1" }, { "change-cost", "9" } } },
        { { Kind::Group, "c" }, { { "targets", "pool=q" }, { "roles", "prefill" }, { "adapter", "" } } },
    }));
    GroupDecision both = config->groupDecision(labels("pool=p,zone=a"));
    EXPECT_EQ(both.roles.toString(), "decode");
    EXPECT_EQ(both.model, std::nullopt);
    EXPECT_EQ(both.version, "v1");
    EXPECT_EQ(both.changeCostSeconds, 9);
    ASSERT_EQ(both.conflicts.size(), 1U);
    EXPECT_EQ(both.conflicts[0], "group a wants model 'm2', group b wants 'm1': none is ordered");
    ASSERT_EQ(both.groups.size(), 2U);
    EXPECT_EQ(both.groups[0].key.name, "a");
    EXPECT_EQ(config->groupDecision(labels("pool=q")).adapter, "");
    GroupDecision none = config->groupDecision(labels("pool=q,zone=a"));
    EXPECT_TRUE(none.roles.empty());
    EXPECT_EQ(none.conflicts.size(), 1U);
}

/// The index and the queue of candidates give what trying every rule in turn gives.
RC_GTEST_PROP(Config, RequestRulesAgreeWithTryingThemAll, ())
{
    rc::Gen<std::string> key = rc::gen::element<std::string>("a", "b", "c");
    rc::Gen<std::string> value = rc::gen::element<std::string>("1", "2");
    std::vector<std::pair<ObjectKey, Fields>> objects;
    int n = *rc::gen::inRange(0, 12);
    for (int k = 0; k < n; ++k) {
        std::string when = *rc::gen::element<std::string>("", "!") + *key;
        if (*rc::gen::arbitrary<bool>())
            when = *key + *rc::gen::element<std::string>("=", "!=") + *value;
        if (*rc::gen::arbitrary<bool>())
            when += "," + *key + " in (" + *value + "," + *value + ")";
        objects.push_back(rule("r" + std::to_string(k), when, *key + "=" + *value));
    }
    FoldState state = stateOf(objects);
    Label::LabelSet sent = labels(*rc::gen::element<std::string>("", "a=1", "b=2", "a=2,c=1"));
    Label::LabelSet expected = sent;
    for (std::pair<ObjectKey const, ObjectPointer> const& it : state.objects) {
        RequestRuleContent const& content = std::get<RequestRuleContent>(it.second->content);
        if (content.when.matches(expected))
            expected.merge(content.set);
    }
    std::shared_ptr<Config const> config = Config::create(state);
    RC_ASSERT(config->requestLabels(sent) == expected);
    // A view that is built on an older one decides alike, whatever changed in between.
    FoldState older = state;
    if (*rc::gen::arbitrary<bool>() && !older.objects.empty())
        older.objects.erase(older.objects.begin());
    RC_ASSERT(Config::create(state, Config::create(older))->requestLabels(sent) == expected);
}

}
