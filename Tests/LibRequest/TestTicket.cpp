#include <LibRequest/TicketIssuer.h>
#include <gtest/gtest.h>
#include <random>

namespace {

Request::TimePoint at(std::int64_t ms)
{
    return Request::TimePoint(std::chrono::milliseconds(ms));
}

Request::TicketIssuer issuer(std::string home, std::uint64_t incarnation, std::uint8_t secret = 7)
{
    std::shared_ptr<std::mt19937_64> engine = std::make_shared<std::mt19937_64>(1);
    return Request::TicketIssuer::create({ std::move(home), incarnation, std::vector<std::uint8_t>(32, secret),
                                             [engine](std::span<std::uint8_t> bytes) {
                                                 for (std::uint8_t& byte : bytes)
                                                     byte = static_cast<std::uint8_t>((*engine)());
                                             } })
        .value();
}

}

TEST(Ticket, NamesItsHomeAnywhereAndIsVerifiedThere)
{
    std::string text = issuer("tanta-1", 42).issue(at(5));
    Request::Ticket ticket = Request::Ticket::parse(text).value();
    EXPECT_EQ(ticket.home, "tanta-1");
    EXPECT_EQ(ticket.incarnation, 42U);
    EXPECT_EQ(ticket.issuedAt, at(5));
    EXPECT_EQ(issuer("tanta-1", 42).verify(text).value(), ticket);
}

TEST(Ticket, EveryChangedCharacterIsRefused)
{
    Request::TicketIssuer home = issuer("tanta-1", 42);
    std::string text = home.issue(at(5));
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::string changed = text;
        changed[i] = changed[i] == 'A' ? 'B' : 'A';
        EXPECT_TRUE(home.verify(changed).has_error()) << i;
    }
    EXPECT_TRUE(home.verify(text.substr(1)).has_error());
    EXPECT_TRUE(home.verify("").has_error());
}

TEST(Ticket, AForgedOneDidNotRunAndAFormerIncarnationsMayHave)
{
    Request::TicketIssuer home = issuer("tanta-1", 42);
    ASSERT_TRUE(home.verify(issuer("tanta-1", 42, 8).issue(at(5))).has_error());
    ASSERT_TRUE(home.verify(issuer("tanta-1", 41).issue(at(5))).has_error());
    ASSERT_TRUE(home.verify(issuer("tanta-2", 42).issue(at(5))).has_error());
    EXPECT_EQ(home.verify(issuer("tanta-1", 42, 8).issue(at(5))).error().verdict, Core::Verdict::NotRun);
    EXPECT_EQ(home.verify(issuer("tanta-1", 41).issue(at(5))).error().verdict, Core::Verdict::MayHaveRun);
    EXPECT_EQ(home.verify(issuer("tanta-2", 42).issue(at(5))).error().verdict, Core::Verdict::MayHaveRun);
}
