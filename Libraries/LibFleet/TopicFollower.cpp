#include <LibFleet/TopicFollower.h>
#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace Fleet {

namespace {

// How often a topic that is not woken looks whether its time has come: a fifth of the least of those times.
constexpr std::chrono::milliseconds turnCheckInterval { 200 };

}

TopicFollower::TopicFollower(TopicFollowerSettings const& settings, NewsTest isNews, std::uint64_t seed)
    : m_settings(settings)
    , m_isNews(std::move(isNews))
    , m_turn(settings.pace, seed)
{
}

bool TopicFollower::isDue(SiteView const& view, Time now)
{
    if (now < m_retryAt)
        return false;
    if (!m_due)
        m_due = m_replica.isComplete() ? m_turn.due(view, hasNews(view), now) : std::optional(StoreCallReason::Start);
    return m_due.has_value();
}

std::optional<PeerQuestion> TopicFollower::beginQuestion(DaemonBook const& book, SiteView const& view, Time now)
{
    if (m_phase != Phase::Waiting)
        return std::nullopt;
    bool isAfterFailure = std::exchange(m_asksAfterFailure, false);
    bool asksFirst = m_settings.pace.isToldByPeers && (!view.isReader || !m_replica.isComplete()) && !m_hasAsked && isDue(view, now) && hasNews(view);
    if (!isAfterFailure && !asksFirst)
        return std::nullopt;
    BookedDaemon const* teller = tellerOf(book, now);
    if (!teller)
        return std::nullopt;
    if (!isAfterFailure)
        m_turn.begin(now);
    m_phase = isAfterFailure ? Phase::AskingAfterFailure : Phase::Asking;
    return PeerQuestion { *teller, m_replica.next() };
}

std::vector<Platform::KeyedRecord> TopicFollower::takeAnswer(StoreReplica::Extract const& extract, SiteView const& view, Time now)
{
    std::vector<Platform::KeyedRecord> news = m_replica.take(extract);
    bool isEnough = m_phase == Phase::Asking && !hasNews(view);
    if (!isEnough) {
        noteNoAnswer(view, now);
        return news;
    }
    m_due.reset();
    endTurn();
    return news;
}

void TopicFollower::noteNoAnswer(SiteView const& view, Time now)
{
    if (m_phase == Phase::AskingAfterFailure)
        m_retryAt = now + (m_replica.isComplete() ? m_settings.retryDelay : std::max(m_settings.retryDelay, m_settings.retryDelayPerDaemon * static_cast<int>(view.live)));
    else
        m_hasAsked = true;
    endTurn();
}

std::optional<StoreRead> TopicFollower::beginRead(SiteView const& view, Time now)
{
    if (m_phase != Phase::Waiting || !isDue(view, now))
        return std::nullopt;
    if (!m_hasAsked)
        m_turn.begin(now);
    m_phase = Phase::Reading;
    m_hasAsked = false;
    StoreReplica::Step step = m_replica.next();
    return StoreRead { step, step.isNewest ? std::chrono::milliseconds(0) : m_settings.wait, *std::exchange(m_due, std::nullopt) };
}

void TopicFollower::noteRead(Time now)
{
    m_readAt = now;
    m_failingSince.reset();
    endTurn();
}

std::vector<Platform::KeyedRecord> TopicFollower::takeRead(Platform::KeyedBatch const& batch, Time now)
{
    noteRead(now);
    return m_replica.take(batch);
}

std::vector<Platform::KeyedRecord> TopicFollower::takeRead(Platform::KeyedPage const& page, Time now)
{
    noteRead(now);
    return m_replica.take(page);
}

void TopicFollower::noteFailedRead(SiteView const& view, Time now)
{
    m_failingSince = m_failingSince.value_or(now);
    m_asksAfterFailure = true;
    m_retryAt = now + (m_replica.isComplete() ? m_settings.retryDelay : std::max(m_settings.retryDelay, m_settings.retryDelayPerDaemon * static_cast<int>(view.live)));
    endTurn();
}

Time TopicFollower::nextLook(Time now) const
{
    Time allowed = std::max(m_turn.allowedAt(), m_retryAt);
    return allowed > now ? allowed : now + turnCheckInterval;
}

bool TopicFollower::isReadLately(Time now) const
{
    return !m_failingSince && m_readAt > now - m_settings.wait - m_settings.slack;
}

// One in the same availability zone if there is one; else another one for each daemon that asks, so that few are asked by all.
BookedDaemon const* TopicFollower::tellerOf(DaemonBook const& book, Time now) const
{
    BookedDaemon const* best = nullptr;
    std::tuple<bool, std::uint64_t> bestRank;
    for (std::pair<std::string const, BookedDaemon> const& it : book.daemons()) {
        if (!book.isLive(it.second, now) || !m_isNews(it.second.said))
            continue;
        std::string pair = m_settings.daemon + " " + it.first;
        std::tuple<bool, std::uint64_t> rank { it.second.listed.availabilityZone != m_settings.availabilityZone, XXH3_64bits(pair.data(), pair.size()) };
        if (!best || rank < bestRank) {
            best = &it.second;
            bestRank = rank;
        }
    }
    return best;
}

}
