#include <LibHttp/Client.h>
#include <gtest/gtest.h>

TEST(Fields, HopByHopFieldsAreDropped)
{
    Http::Fields fields { { "Connection", "close, X-Private" }, { "x-private", "1" }, { "TE", "trailers" }, { "X-Kept", "2" } };
    Http::Fields kept = Http::withoutHopByHop(fields);
    ASSERT_EQ(kept.entries().size(), 1U);
    EXPECT_EQ(kept.find("x-kept"), "2");
}

TEST(Endpoint, ReadsWhatItPrints)
{
    for (std::string text : { "127.0.0.1:80", "[::1]:8080" })
        EXPECT_EQ(Http::toString(Http::parseEndpoint(text).value()), text);
    for (std::string text : { "", "127.0.0.1", "localhost:80", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x" })
        EXPECT_TRUE(Http::parseEndpoint(text).has_error()) << text;
}
