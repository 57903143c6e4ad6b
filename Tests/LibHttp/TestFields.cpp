#include <LibHttp/Client.h>
#include <gtest/gtest.h>

TEST(Fields, HopByHopFieldsAreDropped)
{
    Http::Fields fields { { "Connection", "close, X-Private" }, { "x-private", "1" }, { "TE", "trailers" }, { "X-Kept", "2" } };
    Http::Fields kept = Http::withoutHopByHop(fields);
    ASSERT_EQ(kept.entries().size(), 1U);
    EXPECT_EQ(kept.find("x-kept"), "2");
}

// Guards against values that throw when a message is made of them, or that begin another field.
TEST(Fields, AValueIsLimitedInSizeAndHasNoControlCharacters)
{
    for (std::string value : { "", "a b\tc", "\xc3\xa4" })
        EXPECT_TRUE(Http::isFieldValue(value)) << value;
    for (std::string const& value : { std::string("a\r\nX-Other: 1"), std::string("a\nb"), std::string("a\0b", 3), std::string(Http::maxFieldValueSize + 1, 'x') })
        EXPECT_FALSE(Http::isFieldValue(value));
}

TEST(Endpoint, ReadsWhatItPrints)
{
    for (std::string text : { "127.0.0.1:80", "[::1]:8080" })
        EXPECT_EQ(Http::toString(Http::parseEndpoint(text).value()), text);
    for (std::string text : { "", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x" })
        EXPECT_TRUE(Http::parseEndpoint(text).has_error()) << text;
}
