// Simulates prompts of which one part ends every engine that begins to answer them, at sites of several sizes: how many engines end
// before all daemons refuse the part, and how many sound parts are refused.

#include <LibQuarantine/Guard.h>
#include <gtest/gtest.h>
#include <queue>
#include <random>

namespace {

using namespace Quarantine;
using namespace std::chrono_literals;

constexpr Time origin { 1'000s };

struct SiteSettings {
    std::size_t daemons { 7 };
    std::size_t engines { 9 };
    std::chrono::milliseconds newsDelay { 100 }; ///< Until the last daemon has heard of an end: a beacon interval.
    std::size_t chainLength { 3 }; ///< Shared parts of each prompt.
    std::size_t culpritAt { 1 }; ///< Position of the part that ends engines in its chains.
    std::size_t culprits { 1 }; ///< Such parts.
    double culpritsPerSecond { 8 };
    double soundPerSecond { 40 };
    double crashesPerSecond { 0 }; ///< Of engines, for other reasons.
    std::uint64_t seed { 1 };
};

class Site {
public:
    explicit Site(SiteSettings const& settings)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_guards(settings.daemons)
    {
        for (std::size_t n = 0; n < settings.engines; ++n)
            m_engines.push_back({ n + 1, origin });
        m_nextIncarnation = settings.engines + 1;
    }

    void run(std::chrono::seconds length)
    {
        repeat(m_settings.culpritsPerSecond, origin, [this](Time now) { arrive(now, true); });
        repeat(m_settings.soundPerSecond, origin, [this](Time now) { arrive(now, false); });
        repeat(m_settings.crashesPerSecond, origin, [this](Time now) { end(m_random() % m_engines.size(), now, false); });
        while (!m_events.empty() && m_events.top().at < origin + length) {
            Event event = m_events.top();
            m_events.pop();
            event.run(event.at);
        }
    }

    std::size_t culpritEnds { 0 };
    std::size_t sentLate { 0 }; ///< Requests with such a part that reached an engine three seconds and more after the last allowed end.
    std::size_t sound { 0 }; ///< Sound requests later than three seconds after the last end by such a part.
    std::size_t soundRefused { 0 }; ///< Of these.

private:
    struct Event {
        Time at;
        std::function<void(Time)> run;
        bool operator<(Event const& other) const { return at > other.at; }
    };
    struct Engine {
        std::uint64_t incarnation { 0 };
        Time upAt;
    };
    struct Sent {
        std::size_t daemon { 0 };
        std::vector<RunTable::Id> runs;
        bool isOver { false };
    };

    void repeat(double perSecond, Time now, std::function<void(Time)> const& run)
    {
        if (perSecond <= 0)
            return;
        double seconds = std::exponential_distribution<double>(perSecond)(m_random);
        Time at = now + std::chrono::duration_cast<Time::duration>(std::chrono::duration<double>(seconds));
        m_events.push({ at, [this, perSecond, run](Time then) {
                           run(then);
                           repeat(perSecond, then, run);
                       } });
    }

    // The first part is the same for all; others are drawn from a few, as sessions and subjects share them.
    std::vector<WorkKey> chain(bool isCulprit)
    {
        constexpr std::uint64_t partsPerPosition = 5;
        std::vector<WorkKey> parts;
        for (std::size_t n = 0; n < m_settings.chainLength; ++n)
            parts.push_back(partKeyOf("llm", n * 100 + (n == 0 ? 1 : 1 + m_random() % partsPerPosition)));
        if (isCulprit)
            parts[m_settings.culpritAt] = partKeyOf("llm", 9'900 + m_random() % m_settings.culprits);
        return parts;
    }

    void arrive(Time now, bool isCulprit)
    {
        std::vector<std::size_t> up;
        for (std::size_t n = 0; n < m_engines.size(); ++n) {
            if (m_engines[n].upAt <= now)
                up.push_back(n);
        }
        std::size_t daemon = m_random() % m_guards.size();
        std::vector<WorkKey> parts = chain(isCulprit);
        bool isRefused = std::any_of(parts.begin(), parts.end(), [&](WorkKey const& it) {
            Guard::Disposition disposition = m_guards[daemon].disposition(it);
            return disposition == Guard::Disposition::Refused || (disposition == Guard::Disposition::Exclusive && m_guards[daemon].isOpen(it));
        });
        bool isSettled = m_lastEnd && now > *m_lastEnd + 3s;
        sound += !isCulprit && isSettled ? 1 : 0;
        soundRefused += !isCulprit && isSettled && isRefused ? 1 : 0;
        if (isRefused || up.empty())
            return;
        sentLate += isCulprit && m_lastAllowedEnd && now > *m_lastAllowedEnd + 3s ? 1 : 0;
        std::size_t engine = up[m_random() % up.size()];
        std::uint64_t incarnation = m_engines[engine].incarnation;
        std::shared_ptr<Sent> sent = std::make_shared<Sent>();
        sent->daemon = daemon;
        for (WorkKey const& part : parts)
            sent->runs.push_back(m_guards[daemon].beginPart(part, { incarnation, "llm", "v1" }, now));
        m_sent[incarnation].push_back(sent);
        m_events.push({ now + 20ms + std::chrono::milliseconds(m_random() % 80), [this, sent, engine, incarnation, isCulprit](Time then) { begin(sent, engine, incarnation, isCulprit, then); } });
    }

    void begin(std::shared_ptr<Sent> const& sent, std::size_t engine, std::uint64_t incarnation, bool isCulprit, Time now)
    {
        if (sent->isOver || m_engines[engine].incarnation != incarnation)
            return;
        if (isCulprit) {
            end(engine, now, true);
            return;
        }
        sent->isOver = true;
        for (RunTable::Id run : sent->runs)
            m_guards[sent->daemon].noteBegun(run, now);
        share(sent->daemon, now);
    }

    // Each daemon that has a request there sees its connection break, and finds out that the process has ended.
    void end(std::size_t engine, Time now, bool isCulprit)
    {
        if (m_engines[engine].upAt > now)
            return;
        constexpr std::size_t allowedEnds = 5;
        culpritEnds += isCulprit ? 1 : 0;
        m_lastEnd = isCulprit ? now : m_lastEnd;
        if (isCulprit && culpritEnds == allowedEnds * m_settings.culprits)
            m_lastAllowedEnd = now;
        std::uint64_t incarnation = m_engines[engine].incarnation;
        std::set<std::size_t> daemons;
        for (std::shared_ptr<Sent> const& sent : m_sent[incarnation]) {
            if (std::exchange(sent->isOver, true))
                continue;
            for (RunTable::Id run : sent->runs)
                m_guards[sent->daemon].noteConnectionLost(run, now);
            daemons.insert(sent->daemon);
        }
        m_sent.erase(incarnation);
        for (std::size_t daemon : daemons) {
            m_guards[daemon].noteEnded(incarnation, now);
            share(daemon, now);
        }
        m_engines[engine] = { m_nextIncarnation++, now + 4s };
    }

    void share(std::size_t daemon, Time now)
    {
        std::vector<SuspectNews> news = m_guards[daemon].news(now, 1ms);
        if (news.empty())
            return;
        m_events.push({ now + m_settings.newsDelay, [this, news, daemon](Time then) {
                           for (std::size_t n = 0; n < m_guards.size(); ++n) {
                               if (n == daemon)
                                   continue;
                               m_guards[n].merge(news, then);
                               share(n, then);
                           }
                       } });
    }

    SiteSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<Guard> m_guards;
    std::vector<Engine> m_engines;
    std::map<std::uint64_t, std::vector<std::shared_ptr<Sent>>> m_sent; ///< By the engine's incarnation.
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextIncarnation { 0 };
    std::optional<Time> m_lastAllowedEnd;
    std::optional<Time> m_lastEnd; ///< By such a part.
};

struct Size {
    std::size_t daemons;
    std::size_t engines;
    std::chrono::milliseconds newsDelay;
};

/// Sites of the users' sizes with their beacon intervals.
std::vector<Size> const sizes { { 7, 9, 100ms }, { 90, 63, 445ms }, { 295, 240, 1'475ms } };

}

// Guards against a part whose evidence is lost among the parts around it, at any place of its chain.
TEST(Parts, OneThatEndsEnginesIsRefusedWhereverItStandsInTheChain)
{
    for (Size const& size : sizes) {
        for (std::size_t length = 2; length <= 5; ++length) {
            for (std::size_t at : std::set<std::size_t> { 0, length / 2, length - 1 }) {
                SiteSettings settings;
                settings.daemons = size.daemons;
                settings.engines = size.engines;
                settings.newsDelay = size.newsDelay;
                settings.chainLength = length;
                settings.culpritAt = at;
                Site site(settings);
                site.run(30s);
                std::string where = std::to_string(size.daemons) + " daemons, " + std::to_string(at) + " of " + std::to_string(length);
                EXPECT_GE(site.culpritEnds, 3U) << where;
                EXPECT_EQ(site.sentLate, 0U) << where << ", " << site.culpritEnds << " ends";
                EXPECT_EQ(site.soundRefused, 0U) << where << ", of " << site.sound;
            }
        }
    }
}

// Guards against sound parts that are refused because they were there when engines ended for other reasons.
TEST(Parts, SeveralAtOnceBesideOrdinaryCrashesTakeNoSoundOneAlong)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        for (std::size_t culprits = 1; culprits <= 3; ++culprits) {
            SiteSettings settings;
            settings.culprits = culprits;
            settings.crashesPerSecond = 0.25; // Some tenth of the engines is down at a time.
            settings.seed = seed;
            Site site(settings);
            site.run(60s);
            std::string where = "seed " + std::to_string(seed) + ", " + std::to_string(culprits) + " parts";
            EXPECT_EQ(site.sentLate, 0U) << where << ", " << site.culpritEnds << " ends";
            EXPECT_EQ(site.soundRefused, 0U) << where << ", of " << site.sound;
        }
    }
}
