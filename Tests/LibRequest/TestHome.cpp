#include <LibRequest/Home.h>
#include <gtest/gtest.h>

namespace {

using namespace Request;
using namespace std::chrono_literals;

constexpr TimePoint start { 1s };
constexpr Fingerprint first { 1, 1 };
constexpr Fingerprint second { 2, 2 };

Ticket ticketOf(int n, TimePoint issuedAt = start)
{
    Ticket ticket { "tanta-1", 1, issuedAt, {} };
    ticket.nonce[0] = static_cast<std::uint8_t>(n);
    return ticket;
}

OnceTable tableOf(std::size_t maxTickets)
{
    return OnceTable::create({ .ticketLifetime = 10s, .keepAfterEnd = 5s, .maxTickets = maxTickets }).value();
}

}

TEST(OnceTable, ATicketRunsOnceAndIsForOneRequestOnly)
{
    OnceTable table = tableOf(10);
    EXPECT_EQ(table.begin(ticketOf(1), first, start).value(), OnceDecision::Run);
    EXPECT_EQ(table.begin(ticketOf(1), first, start).value(), OnceDecision::Join);
    Core::Error conflict = table.begin(ticketOf(1), second, start).error();
    EXPECT_EQ(conflict.code, Core::ErrorCode::Conflict);
    EXPECT_EQ(conflict.verdict, Core::Verdict::NotRun);
    table.finish(ticketOf(1).nonce, Core::Verdict::NotRun, start);
    EXPECT_EQ(table.begin(ticketOf(1), first, start).value(), OnceDecision::Replay) << "a delayed copy of what was told 'not run'";
}

TEST(OnceTable, AnExpiredTicketIsNeverRun)
{
    OnceTable table = tableOf(10);
    EXPECT_EQ(table.begin(ticketOf(1), first, start + 10s).error().verdict, Core::Verdict::MayHaveRun);
    EXPECT_EQ(table.begin(ticketOf(2), first, start + 9s).value(), OnceDecision::Run);
    EXPECT_EQ(table.begin(ticketOf(2), first, start + 60s).value(), OnceDecision::Join) << "still running";
    table.finish(ticketOf(2).nonce, Core::Verdict::Ran, start + 60s);
    EXPECT_EQ(table.begin(ticketOf(2), first, start + 64s).value(), OnceDecision::Replay);
    EXPECT_EQ(table.begin(ticketOf(2), first, start + 90s).error().verdict, Core::Verdict::MayHaveRun);
    EXPECT_EQ(table.size(), 0U);
}

TEST(OnceTable, WhenFullItRefusesForGoodAndForgetsNothing)
{
    OnceTable table = tableOf(2);
    EXPECT_EQ(table.begin(ticketOf(1), first, start).value(), OnceDecision::Run);
    EXPECT_EQ(table.begin(ticketOf(2), first, start + 5s).value(), OnceDecision::Run);
    Core::Error full = table.begin(ticketOf(3), first, start + 5s).error();
    EXPECT_EQ(full.code, Core::ErrorCode::Overloaded);
    EXPECT_EQ(full.verdict, Core::Verdict::NotRun);
    table.finish(ticketOf(1).nonce, Core::Verdict::Ran, start + 5s);
    table.finish(ticketOf(2).nonce, Core::Verdict::Ran, start + 5s);
    EXPECT_EQ(table.begin(ticketOf(1), first, start + 6s).value(), OnceDecision::Replay);
    TimePoint later = start + 12s;
    EXPECT_EQ(table.begin(ticketOf(3, start + 4s), first, later).error().code, Core::ErrorCode::Overloaded) << "its late copy after there is room";
    EXPECT_EQ(table.begin(ticketOf(4, start + 6s), first, later).value(), OnceDecision::Run);
}

TEST(Home, ADroppedAnswerIsSaidWithItsVerdictAndNotRunAgain)
{
    Home home = Home::create({ .maxAnswerBytes = 4 }, {}).value();
    Ticket ticket = ticketOf(1);
    EXPECT_EQ(home.begin(ticket, first, "a", start).value().decision, OnceDecision::Run);
    EXPECT_EQ(home.append(ticket.nonce, 0, "too long").size(), 1U);
    EXPECT_EQ(home.read(ticket.nonce, {}, 10).error().verdict, Core::Verdict::MayHaveRun);
    home.finish(ticket.nonce, { Core::Verdict::Ran, std::nullopt }, start);
    EXPECT_EQ(home.begin(ticket, first, "a", start).value().decision, OnceDecision::Replay);
    EXPECT_EQ(home.read(ticket.nonce, {}, 10).error().verdict, Core::Verdict::Ran);
}

TEST(Home, ACollectedAnswerMakesRoomAndItsTicketIsRemembered)
{
    Home home = Home::create({}, {}).value();
    Ticket ticket = ticketOf(1);
    ASSERT_TRUE(home.begin(ticket, first, "a", start).has_value());
    home.append(ticket.nonce, 0, "answer");
    home.finish(ticket.nonce, { Core::Verdict::Ran, std::nullopt }, start);
    EXPECT_EQ(home.read(ticket.nonce, {}, 10).value().bytes, "answer");
    home.collected(ticket.nonce);
    EXPECT_EQ(home.keptBytes(), 0U);
    EXPECT_EQ(home.rememberedTickets(), 1U);
    EXPECT_EQ(home.begin(ticket, first, "a", start).value().decision, OnceDecision::Replay);
}
