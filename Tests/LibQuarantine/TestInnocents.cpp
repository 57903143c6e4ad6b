// Simulates how often innocent requests are refused and how many targets culprits end, over random traffic with engines that
// crash on their own, requests that end every target that runs them, and retries by callers and daemons.

#include <LibQuarantine/Guard.h>
#include <gtest/gtest.h>
#include <queue>
#include <random>

namespace {

using namespace Quarantine;
using namespace std::chrono_literals;

constexpr Time origin { 1'000s };

struct SimulationSettings {
    std::size_t engines { 9 };
    double requestsPerSecond { 45 };
    double meanDurationSeconds { 0.6 };
    std::chrono::milliseconds restartDelay { 4'000 };
    double crashesPerSecond { 0 }; ///< Engine crashes unrelated to requests.
    std::size_t culprits { 0 }; ///< Requests that end every target that runs them.
    double culpritsPerSecond { 0 }; ///< Arrival rate of each culprit.
    int attempts { 4 }; ///< Attempts per request, by daemons and callers together, without delay.
    std::chrono::seconds length { 120 };
    std::uint64_t seed { 1 };
};

struct SimulationResult {
    std::size_t requests { 0 };
    std::size_t innocentsRefused { 0 };
    std::size_t culpritEnds { 0 }; ///< Engine ends caused by all culprits.
    std::size_t maxEnds { 0 }; ///< Most engine ends caused by one culprit.
};

class Simulation {
public:
    explicit Simulation(SimulationSettings const& settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_engines(settings.engines)
    {
    }

    SimulationResult run()
    {
        Time end = origin + m_settings.length;
        for (std::size_t n = 0; n < m_settings.culprits; ++n)
            scheduleCulprit(n, origin + 5s);
        scheduleNext(m_settings.requestsPerSecond, origin, [this](Time now) { arrive(now); });
        scheduleNext(m_settings.crashesPerSecond, origin, [this](Time now) { crash(pick(m_engines.size()), now); });
        while (!m_events.empty() && m_events.top().at < end) {
            Event event = m_events.top();
            m_events.pop();
            event.run(event.at);
        }
        for (std::pair<std::uint64_t const, std::size_t> const& it : m_ends)
            m_result.maxEnds = std::max(m_result.maxEnds, it.second);
        return m_result;
    }

private:
    struct Event {
        Time at;
        std::uint64_t order;
        std::function<void(Time)> run;
        bool operator<(Event const& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    struct Work {
        WorkKey key;
        bool isCulprit { false };
        int attempts { 0 };
    };

    struct Engine {
        std::uint64_t incarnation { 1 };
        std::optional<Time> downUntil;
        std::map<RunTable::Id, Work> runs;
    };

    static constexpr std::uint64_t perIncarnation = 1'000'000;

    std::size_t pick(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random); }
    Time::duration draw(double mean) { return std::chrono::duration_cast<Time::duration>(std::chrono::duration<double>(std::exponential_distribution<double>(1 / mean)(m_random))); }
    void at(Time time, std::function<void(Time)> run) { m_events.push({ time, ++m_order, std::move(run) }); }

    void scheduleNext(double perSecond, Time now, std::function<void(Time)> const& run)
    {
        if (perSecond <= 0)
            return;
        at(now + draw(1 / perSecond), [this, perSecond, run](Time when) {
            run(when);
            scheduleNext(perSecond, when, run);
        });
    }

    void scheduleCulprit(std::size_t culprit, Time now)
    {
        at(now + draw(1 / m_settings.culpritsPerSecond), [this, culprit](Time when) {
            send({ { culprit + 1, 0 }, true, 0 }, when);
            scheduleCulprit(culprit, when);
        });
    }

    void arrive(Time now)
    {
        ++m_result.requests;
        send({ { m_result.requests, 1 }, false, 0 }, now);
    }

    void send(Work work, Time now)
    {
        Guard::Disposition disposition = m_guard.disposition(work.key);
        bool isRefused = disposition == Guard::Disposition::Refused;
        if (isRefused && !work.isCulprit)
            ++m_result.innocentsRefused;
        if (isRefused || (disposition == Guard::Disposition::Exclusive && m_guard.isOpen(work.key)))
            return;
        std::optional<std::size_t> engine = choose(work.key, now);
        if (!engine)
            return;
        SuspectTarget target { *engine * perIncarnation + m_engines[*engine].incarnation, "llm", "v1" };
        RunTable::Id run = m_guard.begin(work.key, target, now);
        m_engines[*engine].runs[run] = work;
        Time::duration length = work.isCulprit ? std::chrono::duration_cast<Time::duration>(50ms) : draw(m_settings.meanDurationSeconds);
        at(now + length, [this, engine = *engine, run](Time when) { end(engine, run, when); });
    }

    std::optional<std::size_t> choose(WorkKey const& key, Time now)
    {
        std::set<std::uint64_t> suspectTargets = m_guard.targetsOfOtherSuspects(key);
        std::vector<std::size_t> open;
        std::vector<std::size_t> withoutSuspects;
        for (std::size_t n = 0; n < m_engines.size(); ++n) {
            if (m_engines[n].downUntil && now < *m_engines[n].downUntil)
                continue;
            open.push_back(n);
            if (!suspectTargets.contains(n * perIncarnation + m_engines[n].incarnation))
                withoutSuspects.push_back(n);
        }
        std::vector<std::size_t> const& from = withoutSuspects.empty() ? open : withoutSuspects;
        return from.empty() ? std::nullopt : std::optional(from[pick(from.size())]);
    }

    void end(std::size_t engine, RunTable::Id run, Time now)
    {
        std::map<RunTable::Id, Work>::iterator it = m_engines[engine].runs.find(run);
        if (it == m_engines[engine].runs.end())
            return;
        if (it->second.isCulprit) {
            ++m_ends[it->second.key.low];
            ++m_result.culpritEnds;
            crash(engine, now);
            return;
        }
        m_engines[engine].runs.erase(it);
        m_guard.finishSuccessfully(run, now);
    }

    void crash(std::size_t n, Time now)
    {
        Engine& engine = m_engines[n];
        if (engine.downUntil && now < *engine.downUntil)
            return;
        std::map<RunTable::Id, Work> broken = std::exchange(engine.runs, {});
        for (std::pair<RunTable::Id const, Work> const& it : broken)
            m_guard.noteConnectionLost(it.first, now);
        m_guard.noteEnded(n * perIncarnation + engine.incarnation, now);
        ++engine.incarnation;
        engine.downUntil = now + m_settings.restartDelay;
        for (std::pair<RunTable::Id const, Work>& it : broken) {
            if (it.second.isCulprit || ++it.second.attempts >= m_settings.attempts)
                continue;
            at(now + 10ms, [this, work = it.second](Time when) { send(work, when); });
        }
    }

    SimulationSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<Engine> m_engines;
    Guard m_guard;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order { 0 };
    std::map<std::uint64_t, std::size_t> m_ends;
    SimulationResult m_result;
};

SimulationResult simulate(SimulationSettings settings, std::uint64_t runs)
{
    SimulationResult sum;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        settings.seed = seed;
        SimulationResult result = Simulation(settings).run();
        sum.requests += result.requests;
        sum.innocentsRefused += result.innocentsRefused;
        sum.culpritEnds += result.culpritEnds;
        sum.maxEnds = std::max(sum.maxEnds, result.maxEnds);
    }
    testing::Test::RecordProperty("requests", std::to_string(sum.requests));
    testing::Test::RecordProperty("innocents_refused", std::to_string(sum.innocentsRefused));
    testing::Test::RecordProperty("ends", std::to_string(sum.culpritEnds));
    return sum;
}

}

TEST(Innocents, NoneIsRefusedOverOccasionalEngineCrashes)
{
    SimulationSettings settings;
    settings.crashesPerSecond = 0.2;
    EXPECT_EQ(simulate(settings, 40).innocentsRefused, 0U);
}

TEST(Innocents, NoneIsRefusedBesideACulpritSentTenTimesASecond)
{
    SimulationSettings settings;
    settings.culprits = 1;
    settings.culpritsPerSecond = 10;
    SimulationResult total = simulate(settings, 40);
    EXPECT_EQ(total.maxEnds, 3U);
    EXPECT_EQ(total.innocentsRefused, 0U);
}

// Five culprits repeatedly end all engines within a second, so some innocent requests that are tried four times are refused.
TEST(Innocents, FiveConcurrentCulpritsEndFewEnginesEach)
{
    SimulationSettings settings;
    settings.culprits = 5;
    settings.culpritsPerSecond = 10;
    settings.crashesPerSecond = 0.2;
    SimulationResult total = simulate(settings, 40);
    // Three, plus the runs in progress at the third end.
    EXPECT_LE(total.maxEnds, 6U);
}
