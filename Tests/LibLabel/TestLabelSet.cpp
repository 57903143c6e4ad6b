#include <gtest/gtest.h>

#include <LibLabel/LabelSet.h>
#include <rapidcheck/gtest.h>

namespace Label {

TEST(LabelSet, ParsesSortsAndPrints)
{
    LabelSet labels = LabelSet::parse(" zone = tanta-hall ,example.org/tier=night, empty=").value();
    EXPECT_EQ(labels.toString(), "empty=,example.org/tier=night,zone=tanta-hall");
    EXPECT_EQ(labels.get("zone"), "tanta-hall");
    EXPECT_EQ(labels.get("empty"), "");
    EXPECT_EQ(labels.get("tier"), std::nullopt);
    EXPECT_TRUE(LabelSet::parse("").value().empty());
}

TEST(LabelSet, MergesSetsAndErases)
{
    LabelSet labels = LabelSet::parse("a=1,b=2").value();
    labels.merge(LabelSet::parse("b=3,c=4").value());
    EXPECT_EQ(labels.toString(), "a=1,b=3,c=4");
    EXPECT_TRUE(labels.erase("a"));
    EXPECT_FALSE(labels.erase("a"));
    EXPECT_TRUE(labels.set("d", "5").has_value());
    EXPECT_TRUE(labels.set("d", "6").has_value());
    EXPECT_EQ(labels.toString(), "b=3,c=4,d=6");
    EXPECT_FALSE(labels.set("d e", "5").has_value());
    EXPECT_FALSE(labels.set("d", "5,f=6").has_value());
}

TEST(LabelSet, RefusesWithPosition)
{
    std::string longest(63, 'x');
    EXPECT_TRUE(LabelSet::parse(longest + "=" + longest).has_value());
    EXPECT_TRUE(LabelSet::parse("a=1,a" + longest + "=2").has_error());
    std::pair<std::string, std::string> const cases[] = {
        { "a", "position 2: read the end" },
        { "a=1,", "position 5: read the end" },
        { "a=1 b=2", "position 5: read 'b'" },
        { "a=1,-b=2", "position 5: read '-b'" },
        { "a=x-", "position 3: read 'x-'" },
        { "a=" + longest + "y", "position 3: read 'xxx" },
        { "Org/a=1", "position 1: read 'Org'" },
        { "org/=1", "position 5: read ''" },
        { "org..de/a=1", "position 1: read 'org..de'" },
        { "a=\x01", "position 3: read '\\x01'" },
        { "a=1,a=2", "given twice" },
    };
    for (std::pair<std::string, std::string> const& it : cases) {
        Core::Result<LabelSet> result = LabelSet::parse(it.first);
        ASSERT_TRUE(result.has_error()) << it.first;
        EXPECT_EQ(result.error().code, Core::ErrorCode::BadInput);
        EXPECT_NE(result.error().message.find(it.second), std::string::npos) << result.error().message;
    }
}

RC_GTEST_PROP(LabelSet, AnyTextIsRefusedOrPrintsBack, (std::string const& text))
{
    Core::Result<LabelSet> labels = LabelSet::parse(text);
    if (labels)
        RC_ASSERT(LabelSet::parse(labels.value().toString()).value() == labels.value());
}

}
