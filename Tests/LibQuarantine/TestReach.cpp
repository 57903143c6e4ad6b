// Simulates in virtual time how soon all daemons refuse a request that has ended three targets, with the production guards,
// daemon books and queries, under a store outage, lost beacons and partitioned daemons.

#include <LibFleet/DaemonBook.h>
#include <LibQuarantine/CatchUp.h>
#include <LibQuarantine/Guard.h>
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <queue>
#include <random>

namespace {

using namespace Quarantine;
using namespace std::chrono_literals;

constexpr Time origin { 1'000s };
constexpr WorkKey culprit { 1, 1 };

struct SiteSettings {
    std::size_t daemons { 7 };
    double beaconLoss { 0.025 };
    std::uint64_t seed { 1 };
};

class Site {
public:
    explicit Site(SiteSettings const& settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
        for (std::size_t n = 0; n < settings.daemons; ++n) {
            m_daemons.emplace_back(m_random());
            m_daemons.back().catchUp->noteLoaded();
        }
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            for (std::size_t other = 0; other < m_daemons.size(); ++other) {
                if (other != n)
                    m_daemons[n].book.list(listed(other), origin);
            }
            Time first = origin + std::chrono::milliseconds(pick(static_cast<std::size_t>(m_daemons[n].book.beaconInterval().count())));
            at(first, [this, n](Time now) { sendRegularly(n, now); });
            at(origin, [this, n](Time now) { tick(n, now); });
        }
    }

    // Partitions a daemon from all others.
    void partition(std::size_t daemon, Time from, Time to) { m_daemons[daemon].partitions.emplace_back(from, to); }

    // Ends a target while it runs the culprit, observed by one daemon.
    void endTarget(std::uint64_t target, std::size_t daemon, Time when)
    {
        at(when, [this, target, daemon](Time now) {
            Daemon& it = m_daemons[daemon];
            RunTable::Id run = it.guard->begin(culprit, { target, "llm", "v1" }, now - 50ms);
            it.guard->noteConnectionLost(run, now);
            it.guard->noteEnded(target, now);
            Time soon = std::max(now, it.sentAt + it.book.promptInterval());
            at(soon, [this, daemon](Time then) { send(daemon, then); });
        });
    }

    void run(Time until)
    {
        while (!m_events.empty() && m_events.top().at <= until) {
            Event event = m_events.top();
            m_events.pop();
            event.run(event.at);
        }
    }

    std::size_t countNotRefusing() const
    {
        return static_cast<std::size_t>(std::count_if(m_daemons.begin(), m_daemons.end(), [](Daemon const& it) { return it.guard->disposition(culprit) != Guard::Disposition::Refused; }));
    }

    // Restarts all daemons. The first two read the stored suspects, each at a random time within `readWithin` after `when`.
    void restartAll(Time when, std::chrono::milliseconds readWithin)
    {
        at(when, [this](Time) {
            m_stored = m_daemons.front().guard->suspects();
            for (Daemon& it : m_daemons) {
                it.guard = std::make_unique<Guard>();
                it.catchUp.emplace(m_random());
            }
        });
        for (std::size_t n = 0; n < 2; ++n)
            at(when + std::chrono::milliseconds(1 + pick(static_cast<std::size_t>(readWithin.count()))), [this, n](Time now) {
                m_daemons[n].guard->merge(newsOf(m_stored), now);
                m_daemons[n].catchUp->noteLoaded();
                send(n, now);
            });
    }

    std::size_t countCaughtUp() const
    {
        return static_cast<std::size_t>(std::count_if(m_daemons.begin(), m_daemons.end(), [](Daemon const& it) { return it.catchUp->isCaughtUp(); }));
    }

    // Daemons that would run the culprit although they consider themselves caught up.
    std::size_t countCaughtUpButNotRefusing() const
    {
        return static_cast<std::size_t>(std::count_if(m_daemons.begin(), m_daemons.end(), [](Daemon const& it) { return it.catchUp->isCaughtUp() && it.guard->disposition(culprit) != Guard::Disposition::Refused; }));
    }

    std::size_t queries() const { return m_queries; }

private:
    struct Daemon {
        explicit Daemon(std::uint64_t seed)
            : guard(std::make_unique<Guard>())
            , catchUp(seed)
        {
        }

        std::unique_ptr<Guard> guard;
        std::optional<CatchUp> catchUp;
        Fleet::DaemonBook book;
        std::uint64_t sequence { 0 };
        Time sentAt;
        std::vector<std::pair<Time, Time>> partitions;
    };

    struct Event {
        Time at;
        std::uint64_t order;
        std::function<void(Time)> run;
        bool operator<(Event const& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    static std::string nameOf(std::size_t n) { return "entry-" + std::to_string(n); }

    static Platform::ListedDaemon listed(std::size_t n)
    {
        Platform::ListedDaemon daemon;
        daemon.name = nameOf(n);
        daemon.incarnation = 1;
        return daemon;
    }

    std::size_t pick(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(m_random); }
    void at(Time time, std::function<void(Time)> run) { m_events.push({ time, ++m_order, std::move(run) }); }

    bool isPartitioned(std::size_t daemon, Time now) const
    {
        return std::any_of(m_daemons[daemon].partitions.begin(), m_daemons[daemon].partitions.end(), [now](std::pair<Time, Time> const& it) { return it.first <= now && now < it.second; });
    }

    static std::vector<SuspectNews> newsOf(std::vector<Suspect> const& suspects)
    {
        std::vector<SuspectNews> news;
        for (Suspect const& suspect : suspects) {
            for (TargetEnd const& end : suspect.ends)
                news.push_back({ suspect.key, end.target, end.begunAt, end.at });
        }
        return news;
    }

    void sendRegularly(std::size_t n, Time now)
    {
        send(n, now);
        at(now + m_daemons[n].book.beaconInterval(), [this, n](Time when) { sendRegularly(n, when); });
    }

    void send(std::size_t n, Time now)
    {
        Daemon& sender = m_daemons[n];
        sender.sentAt = now;
        std::uint64_t sequence = ++sender.sequence;
        std::vector<SuspectNews> news = sender.guard->news(now, newsLifetime(sender.book.beaconInterval()));
        std::optional<std::uint64_t> digest;
        if (sender.catchUp->isCaughtUp())
            digest = sender.guard->digest();
        for (std::size_t other = 0; other < m_daemons.size(); ++other) {
            bool isLost = other == n || isPartitioned(n, now) || isPartitioned(other, now) || std::bernoulli_distribution(m_settings.beaconLoss)(m_random);
            if (isLost)
                continue;
            Daemon& receiver = m_daemons[other];
            receiver.book.hear(listed(n), sequence, {}, now);
            receiver.catchUp->notePeerDigest(nameOf(n), digest, receiver.guard->digest(), now);
            if (!news.empty())
                receiver.guard->merge(news, now);
        }
    }

    void tick(std::size_t n, Time now)
    {
        Daemon& it = m_daemons[n];
        std::optional<std::string> peer = it.catchUp->peerToQuery(it.guard->digest(), it.book.beaconInterval(), it.book.livenessTimeout(), now);
        if (peer) {
            ++m_queries;
            std::size_t queried = std::stoul(peer->substr(peer->find('-') + 1));
            bool hasReplied = !isPartitioned(n, now) && !isPartitioned(queried, now);
            at(now + (hasReplied ? 5ms : 400ms), [this, n, queried, hasReplied](Time when) { receiveReply(n, queried, hasReplied, when); });
        }
        at(now + 100ms, [this, n](Time when) { tick(n, when); });
    }

    void receiveReply(std::size_t n, std::size_t queried, bool hasReplied, Time now)
    {
        std::uint64_t before = m_daemons[n].guard->digest();
        if (hasReplied)
            m_daemons[n].guard->merge(newsOf(m_daemons[queried].guard->suspects()), now);
        m_daemons[n].catchUp->noteReply(hasReplied, m_daemons[n].guard->digest() != before, now);
    }

    SiteSettings m_settings;
    std::mt19937_64 m_random;
    std::deque<Daemon> m_daemons;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order { 0 };
    std::size_t m_queries { 0 };
    std::vector<Suspect> m_stored; ///< Suspects in the store.
};

struct PropagationCase {
    std::size_t daemons;
    std::chrono::milliseconds within;
    std::uint64_t seeds;
};

class RefusedInTime : public testing::TestWithParam<PropagationCase> { };

}

// Guards against daemons that still run a request after others have seen it end three targets.
TEST_P(RefusedInTime, ByAllDaemonsAfterTheThirdEnd)
{
    for (std::uint64_t seed = 1; seed <= GetParam().seeds; ++seed) {
        Site site({ GetParam().daemons, 0.025, seed });
        std::mt19937_64 random(seed);
        Time last = origin + 10s;
        for (std::uint64_t target = 1; target <= 3; ++target) {
            last += std::chrono::milliseconds(random() % 2'000);
            site.endTarget(target, random() % GetParam().daemons, last);
        }
        site.run(last + GetParam().within);
        EXPECT_EQ(site.countNotRefusing(), 0U) << "seed " << seed;
    }
}

// Guards against a daemon that was partitioned while the evidence was sent and never receives it.
TEST_P(RefusedInTime, ByDaemonsThatWerePartitioned)
{
    for (std::uint64_t seed = 1; seed <= GetParam().seeds; ++seed) {
        Site site({ GetParam().daemons, 0.025, seed });
        std::mt19937_64 random(seed);
        Time healed = origin + 30s;
        std::size_t partitioned = random() % GetParam().daemons;
        std::size_t other = (partitioned + 1) % GetParam().daemons;
        site.partition(partitioned, origin + 9s, healed);
        // The others learn what the partitioned daemon saw only after the partition.
        site.endTarget(1, partitioned, origin + 11s);
        site.endTarget(2, other, origin + 12s);
        site.endTarget(3, other, origin + 13s);
        site.run(healed + GetParam().within);
        EXPECT_EQ(site.countNotRefusing(), 0U) << "seed " << seed;
    }
}

// Guards against a daemon of a restarted site that accepts requests before it knows which are refused.
TEST_P(RefusedInTime, ByEachCaughtUpDaemonAfterAFullRestart)
{
    constexpr std::chrono::milliseconds step { 10 };
    for (std::uint64_t seed = 1; seed <= GetParam().seeds; ++seed) {
        Site site({ GetParam().daemons, 0.025, seed });
        for (std::uint64_t target = 1; target <= 3; ++target)
            site.endTarget(target, target, origin + 10s + target * 300ms);
        Time restart = origin + 20s;
        site.restartAll(restart, 500ms);
        std::size_t premature = 0;
        for (Time now = restart; now < restart + GetParam().within; now += step) {
            site.run(now);
            premature += site.countCaughtUpButNotRefusing();
        }
        EXPECT_EQ(premature, 0U) << "seed " << seed;
        EXPECT_EQ(site.countCaughtUp(), GetParam().daemons) << "seed " << seed;
    }
}

TEST_P(RefusedInTime, WithoutQueriesIfNoBeaconIsLost)
{
    Site site({ GetParam().daemons, 0, 1 });
    for (std::uint64_t target = 1; target <= 3; ++target)
        site.endTarget(target, target, origin + 10s + target * 300ms);
    site.run(origin + 20s);
    EXPECT_EQ(site.countNotRefusing(), 0U);
    EXPECT_LE(site.queries(), GetParam().daemons) << "a daemon without suspects sends its first query immediately";
}

INSTANTIATE_TEST_SUITE_P(Sizes, RefusedInTime, testing::Values(PropagationCase { 7, 3'000ms, 60 }, PropagationCase { 90, 4'000ms, 3 }, PropagationCase { 295, 5'000ms, 1 }));
