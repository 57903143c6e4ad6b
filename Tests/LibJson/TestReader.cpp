#include <LibJson/Reader.h>
#include <gtest/gtest.h>

TEST(Reader, TellsAbsentFromWrong)
{
    boost::json::object object = Json::parseObject(R"({"s":"x","n":7,"b":true,"list":[{"a":1},{}],"mixed":[{},1]})").value();
    EXPECT_EQ(Json::optionalString(object, "s").value(), "x");
    EXPECT_EQ(Json::optionalString(object, "none").value(), std::nullopt);
    EXPECT_TRUE(Json::optionalString(object, "n").has_error());
    EXPECT_EQ(Json::requiredNumber(object, "n").value(), 7U);
    EXPECT_EQ(Json::requiredNumber(object, "none").error().message, "'none' is missing.");
    EXPECT_TRUE(Json::optionalNumber(object, "s").has_error());
    EXPECT_EQ(Json::optionalBool(object, "b").value(), true);
    EXPECT_TRUE(Json::optionalBool(object, "n").has_error());
    EXPECT_EQ(Json::requiredObjects(object, "list").value().size(), 2U);
    EXPECT_TRUE(Json::requiredObjects(object, "mixed").has_error());
    EXPECT_TRUE(Json::requiredObjects(object, "none").has_error());
}

TEST(Reader, BadNumbersAndTextsAreErrors)
{
    boost::json::object object = Json::parseObject(R"({"negative":-1,"fraction":1.5,"large":1e30})").value();
    for (char const* key : { "negative", "fraction", "large" })
        EXPECT_EQ(Json::optionalNumber(object, key).error().code, Core::ErrorCode::BadInput) << key;
    for (char const* text : { "", "[]", "{", "{}x" })
        EXPECT_TRUE(Json::parseObject(text).has_error()) << text;
}
