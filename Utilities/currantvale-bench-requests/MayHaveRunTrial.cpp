#include "Bench.h"
#include <algorithm>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

namespace Bench {

namespace {

constexpr int daemonCount = 8;
constexpr double runSeconds = 20;
constexpr double killSeconds = 10;
constexpr double meanServiceSeconds = 0.15;
constexpr double hopSeconds = 0.001;
constexpr double appendSeconds = 0.005;
constexpr double appendsPerSecond = 400;
constexpr double longestAppendWaitSeconds = 2; ///< Longer ones are refused as not run.
constexpr double suspicionSeconds = 2; ///< Until the others hold the killed daemon for gone.

/// A caller's request that may not be repeated.
struct Call {
    double arrival { 0 };
    double service { 0 };
    int entry { 0 };
    int owner { 0 }; ///< By the hash of its key.
};

struct Outcome {
    std::uint64_t whole { 0 };
    std::uint64_t notRun { 0 };
    std::uint64_t mayHaveRun { 0 };
    std::uint64_t doubled { 0 };
};

std::vector<Call> callsOf(double perSecond)
{
    std::mt19937_64 random(20261202);
    std::exponential_distribution<double> gap(perSecond);
    std::exponential_distribution<double> service(1 / meanServiceSeconds);
    std::vector<Call> calls;
    for (double time = gap(random); time < runSeconds; time += gap(random))
        calls.push_back({ time, service(random), static_cast<int>(random() % daemonCount), static_cast<int>(random() % daemonCount) });
    return calls;
}

bool isUnderWayAtKill(double from, double until) { return from < killSeconds && until >= killSeconds; }

/// The ticket is fetched for the request; its home is the entry. A caller whose connection was refused takes a fresh
/// one elsewhere; one whose connection broke may not.
Outcome runTickets(std::vector<Call> const& calls)
{
    Outcome outcome;
    for (Call const& it : calls) {
        bool isLost = it.entry == 0 && isUnderWayAtKill(it.arrival, it.arrival + it.service + 2 * hopSeconds);
        ++(isLost ? outcome.mayHaveRun : outcome.whole);
    }
    return outcome;
}

/// The ticket came with the list of addresses from a random daemon, long before.
Outcome runOldTickets(std::vector<Call> const& calls)
{
    Outcome outcome;
    for (Call const& it : calls) {
        // A send that reached an entry whose home is gone can't be told from a second send.
        bool isLost = it.owner == 0 && it.arrival + it.service + 4 * hopSeconds >= killSeconds;
        ++(isLost ? outcome.mayHaveRun : outcome.whole);
    }
    return outcome;
}

/// Before it is run, each request's intent is appended; after it its end is, so that others know.
Outcome runIntents(std::vector<Call> const& calls)
{
    Outcome outcome;
    double freeAt = 0;
    for (Call const& it : calls) {
        double wait = std::max(0.0, freeAt - it.arrival);
        if (wait > longestAppendWaitSeconds) {
            ++outcome.notRun;
            continue;
        }
        freeAt = std::max(freeAt, it.arrival) + 2 / appendsPerSecond;
        double written = it.arrival + wait + appendSeconds;
        // Killed before its intent is in the log: voided there by another daemon, and run anew.
        bool isLost = it.entry == 0 && isUnderWayAtKill(written, written + it.service + appendSeconds + hopSeconds);
        ++(isLost ? outcome.mayHaveRun : outcome.whole);
    }
    return outcome;
}

/// The key's hash names the owner among the daemons held for live. When it is gone, the next owner can't tell a first
/// send from a second one: it runs it all the same, or says 'may have run' to all for as long as keys live.
Outcome runOwners(std::vector<Call> const& calls, bool isSafe)
{
    Outcome outcome;
    for (Call const& it : calls) {
        double end = it.arrival + it.service + 4 * hopSeconds;
        if (it.owner != 0 || end < killSeconds)
            ++outcome.whole;
        else if (isSafe)
            ++outcome.mayHaveRun;
        else if (isUnderWayAtKill(it.arrival, end))
            ++outcome.doubled;
        else
            ++(it.arrival < killSeconds + suspicionSeconds ? outcome.notRun : outcome.whole);
    }
    return outcome;
}

void print(double perSecond, std::string const& scheme, Outcome const& it)
{
    double total = static_cast<double>(it.whole + it.notRun + it.mayHaveRun + it.doubled);
    std::printf("may_have_run calls_per_s=%.0f scheme=%s may_have_run=%llu (%.3f%%) not_run=%.2f%% doubled=%llu\n", perSecond, scheme.c_str(),
        static_cast<unsigned long long>(it.mayHaveRun), 100 * static_cast<double>(it.mayHaveRun) / total, 100 * static_cast<double>(it.notRun) / total,
        static_cast<unsigned long long>(it.doubled));
}

}

void runMayHaveRunTrial()
{
    for (double perSecond : { 100.0, 4600.0 }) {
        std::vector<Call> calls = callsOf(perSecond);
        print(perSecond, "ticket-fetched-for-the-request", runTickets(calls));
        print(perSecond, "ticket-kept-with-the-list", runOldTickets(calls));
        print(perSecond, "log-intents", runIntents(calls));
        print(perSecond, "owner-by-hash-safe", runOwners(calls, true));
        print(perSecond, "owner-by-hash-that-runs-again", runOwners(calls, false));
    }
}

}
