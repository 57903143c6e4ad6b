#include <LibAccess/Organisations.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using Access::KeyDigest;
using Access::Organisation;
using Access::Organisations;

Organisation makeOrganisation(std::string name, std::vector<std::string> const& keys, std::optional<int> priority = std::nullopt)
{
    Organisation organisation { std::move(name), priority, {} };
    for (std::string const& key : keys)
        organisation.keys.push_back(KeyDigest::of(key));
    return organisation;
}

std::string errorFor(std::vector<Organisation> organisations)
{
    Core::Result<std::shared_ptr<Organisations const>> created = Organisations::create(std::move(organisations));
    return created.has_error() ? created.error().message : std::string();
}

}

TEST(Organisations, AnyOfItsKeysFindsAnOrganisation)
{
    std::shared_ptr<Organisations const> all = Organisations::create({ makeOrganisation("a", { "k1", "k2" }, 0), makeOrganisation("b", { "k3" }), makeOrganisation("keyless", {}) }).value();
    EXPECT_EQ(all->find("k1")->name, "a");
    EXPECT_EQ(all->find("k2")->priority, 0);
    EXPECT_EQ(all->find("k3")->name, "b");
    for (std::string_view key : { "", "k", "k4", "K1", "k1 " })
        EXPECT_EQ(all->find(key), nullptr) << key;
}

// Guards against a configuration that gives one key two meanings, and against a problem report that shows a key.
TEST(Organisations, WhatCannotBeToldApartIsRefused)
{
    EXPECT_NE(errorFor({ makeOrganisation("a", { "secret-1" }), makeOrganisation("b", { "secret-1" }) }).find("\"a\" holds too"), std::string::npos);
    EXPECT_NE(errorFor({ makeOrganisation("a", { "secret-1", "secret-1" }) }), "");
    EXPECT_NE(errorFor({ makeOrganisation("a", { "" }) }).find("empty key"), std::string::npos);
    EXPECT_NE(errorFor({ makeOrganisation("a", {}), makeOrganisation("a", {}) }).find("twice"), std::string::npos);
    EXPECT_NE(errorFor({ makeOrganisation("", {}) }), "");
    EXPECT_NE(errorFor({ makeOrganisation("a", {}, 10) }).find("0 to 9"), std::string::npos);
    EXPECT_EQ(errorFor({ makeOrganisation("a", { "secret-1" }), makeOrganisation("b", { "secret-1" }) }).find("secret-1"), std::string::npos);
}

TEST(KeyDigest, IsTheStandardsDigest)
{
    // FIPS 180-4's example of one block.
    EXPECT_EQ(KeyDigest::of("abc").toString(), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_EQ(KeyDigest::parse(KeyDigest::of("abc").toString()).value(), KeyDigest::of("abc"));
    EXPECT_TRUE(KeyDigest::parse("abc").has_error());
    EXPECT_EQ(KeyDigest::parse("my-secret").error().message.find("my-secret"), std::string::npos);
}

RC_GTEST_PROP(Organisations, FindsJustWhatItWasGiven, ())
{
    std::set<std::string> keys = *rc::gen::container<std::set<std::string>>(rc::gen::nonEmpty(rc::gen::string<std::string>()));
    std::vector<Organisation> organisations;
    for (std::string const& key : keys)
        organisations.push_back(makeOrganisation("o" + std::to_string(organisations.size()), { key }));
    std::shared_ptr<Organisations const> all = Organisations::create(organisations).value();
    std::size_t n = 0;
    for (std::string const& key : keys)
        RC_ASSERT((all->find(key)->name == "o" + std::to_string(n++)));
    std::string other = *rc::gen::string<std::string>();
    RC_ASSERT(((all->find(other) != nullptr) == keys.contains(other)));
}
