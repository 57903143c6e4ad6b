#include <gtest/gtest.h>

#include <LibState/ConfigRecord.h>
#include <rapidcheck/gtest.h>

namespace State {

namespace {

std::string digestOf(std::string_view key)
{
    return Access::KeyDigest::of(key).toString();
}

struct BadFields {
    Kind kind;
    Fields fields;
    std::string message;
};

}

TEST(Content, RefusesBadFieldsByName)
{
    Fields const group { { "targets", "pool=a" }, { "roles", "prefill" } };
    auto with = [](Fields fields, std::string const& key, std::string const& value) {
        fields[key] = value;
        return fields;
    };
    std::vector<BadFields> const cases {
        { Kind::Target, {}, "key 'labels' is missing" },
        { Kind::Target, { { "labels", "zone=a" } }, "labels: read 'zone', which the platform alone sets" },
        { Kind::Target, { { "labels", "pool=a" } }, "labels: read 'pool'" },
        { Kind::Target, { { "labels", "a=b" }, { "lables", "a=b" } }, "read key 'lables', allowed: labels" },
        { Kind::Target, { { "labels", std::string(4097, 'a') } }, "labels: read 4097 bytes" },
        { Kind::RequestRule, { { "when", "a=b" }, { "set", "" } }, "set: read nothing" },
        { Kind::RequestRule, { { "when", "" }, { "set", "a=b" } }, "when: position 1" },
        { Kind::Route, { { "requests", "a=b" }, { "targets", "" } }, "targets: position 1: read an empty selector" },
        { Kind::Route, { { "requests", "a=b" } }, "key 'targets' is missing" },
        { Kind::Group, with(group, "roles", ""), "roles: read role ''" },
        { Kind::Group, with(group, "roles", "prefill, encode"), "roles: read role 'encode', allowed: prefill, decode, mixed" },
        { Kind::Group, with(group, "roles", "decode,decode"), "roles: role 'decode' is given twice" },
        { Kind::Group, with(group, "change-cost", "-1"), "change-cost: read '-1'" },
        { Kind::Group, with(group, "change-cost", "nan"), "change-cost: read 'nan'" },
        { Kind::Group, with(group, "change-cost", "5 s"), "change-cost: read '5 s'" },
        { Kind::Group, with(group, "change-cost", "86401"), "change-cost" },
        { Kind::Group, with(group, "model", ""), "model: allowed: 1 to 253" },
        { Kind::Group, with(group, "version", "1 2"), "version: allowed" },
        { Kind::Organisation, {}, "key 'key-digests' is missing" },
        { Kind::Organisation, { { "key-digests", "secret" } }, "key-digests: " },
        { Kind::Organisation, { { "key-digests", digestOf("a") + "," + digestOf("a") } }, "key-digests: a digest is given twice" },
        { Kind::Organisation, { { "key-digests", digestOf("") } }, "key-digests: read the digest of an empty key" },
        { Kind::Organisation, { { "key-digests", "" }, { "priority", "10" } }, "priority: read '10', allowed: a digit" },
    };
    for (BadFields const& it : cases) {
        Core::Result<Content> content = parseContent(it.kind, it.fields);
        ASSERT_TRUE(content.has_error()) << it.message;
        EXPECT_NE(content.error().message.find(it.message), std::string::npos) << content.error().message;
    }
}

TEST(Content, PrintsWhatReadsBack)
{
    std::vector<std::pair<Kind, Fields>> const cases {
        { Kind::Target, { { "labels", "" } } },
        { Kind::Target, { { "labels", "b=2, a=1" } } },
        { Kind::RequestRule, { { "when", "org in (b,a)" }, { "set", "tier=night" } } },
        { Kind::Route, { { "requests", "!drain , a" }, { "targets", "zone notin (x)" } } },
        { Kind::Group, { { "targets", "pool=a" }, { "roles", "mixed, prefill" }, { "change-cost", "7.50" }, { "model", "m/1" }, { "adapter", "" }, { "version", "v" } } },
        { Kind::Organisation, { { "key-digests", digestOf("a") + ", " + digestOf("b") }, { "priority", "3" } } },
        { Kind::Organisation, { { "key-digests", "" } } },
    };
    for (std::pair<Kind, Fields> const& it : cases) {
        Content content = parseContent(it.first, it.second).value();
        EXPECT_EQ(kindOf(content), it.first);
        EXPECT_EQ(parseContent(it.first, fieldsOf(content)).value(), content);
    }
    Fields group = fieldsOf(parseContent(Kind::Group, cases[4].second).value());
    EXPECT_EQ(group["roles"], "prefill,mixed");
    EXPECT_EQ(group["change-cost"], "7.5");
}

// Guards against a key that an operator gave in place of its digest and that the error repeats.
TEST(Content, ErrorsOfOrganisationsRepeatNoKey)
{
    Core::Result<Content> content = parseContent(Kind::Organisation, { { "key-digests", digestOf("a") + ",my-secret-key" } });
    ASSERT_TRUE(content.has_error());
    EXPECT_EQ(content.error().message.find("my-secret-key"), std::string::npos) << content.error().message;
}

TEST(Content, ChecksRecords)
{
    RecordId id { 0, 1 };
    Edit good { { Kind::Target, "a" }, std::nullopt, Fields { { "labels", "a=b" } } };
    EXPECT_TRUE(validate({ id, "x", { good } }));
    EXPECT_FALSE(validate({ id, "x", {} }));
    EXPECT_FALSE(validate({ id, "x", { good, good } })) << "one object twice";
    EXPECT_FALSE(validate({ id, std::string(254, 'x'), { good } }));
    EXPECT_FALSE(validate({ id, "x", { { { Kind::Target, "a" }, std::nullopt, std::nullopt } } })) << "a deletion of no revision";
    for (char const* name : { "", " a", "a b", "a/b", "-a" })
        EXPECT_FALSE(validate({ id, "x", { { { Kind::Target, name }, std::nullopt, good.fields } } })) << name;
}

RC_GTEST_PROP(RecordId, TextReadsBack, (std::uint64_t readNext, std::uint64_t nonce))
{
    RecordId id { readNext, nonce };
    RC_ASSERT(RecordId::parse(id.toString()).value() == id);
    RC_ASSERT(RecordId::parse(id.toString() + "0").has_error());
}

}
