#include <gtest/gtest.h>

#include <LibLabel/Selector.h>
#include <rapidcheck/gtest.h>

namespace Label {

namespace {

bool selects(std::string_view selector, std::string_view labels)
{
    return Selector::parse(selector).value().matches(LabelSet::parse(labels).value());
}

rc::Gen<std::string> genName()
{
    return rc::gen::element<std::string>("a", "b", "in", "notin", "x.y-z_0", "example.org/tier");
}

rc::Gen<std::string> genValue()
{
    return rc::gen::element<std::string>("", "a", "b", "in", "night", "Tanta-1");
}

std::string genRequirement()
{
    std::string key = *genName();
    std::vector<std::string> values = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::string>>(genValue()));
    std::string list = values.front();
    for (std::size_t n = 1; n < values.size(); ++n)
        list += " , " + values[n];
    switch (*rc::gen::inRange(0, 7)) {
    case 0:
        return key + "=" + values.front();
    case 1:
        return key + " == " + values.front();
    case 2:
        return key + "!=" + values.front();
    case 3:
        return key + " in (" + list + ")";
    case 4:
        return key + " notin(" + list + " )";
    case 5:
        return "! " + key;
    default:
        return key;
    }
}

}

TEST(Selector, FollowsKubernetesSemantics)
{
    EXPECT_TRUE(selects("tier=night", "tier=night"));
    EXPECT_TRUE(selects("tier==night", "tier=night"));
    EXPECT_FALSE(selects("tier=night", "tier=day"));
    EXPECT_FALSE(selects("tier=night", ""));
    EXPECT_FALSE(selects("tier!=night", "tier=night"));
    EXPECT_TRUE(selects("tier!=night", "tier=day"));
    EXPECT_TRUE(selects("tier!=night", "")) << "!= holds for an absent key";
    EXPECT_TRUE(selects("zone in (a,b)", "zone=b"));
    EXPECT_FALSE(selects("zone in (a,b)", "zone=c"));
    EXPECT_FALSE(selects("zone in (a,b)", ""));
    EXPECT_FALSE(selects("zone notin (a,b)", "zone=a"));
    EXPECT_TRUE(selects("zone notin (a,b)", "zone=c"));
    EXPECT_TRUE(selects("zone notin (a,b)", "")) << "notin holds for an absent key";
    EXPECT_TRUE(selects("drain", "drain="));
    EXPECT_FALSE(selects("!drain", "drain=no"));
    EXPECT_TRUE(selects("!drain", "zone=a"));
    EXPECT_TRUE(selects("tier=night, zone in (a,b), !drain", "tier=night,zone=a"));
    EXPECT_FALSE(selects("tier=night, zone in (a,b), !drain", "tier=night,zone=a,drain=yes"));
}

TEST(Selector, PrintsCanonically)
{
    EXPECT_EQ(Selector::parse("z in (b,a,b), t == n, !d, t = n").value().toString(), "!d,t=n,z in (a,b)");
    EXPECT_EQ(Selector::parse("a notin (x)").value().toString(), "a!=x");
}

TEST(Selector, RefusesWithPosition)
{
    std::pair<std::string, std::string> const cases[] = {
        { "", "position 1: read an empty selector" },
        { " \t", "position 1: read an empty selector" },
        { "a,", "position 3: read the end" },
        { ",a", "position 1: read ','" },
        { "a b", "position 3: read 'b'" },
        { "a in x", "position 6: read 'x'" },
        { "a in (x", "position 8: read the end" },
        { "a in (x y)", "position 9: read 'y'" },
        { "a in ()", "list of values is empty" },
        { "a=b=c", "position 4: read '='" },
        { "!a=b", "position 3: read '='" },
        { "a=-", "position 3: read '-'" },
        { "a>1", "position 2: read '>'" },
    };
    for (std::pair<std::string, std::string> const& it : cases) {
        Core::Result<Selector> result = Selector::parse(it.first);
        ASSERT_TRUE(result.has_error()) << it.first;
        EXPECT_EQ(result.error().code, Core::ErrorCode::BadInput);
        EXPECT_NE(result.error().message.find(it.second), std::string::npos) << result.error().message;
    }
}

RC_GTEST_PROP(Selector, CanonicalTextReadsBack, ())
{
    std::string text = genRequirement();
    for (int n = *rc::gen::inRange(0, 4); n > 0; --n)
        text += ", " + genRequirement();
    Selector selector = Selector::parse(text).value();
    Selector again = Selector::parse(selector.toString()).value();
    RC_ASSERT(again == selector);
    RC_ASSERT(again.toString() == selector.toString());
}

RC_GTEST_PROP(Selector, AnyTextIsRefusedOrReadsBack, ())
{
    std::string text = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab!=(), in/-\x7f")));
    Core::Result<Selector> selector = Selector::parse(text);
    if (selector)
        RC_ASSERT(Selector::parse(selector.value().toString()).value() == selector.value());
}

}
