// Model check of duty hand-over between two daemons, a store and a service: every sequence of events up to a bounded length, with
// steps, suspensions, lost replies, and calls that take effect late or never.

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

/// The platform's store, with a lease topic and a report topic.
struct Store {
    std::uint64_t leases { 0 }; ///< End offset of the lease topic.
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

/// Accepts reports and refuses fencing tokens below the highest seen. Records violations of the invariants.
struct Service {
    std::optional<std::uint64_t> highest;
    std::optional<Duties::UsageReport> accepted;
    std::map<std::uint64_t, std::string> holders;
    std::vector<std::string> violations;

    bool take(std::string const& holder, std::uint64_t fencing, Duties::UsageReport const& report)
    {
        if (highest && fencing < *highest)
            return false;
        highest = fencing;
        std::pair<std::map<std::uint64_t, std::string>::iterator, bool> owner = holders.emplace(fencing, holder);
        if (owner.first->second != holder)
            violations.push_back("two holders with fencing token " + std::to_string(fencing));
        if (accepted && *accepted != report)
            violations.emplace_back("two different reports");
        accepted = report;
        return true;
    }
};

/// A call in flight that may still take effect.
struct DelayedCall {
    std::string holder;
    std::uint64_t fencing { 0 };
    Duties::UsageReport report;
};

/// One daemon, with the steps of LibDaemon: claim, read, decide, send. Each daemon has a different count.
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

    enum class CallOutcome : std::uint8_t { Answered,
        AnswerLost, ///< The call takes effect.
        Late, ///< The call may take effect later.
    };

    void step(Store& store, Service& service, std::vector<DelayedCall>& delayed, CallOutcome outcome, Time now)
    {
        if (m_duty.settledBefore() > window)
            return;
        if (!m_lease.mayOrder(now)) {
            claim(store, outcome, now);
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
            if (isAppended && outcome == CallOutcome::Answered) {
                m_duty.noteDecided(report);
                m_reportsEnd = store.reports;
                m_hasRead = true;
            }
            return;
        }
        send(service, delayed, *decided, outcome, now);
    }

private:
    static Authority::StoreLeaseSettings settings()
    {
        Authority::StoreLeaseSettings settings;
        settings.isFenced = true;
        return settings;
    }

    void claim(Store& store, CallOutcome outcome, Time now)
    {
        m_lease.observe(store.newest, store.leases, now);
        std::optional<Authority::StoreLeaseAppend> append = m_lease.poll(true, now);
        if (!append)
            return;
        std::optional<std::uint64_t> offset = store.appendClaim({ m_name, 1 }, append->expectedNext);
        if (outcome != CallOutcome::Answered)
            m_lease.claimUnknown();
        else if (offset)
            m_lease.claimAppended(*offset);
        else
            m_lease.claimFailed();
        m_hasRead = false;
    }

    void send(Service& service, std::vector<DelayedCall>& delayed, Duties::UsageReport const& report, CallOutcome outcome, Time now)
    {
        std::uint64_t fencing = *m_lease.fencing();
        m_lease.recordOrder(now);
        if (outcome == CallOutcome::Late) {
            delayed.push_back({ m_name, fencing, report });
            return;
        }
        bool isAccepted = service.take(m_name, fencing, report);
        if (outcome == CallOutcome::AnswerLost)
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
    Wait, ///< Longer than a lease, as if both daemons had been suspended.
};
constexpr int moves = 8;

/// One run of the model.
class ModelRun {
public:
    void move(Move move)
    {
        m_now += 10ms;
        switch (move) {
        case Move::StepA:
            m_a.step(m_store, m_service, m_delayed, Daemon::CallOutcome::Answered, m_now);
            break;
        case Move::StepB:
            m_b.step(m_store, m_service, m_delayed, Daemon::CallOutcome::Answered, m_now);
            break;
        case Move::LoseA:
            m_a.step(m_store, m_service, m_delayed, Daemon::CallOutcome::AnswerLost, m_now);
            break;
        case Move::LoseB:
            m_b.step(m_store, m_service, m_delayed, Daemon::CallOutcome::AnswerLost, m_now);
            break;
        case Move::LateA:
            m_a.step(m_store, m_service, m_delayed, Daemon::CallOutcome::Late, m_now);
            break;
        case Move::LateB:
            m_b.step(m_store, m_service, m_delayed, Daemon::CallOutcome::Late, m_now);
            break;
        case Move::CarryOutLate:
            if (!m_delayed.empty()) {
                m_service.take(m_delayed.front().holder, m_delayed.front().fencing, m_delayed.front().report);
                m_delayed.erase(m_delayed.begin());
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
    std::vector<DelayedCall> m_delayed;
    Daemon m_a { "a", 5 };
    Daemon m_b { "b", 7 };
};

std::string textOf(std::vector<int> const& playedMoves)
{
    std::string text;
    for (int it : playedMoves)
        text += std::to_string(it) + " ";
    return text;
}

}

// Guards against two different reports of a window, a fencing token with two holders, and reports accepted after a higher token.
TEST(UsageTakeOver, EverySequenceOfSevenMoves)
{
    constexpr int length = 7;
    std::vector<int> digits(length, 0);
    std::size_t sequences = 0;
    std::size_t accepted = 0;
    bool hasMore = true;
    while (hasMore) {
        ModelRun run;
        for (int digit : digits)
            run.move(static_cast<Move>(digit));
        ASSERT_TRUE(run.service().violations.empty()) << run.service().violations.front() << " after " << textOf(digits);
        ++sequences;
        accepted += run.service().accepted ? 1 : 0;
        int place = 0;
        while (place < length && ++digits[static_cast<std::size_t>(place)] == moves)
            digits[static_cast<std::size_t>(place++)] = 0;
        hasMore = place < length;
    }
    EXPECT_EQ(sequences, 2'097'152U);
    EXPECT_GT(accepted, 10'000U);
}

// Longer random sequences, which combine take-overs, late calls and retries in one run.
TEST(UsageTakeOver, LongRandomSequences)
{
    std::mt19937_64 random(20261203);
    std::size_t accepted = 0;
    for (int n = 0; n < 100'000; ++n) {
        ModelRun run;
        std::vector<int> playedMoves;
        for (int step = 0; step < 24; ++step) {
            playedMoves.push_back(static_cast<int>(random() % moves));
            run.move(static_cast<Move>(playedMoves.back()));
        }
        ASSERT_TRUE(run.service().violations.empty()) << run.service().violations.front() << " after " << textOf(playedMoves);
        accepted += run.service().accepted ? 1 : 0;
    }
    EXPECT_GT(accepted, 50'000U);
}
