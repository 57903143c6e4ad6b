#include <LibAuthority/LeaseKeeper.h>
#include <algorithm>
#include <cassert>

namespace Authority {

namespace {

/// Number of appends whose start times are kept; an older one that is read back doesn't extend the term.
constexpr std::size_t maximumPendingAppends = 16;

}

LeaseKeeper::LeaseKeeper(LeaseSettings const& settings, std::string pool, Holder self, std::uint64_t seed)
    : m_settings(settings)
    , m_pool(std::move(pool))
    , m_self(std::move(self))
    , m_random(seed)
{
    assert(settings.duration > 2 * settings.clockMargin);
}

void LeaseKeeper::observe(Lease const* lease, Time now)
{
    std::optional<Lease> read = lease ? std::optional(*lease) : std::nullopt;
    if (m_changedAt && read == m_lease)
        return;
    bool isNewRecord = !m_changedAt || !m_lease || !read || m_lease->lastRecord != read->lastRecord;
    m_lease = std::move(read);
    if (isNewRecord)
        m_changedAt = now;
    if (!m_lease)
        return;
    if (m_fencing && (m_lease->fencing != *m_fencing || m_lease->isReleased)) {
        if (m_lease->fencing != *m_fencing)
            m_superseded = m_fencing;
        m_fencing.reset();
    }
    if (!isOwn(*m_lease))
        return;
    if (!m_fencing) {
        m_fencing = m_lease->fencing;
        m_validUntil = Time::min();
        m_superseded.reset();
    }
    std::map<std::uint64_t, Time>::const_iterator sent = m_pendingAppends.find(m_lease->lastId);
    if (sent != m_pendingAppends.end())
        m_validUntil = std::max(m_validUntil, sent->second + m_settings.duration - m_settings.clockMargin);
}

void LeaseKeeper::setCandidate(bool isCandidate, std::uint32_t rank)
{
    m_isCandidate = isCandidate;
    m_rank = rank;
}

void LeaseKeeper::release()
{
    m_isReleasing = true;
}

bool LeaseKeeper::mayOrder(Time now) const
{
    return m_fencing && !m_isReleasing && now < m_validUntil;
}

KeeperPhase LeaseKeeper::phase(Time now) const
{
    if (m_superseded)
        return KeeperPhase::Superseded;
    if (!m_fencing)
        return KeeperPhase::Follower;
    if (m_isReleasing)
        return KeeperPhase::Releasing;
    return mayOrder(now) ? KeeperPhase::Holding : KeeperPhase::Lapsed;
}

std::optional<LeaseRecord> LeaseKeeper::poll(Time now, bool hasUnansweredOrders)
{
    bool isRetryDue = !m_lastAppendAt || now - *m_lastAppendAt >= m_settings.retryInterval;
    if (!isRetryDue)
        return std::nullopt;
    if (m_superseded) {
        bool isAwaited = std::any_of(m_lease->unsettled.begin(), m_lease->unsettled.end(), [this](FormerHolder const& former) { return former.fencing == *m_superseded; });
        if (!isAwaited) {
            m_superseded.reset();
        } else if (!hasUnansweredOrders) {
            m_lastAppendAt = now;
            return LeaseRecord(Acknowledgement { m_pool, *m_superseded });
        }
        return std::nullopt;
    }
    if (!m_fencing)
        return m_isReleasing ? std::nullopt : pollFollower(now);
    if (!m_isReleasing)
        return pollHolder(now);
    if (hasUnansweredOrders)
        return std::nullopt;
    m_lastAppendAt = now;
    return LeaseRecord(Release { m_pool, *m_fencing });
}

std::optional<LeaseRecord> LeaseKeeper::pollFollower(Time now)
{
    std::optional<Time> claimable = claimableAt();
    if (!m_isCandidate || !claimable || now < *claimable)
        return std::nullopt;
    std::optional<std::uint64_t> previous = m_lease ? std::optional(m_lease->lastRecord) : std::nullopt;
    return LeaseRecord(Claim { m_pool, m_self, previous, beginAppend(now) });
}

std::optional<LeaseRecord> LeaseKeeper::pollHolder(Time now)
{
    if (m_lastAppendAt && now - *m_lastAppendAt < m_settings.renewInterval && mayOrder(now + m_settings.renewInterval))
        return std::nullopt;
    std::uint64_t fencing = *m_fencing;
    return LeaseRecord(Renewal { { { m_pool, fencing, beginAppend(now) } } });
}

/// A lease that was released or never held can be claimed at once. Any other can be claimed only when its holder's term,
/// which started before the append that was read, has certainly ended.
std::optional<Time> LeaseKeeper::claimableAt() const
{
    if (!m_changedAt)
        return std::nullopt;
    bool isFree = !m_lease || m_lease->isReleased;
    return *m_changedAt + (isFree ? Duration::zero() : m_settings.duration + m_settings.clockMargin) + m_rank * m_settings.rankStep;
}

std::uint64_t LeaseKeeper::beginAppend(Time now)
{
    std::uint64_t id = m_random();
    if (m_pendingAppends.size() >= maximumPendingAppends) {
        std::map<std::uint64_t, Time>::iterator oldest = std::min_element(m_pendingAppends.begin(), m_pendingAppends.end(),
            [](std::map<std::uint64_t, Time>::value_type const& a, std::map<std::uint64_t, Time>::value_type const& b) { return a.second < b.second; });
        m_pendingAppends.erase(oldest);
    }
    m_pendingAppends.emplace(id, now);
    m_lastAppendAt = now;
    return id;
}

}
