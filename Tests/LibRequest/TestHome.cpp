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

/// The error, or a default one if there is none.
template <typename T>
Core::Error errorOf(Core::Result<T> const& result)
{
    return result.has_error() ? result.error() : Core::Error { Core::ErrorCode::Corrupt, "no error", Core::Verdict::NotRun };
}

std::optional<OnceDecision> decisionOf(Core::Result<OnceDecision> const& result)
{
    return result.has_value() ? std::optional(result.value()) : std::nullopt;
}

OnceTable tableOf(std::size_t maxTickets)
{
    return OnceTable::create({ .ticketLifetime = 10s, .keepAfterEnd = 5s, .maxTickets = maxTickets }).value();
}

}

TEST(OnceTable, ATicketRunsOnceAndIsForOneRequestOnly)
{
    OnceTable table = tableOf(10);
    EXPECT_EQ(decisionOf(table.begin(ticketOf(1), first, "a", start)), OnceDecision::Run);
    EXPECT_EQ(decisionOf(table.begin(ticketOf(1), first, "a", start)), OnceDecision::Join);
    Core::Error conflict = errorOf(table.begin(ticketOf(1), second, "a", start));
    EXPECT_EQ(conflict.code, Core::ErrorCode::Conflict);
    EXPECT_EQ(conflict.verdict, Core::Verdict::NotRun);
    table.finish(ticketOf(1).nonce, Core::Verdict::NotRun, start);
    EXPECT_EQ(decisionOf(table.begin(ticketOf(1), first, "a", start)), OnceDecision::Replay) << "a delayed copy of what was told 'not run'";
}

TEST(OnceTable, AnExpiredTicketIsNeverRun)
{
    OnceTable table = tableOf(10);
    EXPECT_EQ(decisionOf(table.begin(ticketOf(2), first, "a", start + 9s)), OnceDecision::Run);
    EXPECT_EQ(errorOf(table.begin(ticketOf(1), first, "a", start + 10s)).verdict, Core::Verdict::MayHaveRun);
    EXPECT_TRUE(table.begin(ticketOf(2), first, "a", start + 60s).has_value()) << "still running";
    table.finish(ticketOf(2).nonce, Core::Verdict::Ran, start + 60s);
    EXPECT_EQ(decisionOf(table.begin(ticketOf(2), first, "a", start + 64s)), OnceDecision::Replay);
    EXPECT_EQ(errorOf(table.begin(ticketOf(2), first, "a", start + 90s)).verdict, Core::Verdict::MayHaveRun);
    EXPECT_EQ(table.size(), 0U);
}

TEST(OnceTable, AClockReadEarlierByAnotherThreadRunsNothingTwice)
{
    OnceTable table = tableOf(10);
    EXPECT_EQ(decisionOf(table.begin(ticketOf(1), first, "a", start)), OnceDecision::Run);
    table.finish(ticketOf(1).nonce, Core::Verdict::Ran, start);
    table.expire(start + 10s);
    EXPECT_EQ(table.size(), 0U);
    EXPECT_EQ(errorOf(table.begin(ticketOf(1), first, "a", start + 9s)).verdict, Core::Verdict::MayHaveRun);
}

TEST(OnceTable, WhenFullItRefusesForGoodAndForgetsNothing)
{
    OnceTable table = tableOf(2);
    EXPECT_EQ(decisionOf(table.begin(ticketOf(1), first, "a", start)), OnceDecision::Run);
    EXPECT_EQ(decisionOf(table.begin(ticketOf(2), first, "a", start + 5s)), OnceDecision::Run);
    Core::Error full = errorOf(table.begin(ticketOf(3), first, "a", start + 5s));
    EXPECT_EQ(full.code, Core::ErrorCode::Overloaded);
    EXPECT_EQ(full.verdict, Core::Verdict::NotRun);
    table.finish(ticketOf(1).nonce, Core::Verdict::Ran, start + 5s);
    table.finish(ticketOf(2).nonce, Core::Verdict::Ran, start + 5s);
    EXPECT_EQ(decisionOf(table.begin(ticketOf(1), first, "a", start + 6s)), OnceDecision::Replay);
    TimePoint later = start + 12s;
    EXPECT_EQ(errorOf(table.begin(ticketOf(3, start + 4s), first, "a", later)).code, Core::ErrorCode::Overloaded) << "its late copy after there is room";
    EXPECT_TRUE(table.begin(ticketOf(4, start + 6s), first, "a", later).has_value());
}

TEST(OnceTable, OneOrganisationCantUseUpTheTable)
{
    OnceTable table = OnceTable::create({ .ticketLifetime = 10s, .keepAfterEnd = 5s, .maxTickets = 10, .maxTicketsPerOrganisation = 2 }).value();
    for (int n : { 1, 2 }) {
        EXPECT_EQ(decisionOf(table.begin(ticketOf(n), first, "flood", start)), OnceDecision::Run);
        table.finish(ticketOf(n).nonce, Core::Verdict::Ran, start);
    }
    Core::Error full = errorOf(table.begin(ticketOf(3, start + 8s), first, "flood", start + 9s));
    EXPECT_EQ(full.code, Core::ErrorCode::Overloaded);
    EXPECT_EQ(full.verdict, Core::Verdict::NotRun);
    EXPECT_EQ(decisionOf(table.begin(ticketOf(4, start + 8s), first, "other", start + 9s)), OnceDecision::Run);
    table.expire(start + 12s);
    EXPECT_EQ(table.size(), 1U);
    EXPECT_EQ(errorOf(table.begin(ticketOf(3, start + 8s), first, "flood", start + 12s)).code, Core::ErrorCode::Overloaded) << "a late copy of what was told 'not run'";
    EXPECT_EQ(decisionOf(table.begin(ticketOf(5, start + 12s), first, "flood", start + 12s)), OnceDecision::Run);
    table.expire(start + 40s);
    EXPECT_EQ(decisionOf(table.begin(ticketOf(6, start + 39s), first, "flood", start + 40s)), OnceDecision::Run);
}

TEST(Home, ADroppedAnswerIsSaidWithItsVerdictAndNotRunAgain)
{
    Home home = Home::create({ .maxAnswerBytes = 4 }, {}).value();
    Ticket ticket = ticketOf(1);
    EXPECT_EQ(home.begin(ticket, first, "a", start).value().decision, OnceDecision::Run);
    EXPECT_EQ(home.append(ticket.nonce, 0, "too long").size(), 1U);
    EXPECT_EQ(errorOf(home.read(ticket.nonce, {}, 10)).verdict, Core::Verdict::MayHaveRun);
    home.finish(ticket.nonce, { Core::Verdict::Ran, std::nullopt }, start);
    EXPECT_EQ(home.begin(ticket, first, "a", start).value().decision, OnceDecision::Replay);
    EXPECT_EQ(errorOf(home.read(ticket.nonce, {}, 10)).verdict, Core::Verdict::Ran);
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
