#include <LibFleet/TopicFollower.h>
#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace Fleet {

namespace {

// Polling interval of a topic that no event wakes: a fifth of the shortest read window.
constexpr std::chrono::milliseconds turnCheckInterval { 200 };
// The minimum wait of a read is the maximum divided by this, so that a copy that is already old when records arrive is confirmed
// soon.
constexpr int minWaitDivisor = 4;
// Waiting reads take a third of the time within which updates must take effect. From 55% on, an age that no copy reaches while a
// live reader works, a daemon may read on its own, and at 75% it must: the rest is left for that read, its answer, and a request
// that waits for its connection.
constexpr int waitDivisor = 3;
constexpr int stalePercent = 55;
constexpr int maxStalePercent = 75;
constexpr int hundred = 100;
// Queries of busy peers may take at least the time until a copy is stale, divided by this.
constexpr int deferralShareDivisor = 2;

std::optional<std::chrono::milliseconds> ageOf(std::optional<Time> asOf, Time now)
{
    return asOf ? std::optional(std::chrono::ceil<std::chrono::milliseconds>(now - *asOf)) : std::nullopt;
}

}

TopicFollowerSettings TopicFollowerSettings::create(ReadTurnSettings const& pace, std::chrono::milliseconds newsWithin)
{
    TopicFollowerSettings settings;
    settings.pace = pace;
    settings.wait = newsWithin / waitDivisor;
    settings.staleAfter = newsWithin * stalePercent / hundred;
    settings.staleAtLatest = newsWithin * maxStalePercent / hundred;
    settings.maxRetryDelay = newsWithin;
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

void TopicFollower::confirmByRead(Time asOf)
{
    confirm(asOf);
    m_readAsOf = std::max(asOf, m_readAsOf.value_or(asOf));
}

std::optional<std::chrono::milliseconds> TopicFollower::age(Time now) const
{
    return ageOf(m_asOf, now);
}

std::optional<std::chrono::milliseconds> TopicFollower::ownReadAge(Time now) const
{
    return ageOf(m_readAsOf, now);
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
        if (!m_newsSince)
            noteNews(now);
        return;
    }
    std::optional<std::chrono::milliseconds> age = m_ageOf(said);
    if (age)
        confirm(now - *age);
}

// Daemons that are deferred for long turn to the store at different moments.
void TopicFollower::noteNews(Time now)
{
    m_newsSince = now;
    m_maxDeferral = randomTime(m_settings.staleAfter / deferralShareDivisor, m_settings.staleAfter);
}

std::optional<PeerQuery> TopicFollower::beginPeerQuery(DaemonBook const& book, SiteView const& view, Time now)
{
    if (m_peerQuery || !m_settings.pace.isToldByPeers || now < m_nextPeerQueryAt)
        return std::nullopt;
    if (!hasNews(view)) {
        m_newsSince.reset();
        m_failedPeerQueries = 0;
        m_queryPeerAt.clear();
        m_referrals.clear();
    } else if (!m_newsSince) {
        noteNews(now);
    }
    bool isOwnReadAwaited = view.isReader && m_replica.isComplete() && !m_failingSince && m_newsSince && now - *m_newsSince < m_settings.ownReadTimeout;
    bool asks = hasNews(view) && !isOwnReadAwaited;
    if (!asks)
        return std::nullopt;
    BookedDaemon const* teller = choosePeer(book, now);
    if (!teller)
        return std::nullopt;
    m_peerQueriedAt = now;
    m_peerQuery = PeerQuery { *teller, m_replica.next() };
    return m_peerQuery;
}

std::vector<Platform::KeyedRecord> TopicFollower::takeAnswer(StoreReplica::Extract const& extract, std::optional<std::chrono::milliseconds> age)
{
    std::string peer = m_peerQuery->peer.listed.name;
    m_unresponsivePeers.erase(peer);
    m_peerQuery.reset();
    // Under frequent changes every beacon announces updates, so they are batched: at most one query per topic interval.
    m_nextPeerQueryAt = m_peerQueriedAt + m_settings.pace.interval;
    if (m_replica.isComplete() && extract.next <= m_replica.nextOffset())
        m_queryPeerAt[peer] = m_peerQueriedAt + m_settings.emptyAnswerDelay;
    std::vector<Platform::KeyedRecord> news = m_replica.take(extract);
    if (age && m_replica.isComplete() && m_replica.nextOffset() >= extract.next)
        confirm(m_peerQueriedAt - *age);
    return news;
}

// Deferred daemons return at random moments, so that they do not all wait for the same chunk.
void TopicFollower::noteDeferral(Deferral const& deferral, Time now)
{
    std::string peer = m_peerQuery->peer.listed.name;
    m_peerQuery.reset();
    m_unresponsivePeers.erase(peer);
    std::chrono::milliseconds delay = std::max(deferral.retryAfter, m_settings.minDeferral);
    m_queryPeerAt[peer] = now + randomTime(delay, 2 * delay);
    // Records that are this slow to come by are read from the store while there is time.
    if (m_newsSince && now + delay - *m_newsSince > m_maxDeferral)
        ++m_failedPeerQueries;
    for (std::string const& it : deferral.referrals)
        m_referrals[it] = now;
}

void TopicFollower::noteFailedPeerQuery(Time now)
{
    m_unresponsivePeers[m_peerQuery->peer.listed.name] = now;
    m_peerQuery.reset();
    ++m_failedPeerQueries;
}

std::optional<StoreCallReason> TopicFollower::dueReason(SiteView const& view, Time now)
{
    if (!m_replica.isComplete())
        return StoreCallReason::Start;
    // Query a peer first, and read the store only if that fails.
    bool needsStore = hasNews(view) && m_failedPeerQueries > 0;
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
        m_firstPageSentAt = now;
    m_read = StoreRead { step, step.isNewest ? std::chrono::milliseconds(0) : nextWait(now), *reason };
    return m_read;
}

// A waiting read confirms the copy only when it ends, so a read that follows an old confirmation must not wait long.
std::chrono::milliseconds TopicFollower::nextWait(Time now) const
{
    std::chrono::milliseconds shortest = m_settings.wait / minWaitDivisor;
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
    // A read may be stale or return only part of the records.
    bool isWhole = !batch.isExpired && batch.next == m_replica.nextOffset();
    // An empty answer was produced at the end of the wait; for one with records the time is unknown.
    bool hasWaited = batch.records.empty() && now >= m_readSentAt + read.wait;
    if (isWhole)
        confirmByRead(hasWaited ? m_readSentAt + read.wait : m_readSentAt);
    return news;
}

std::vector<Platform::KeyedRecord> TopicFollower::takeRead(Platform::KeyedPage const& page, Time now)
{
    StoreReplica::Step asked = m_read->step;
    noteRead(now);
    // A peer may have delivered everything meanwhile, in which case this is no longer the next page.
    StoreReplica::Step expected = m_replica.next();
    if (!expected.isNewest || expected.after != asked.after)
        return {};
    std::vector<Platform::KeyedRecord> news = m_replica.take(page);
    bool isWhole = m_replica.isComplete() && !m_replica.next().isNewest;
    if (isWhole)
        confirmByRead(m_firstPageSentAt);
    return news;
}

void TopicFollower::noteFailedRead(SiteView const& view, Time now)
{
    m_read.reset();
    m_failingSince = m_failingSince.value_or(now);
    std::chrono::milliseconds most = std::min(m_settings.maxRetryDelay, m_settings.retryDelayPerDaemon * static_cast<int>(view.live));
    m_retryAt = now + (view.isReader ? m_settings.retryDelay : randomTime(m_settings.retryDelay, most));
}

Time TopicFollower::nextCheckAt(Time now) const
{
    Time next = now + turnCheckInterval;
    Time allowed = std::max(m_turn.allowedAt(), m_retryAt);
    if (m_asOf && m_settings.staleAtLatest.count() > 0)
        next = std::min(next, std::max(allowed, *m_asOf + m_staleAfter));
    for (Time due : { allowed, m_nextPeerQueryAt }) {
        if (due > now)
            next = std::min(next, due);
    }
    next = std::min(next, nextDeferredQueryAt(now).value_or(next));
    return std::max(next, now + std::chrono::milliseconds(1));
}

bool TopicFollower::isReadLately(Time now) const
{
    return !m_failingSince && m_readAt > now - m_settings.wait - m_settings.slack;
}

bool TopicFollower::isCandidate(BookedDaemon const& peer, Time now) const
{
    std::map<std::string, Time>::const_iterator later = m_queryPeerAt.find(peer.listed.name);
    if (later != m_queryPeerAt.end() && now < later->second)
        return false;
    std::map<std::string, Time>::const_iterator referral = m_referrals.find(peer.listed.name);
    bool isReferred = referral != m_referrals.end() && now - referral->second < m_settings.referralTimeout;
    return isReferred || m_isNews(peer.said);
}

std::optional<Time> TopicFollower::nextDeferredQueryAt(Time now) const
{
    std::optional<Time> next;
    for (std::pair<std::string const, Time> const& it : m_queryPeerAt) {
        if (it.second > now)
            next = std::min(next.value_or(it.second), it.second);
    }
    return next;
}

// Prefers a peer in the same availability zone; otherwise hashing by daemon spreads the queries over different peers.
BookedDaemon const* TopicFollower::choosePeer(DaemonBook const& book, Time now) const
{
    BookedDaemon const* best = nullptr;
    std::tuple<bool, bool, std::uint64_t> bestRank;
    for (std::pair<std::string const, BookedDaemon> const& it : book.daemons()) {
        if (!isCandidate(it.second, now) || !book.isLive(it.second, now))
            continue;
        std::map<std::string, Time>::const_iterator silent = m_unresponsivePeers.find(it.first);
        bool isSilent = silent != m_unresponsivePeers.end() && now - silent->second < m_settings.peerBackoff;
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
