#include <LibFleet/TopicFollower.h>
#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace Fleet {

namespace {

// How often a topic that is not woken looks whether its time has come: a fifth of the least of those times.
constexpr std::chrono::milliseconds turnCheckInterval { 200 };
// The shortest wait of a read, as a part of the longest, the reciprocal: a copy that is old when news comes is confirmed soon.
constexpr int shortestPartOfWait = 4;
// Of the time within which news are to be in force, reads that wait take a third. From 55 in 100 on, which no copy reaches while
// anybody reads all the time and is heard, a daemon may read for itself, and at 75 it does: what is left is for that read, its
// answer, and a request that waits for its connection.
constexpr int waitPartOfNewsTime = 3;
constexpr int stalePercent = 55;
constexpr int stalestPercent = 75;
constexpr int hundred = 100;

}

TopicFollowerSettings TopicFollowerSettings::create(ReadTurnSettings const& pace, std::chrono::milliseconds newsWithin)
{
    TopicFollowerSettings settings;
    settings.pace = pace;
    settings.wait = newsWithin / waitPartOfNewsTime;
    settings.staleAfter = newsWithin * stalePercent / hundred;
    settings.staleAtLatest = newsWithin * stalestPercent / hundred;
    settings.longestRetryDelay = newsWithin;
    return settings;
}

TopicFollower::TopicFollower(TopicFollowerSettings const& settings, NewsTest isNews, AgeOf ageOf, std::uint64_t seed)
    : m_settings(settings)
    , m_isNews(std::move(isNews))
    , m_ageOf(std::move(ageOf))
    , m_turn(settings.pace, seed)
    , m_random(seed)
    , m_staleAfter(randomTime(settings.staleAfter, settings.staleAtLatest))
{
}

std::chrono::milliseconds TopicFollower::randomTime(std::chrono::milliseconds least, std::chrono::milliseconds most)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(least.count(), std::max(least, most).count())(m_random));
}

void TopicFollower::confirm(Time asOf)
{
    m_asOf = std::max(asOf, m_asOf.value_or(asOf));
}

std::optional<std::chrono::milliseconds> TopicFollower::age(Time now) const
{
    if (!m_asOf)
        return std::nullopt;
    return std::chrono::ceil<std::chrono::milliseconds>(now - *m_asOf);
}

bool TopicFollower::isStale(Time now) const
{
    return m_settings.staleAtLatest.count() > 0 && (!m_asOf || now - *m_asOf >= m_staleAfter);
}

void TopicFollower::hear(DaemonState const& said, Time now)
{
    if (!m_replica.isComplete())
        return;
    if (m_isNews(said)) {
        m_newsSince = m_newsSince.value_or(now);
        return;
    }
    std::optional<std::chrono::milliseconds> age = m_ageOf(said);
    if (age)
        confirm(now - *age);
}

std::optional<PeerQuestion> TopicFollower::beginQuestion(DaemonBook const& book, SiteView const& view, Time now)
{
    if (m_question || !m_settings.pace.isToldByPeers || now < m_nextQuestionAt)
        return std::nullopt;
    if (!hasNews(view)) {
        m_newsSince.reset();
        m_vainQuestions = 0;
    } else {
        m_newsSince = m_newsSince.value_or(now);
    }
    bool isOwnReadAwaited = view.isReader && m_replica.isComplete() && !m_failingSince && m_newsSince && now - *m_newsSince < m_settings.ownReadTime;
    bool asks = hasNews(view) && !isOwnReadAwaited;
    if (!asks)
        return std::nullopt;
    BookedDaemon const* teller = tellerOf(book, now);
    if (!teller)
        return std::nullopt;
    m_askedAt = now;
    m_question = PeerQuestion { *teller, m_replica.next() };
    return m_question;
}

std::vector<Platform::KeyedRecord> TopicFollower::takeAnswer(StoreReplica::Extract const& extract, std::optional<std::chrono::milliseconds> age)
{
    m_silentPeers.erase(m_question->peer.listed.name);
    m_question.reset();
    // While much changes, each beacon tells of more: news are taken in as few steps as the topic's interval allows.
    m_nextQuestionAt = m_askedAt + m_settings.pace.interval;
    std::vector<Platform::KeyedRecord> news = m_replica.take(extract);
    if (age && m_replica.isComplete() && m_replica.nextOffset() >= extract.next)
        confirm(m_askedAt - *age);
    return news;
}

void TopicFollower::noteNoAnswer(Time now)
{
    m_silentPeers[m_question->peer.listed.name] = now;
    m_question.reset();
    ++m_vainQuestions;
}

std::optional<StoreCallReason> TopicFollower::dueReason(SiteView const& view, Time now)
{
    if (!m_replica.isComplete())
        return StoreCallReason::Start;
    // A peer is asked first; the store where that was in vain.
    bool needsStore = hasNews(view) && m_vainQuestions > 0;
    std::optional<StoreCallReason> reason = m_turn.due(view, needsStore, now);
    if (!reason && isStale(now) && now >= m_turn.allowedAt())
        reason = StoreCallReason::Stale;
    return reason;
}

std::optional<StoreRead> TopicFollower::beginRead(SiteView const& view, Time now)
{
    if (m_read || now < m_retryAt)
        return std::nullopt;
    std::optional<StoreCallReason> reason = dueReason(view, now);
    if (!reason)
        return std::nullopt;
    m_turn.begin(now);
    m_readSentAt = now;
    StoreReplica::Step step = m_replica.next();
    if (step.isNewest && step.after.empty())
        m_pagesSentAt = now;
    m_read = StoreRead { step, step.isNewest ? std::chrono::milliseconds(0) : nextWait(now), *reason };
    return m_read;
}

// A read that waits is confirmed when it ends: one that follows an old confirmation is not to wait for long.
std::chrono::milliseconds TopicFollower::nextWait(Time now) const
{
    std::chrono::milliseconds shortest = m_settings.wait / shortestPartOfWait;
    return std::clamp(m_settings.wait - age(now).value_or(m_settings.wait), shortest, m_settings.wait);
}

void TopicFollower::noteRead(Time now)
{
    m_readAt = now;
    m_failingSince.reset();
    m_read.reset();
    m_staleAfter = randomTime(m_settings.staleAfter, m_settings.staleAtLatest);
}

std::vector<Platform::KeyedRecord> TopicFollower::takeRead(Platform::KeyedBatch const& batch, Time now)
{
    StoreRead read = *m_read;
    noteRead(now);
    std::vector<Platform::KeyedRecord> news = m_replica.take(batch);
    // A read may be stale, or bring a part of what there is.
    bool isWhole = !batch.isExpired && batch.next == m_replica.nextOffset();
    // An answer without records was given when the wait was over; when one with records was given is not known.
    bool hasWaited = batch.records.empty() && now >= m_readSentAt + read.wait;
    if (isWhole)
        confirm(hasWaited ? m_readSentAt + read.wait : m_readSentAt);
    return news;
}

std::vector<Platform::KeyedRecord> TopicFollower::takeRead(Platform::KeyedPage const& page, Time now)
{
    StoreReplica::Step asked = m_read->step;
    noteRead(now);
    // A peer may have told everything meanwhile, and this is no longer the part that comes next.
    StoreReplica::Step expected = m_replica.next();
    if (!expected.isNewest || expected.after != asked.after)
        return {};
    std::vector<Platform::KeyedRecord> news = m_replica.take(page);
    bool isWhole = m_replica.isComplete() && !m_replica.next().isNewest;
    if (isWhole)
        confirm(m_pagesSentAt);
    return news;
}

void TopicFollower::noteFailedRead(SiteView const& view, Time now)
{
    m_read.reset();
    m_failingSince = m_failingSince.value_or(now);
    std::chrono::milliseconds most = std::min(m_settings.longestRetryDelay, m_settings.retryDelayPerDaemon * static_cast<int>(view.live));
    m_retryAt = now + (view.isReader ? m_settings.retryDelay : randomTime(m_settings.retryDelay, most));
}

Time TopicFollower::nextLook(Time now) const
{
    Time next = now + turnCheckInterval;
    Time allowed = std::max(m_turn.allowedAt(), m_retryAt);
    if (m_asOf && m_settings.staleAtLatest.count() > 0)
        next = std::min(next, std::max(allowed, *m_asOf + m_staleAfter));
    for (Time due : { allowed, m_nextQuestionAt }) {
        if (due > now)
            next = std::min(next, due);
    }
    return std::max(next, now + std::chrono::milliseconds(1));
}

bool TopicFollower::isReadLately(Time now) const
{
    return !m_failingSince && m_readAt > now - m_settings.wait - m_settings.slack;
}

// One in the same availability zone if there is one; else another one for each daemon that asks, so that few are asked by all.
BookedDaemon const* TopicFollower::tellerOf(DaemonBook const& book, Time now) const
{
    BookedDaemon const* best = nullptr;
    std::tuple<bool, bool, std::uint64_t> bestRank;
    for (std::pair<std::string const, BookedDaemon> const& it : book.daemons()) {
        if (!book.isLive(it.second, now) || !m_isNews(it.second.said))
            continue;
        std::map<std::string, Time>::const_iterator silent = m_silentPeers.find(it.first);
        bool isSilent = silent != m_silentPeers.end() && now - silent->second < m_settings.peerRest;
        std::string pair = m_settings.daemon + " " + it.first;
        std::tuple<bool, bool, std::uint64_t> rank { isSilent, it.second.listed.availabilityZone != m_settings.availabilityZone, XXH3_64bits(pair.data(), pair.size()) };
        if (!best || rank < bestRank) {
            best = &it.second;
            bestRank = rank;
        }
    }
    return best;
}

}
