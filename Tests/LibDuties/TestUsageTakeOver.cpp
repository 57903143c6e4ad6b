// Two daemons that take the duty from one another, a store and a service, in every order of what may happen to them up to a bound:
// steps, suspensions, calls whose answers are lost and that are carried out late or never.

#include <LibAuthority/StoreLease.h>
#include <LibDuties/UsageDuty.h>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace {

using namespace std::chrono_literals;
using Time = Core::BootClock::time_point;

constexpr Duties::WindowNumber window = 200;

/// The platform's store, of a lease topic and a topic of reports.
struct Store {
    std::uint64_t leases { 0 }; ///< The end of the topic.
    std::optional<Authority::StoreLeaseClaim> newest;
    std::uint64_t reports { 0 };
    std::optional<Duties::UsageReport> decided;

    std::optional<std::uint64_t> appendClaim(Authority::StoreLeaseHolder const& holder, std::uint64_t expected)
    {
        if (expected != leases)
            return std::nullopt;
        newest = Authority::StoreLeaseClaim { leases, holder };
        return leases++;
    }

    bool appendReport(Duties::UsageReport const& report, std::uint64_t expected)
    {
        if (expected != reports)
            return false;
        decided = report;
        ++reports;
        return true;
    }
};

/// Takes reports, and refuses numbers below one that it has seen. It notes what must never be.
struct Service {
    std::optional<std::uint64_t> highest;
    std::optional<Duties::UsageReport> accepted;
    std::map<std::uint64_t, std::string> holders;
    std::vector<std::string> problems;

    bool take(std::string const& holder, std::uint64_t fencing, Duties::UsageReport const& report)
    {
        if (highest && fencing < *highest)
            return false;
        highest = fencing;
        std::pair<std::map<std::uint64_t, std::string>::iterator, bool> owner = holders.emplace(fencing, holder);
        if (owner.first->second != holder)
            problems.push_back("two holders with the number " + std::to_string(fencing));
        if (accepted && *accepted != report)
            problems.emplace_back("two reports that differ");
        accepted = report;
        return true;
    }
};

/// A call under way that may still be carried out.
struct Late {
    std::string holder;
    std::uint64_t fencing { 0 };
    Duties::UsageReport report;
};

/// One daemon's part, as the shell carries it out: claim, read, decide, send. Each has counted something else.
class Daemon {
public:
    Daemon(std::string name, std::uint64_t count)
        : m_name(std::move(name))
        , m_count(count)
        , m_lease(settings(), { m_name, 1 }, Time())
        , m_duty({ 5s, 10s, 0s, 0.0 })
    {
        m_duty.begin(Duties::endOf(window, 5s) - 1ms);
    }

    enum class Fate : std::uint8_t { Answered,
        AnswerLost, ///< It is carried out.
        Late, ///< It may be carried out later.
    };

    void step(Store& store, Service& service, std::vector<Late>& late, Fate fate, Time now)
    {
        if (m_duty.settledBefore() > window)
            return;
        if (!m_lease.mayOrder(now)) {
            claim(store, fate, now);
            return;
        }
        if (!m_hasRead) {
            if (store.decided)
                m_duty.noteDecided(*store.decided);
            m_reportsEnd = store.reports;
            m_hasRead = true;
            return;
        }
        std::optional<Duties::UsageReport> decided = m_duty.decided(window);
        if (!decided) {
            Duties::UsageReport report { window, { { "a", m_count } } };
            bool isAppended = store.appendReport(report, m_reportsEnd);
            m_hasRead = false;
            if (isAppended && fate == Fate::Answered) {
                m_duty.noteDecided(report);
                m_reportsEnd = store.reports;
                m_hasRead = true;
            }
            return;
        }
        send(service, late, *decided, fate, now);
    }

private:
    static Authority::StoreLeaseSettings settings()
    {
        Authority::StoreLeaseSettings settings;
        settings.isFenced = true;
        return settings;
    }

    void claim(Store& store, Fate fate, Time now)
    {
        m_lease.observe(store.newest, store.leases, now);
        std::optional<Authority::StoreLeaseAppend> append = m_lease.poll(true, now);
        if (!append)
            return;
        std::optional<std::uint64_t> offset = store.appendClaim({ m_name, 1 }, append->expectedNext);
        if (fate != Fate::Answered)
            m_lease.claimUnknown();
        else if (offset)
            m_lease.claimAppended(*offset);
        else
            m_lease.claimFailed();
        m_hasRead = false;
    }

    void send(Service& service, std::vector<Late>& late, Duties::UsageReport const& report, Fate fate, Time now)
    {
        std::uint64_t fencing = *m_lease.fencing();
        m_lease.recordOrder(now);
        if (fate == Fate::Late) {
            late.push_back({ m_name, fencing, report });
            return;
        }
        bool isAccepted = service.take(m_name, fencing, report);
        if (fate == Fate::AnswerLost)
            return;
        if (isAccepted)
            m_duty.noteSettled(window);
        else
            m_lease.loseAuthority(now);
    }

    std::string m_name;
    std::uint64_t m_count;
    Authority::StoreLease m_lease;
    Duties::UsageDuty m_duty;
    bool m_hasRead { false };
    std::uint64_t m_reportsEnd { 0 };
};

enum class Move : std::uint8_t {
    StepA,
    StepB,
    LoseA,
    LoseB,
    LateA,
    LateB,
    CarryOutLate,
    Wait, ///< Longer than a lease: as if both had been suspended.
};
constexpr int moves = 8;

/// One play from its moves.
class Play {
public:
    void move(Move move)
    {
        m_now += 10ms;
        switch (move) {
        case Move::StepA:
            m_a.step(m_store, m_service, m_late, Daemon::Fate::Answered, m_now);
            break;
        case Move::StepB:
            m_b.step(m_store, m_service, m_late, Daemon::Fate::Answered, m_now);
            break;
        case Move::LoseA:
            m_a.step(m_store, m_service, m_late, Daemon::Fate::AnswerLost, m_now);
            break;
        case Move::LoseB:
            m_b.step(m_store, m_service, m_late, Daemon::Fate::AnswerLost, m_now);
            break;
        case Move::LateA:
            m_a.step(m_store, m_service, m_late, Daemon::Fate::Late, m_now);
            break;
        case Move::LateB:
            m_b.step(m_store, m_service, m_late, Daemon::Fate::Late, m_now);
            break;
        case Move::CarryOutLate:
            if (!m_late.empty()) {
                m_service.take(m_late.front().holder, m_late.front().fencing, m_late.front().report);
                m_late.erase(m_late.begin());
            }
            break;
        case Move::Wait:
            m_now += 7s;
            break;
        }
    }

    Service const& service() const { return m_service; }

private:
    Time m_now { 1'000s };
    Store m_store;
    Service m_service;
    std::vector<Late> m_late;
    Daemon m_a { "a", 5 };
    Daemon m_b { "b", 7 };
};

std::string textOf(std::vector<int> const& played)
{
    std::string text;
    for (int it : played)
        text += std::to_string(it) + " ";
    return text;
}

}

// Guards against two reports of a window that differ, a number of two holders, and reports that come after a higher number.
TEST(UsageTakeOver, EveryOrderOfSevenMoves)
{
    constexpr int length = 7;
    std::vector<int> digits(length, 0);
    std::size_t plays = 0;
    std::size_t accepted = 0;
    bool hasMore = true;
    while (hasMore) {
        Play play;
        for (int digit : digits)
            play.move(static_cast<Move>(digit));
        ASSERT_TRUE(play.service().problems.empty()) << play.service().problems.front() << " after " << textOf(digits);
        ++plays;
        accepted += play.service().accepted ? 1 : 0;
        int place = 0;
        while (place < length && ++digits[static_cast<std::size_t>(place)] == moves)
            digits[static_cast<std::size_t>(place++)] = 0;
        hasMore = place < length;
    }
    EXPECT_EQ(plays, 2'097'152U);
    EXPECT_GT(accepted, 10'000U);
}

// Longer ones, drawn: with take-overs, late calls and their repeats in one play.
TEST(UsageTakeOver, LongerPlaysAtRandom)
{
    std::mt19937_64 random(20261203);
    std::size_t accepted = 0;
    for (int n = 0; n < 100'000; ++n) {
        Play play;
        std::vector<int> played;
        for (int step = 0; step < 24; ++step) {
            played.push_back(static_cast<int>(random() % moves));
            play.move(static_cast<Move>(played.back()));
        }
        ASSERT_TRUE(play.service().problems.empty()) << play.service().problems.front() << " after " << textOf(played);
        accepted += play.service().accepted ? 1 : 0;
    }
    EXPECT_GT(accepted, 50'000U);
}
