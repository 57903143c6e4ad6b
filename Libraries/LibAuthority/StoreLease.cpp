#include <LibAuthority/StoreLease.h>

namespace Authority {

StoreLease::StoreLease(StoreLeaseSettings const& settings, StoreLeaseHolder self, Time startedAt)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_startedAt(startedAt)
{
}

void StoreLease::observe(std::optional<StoreLeaseClaim> const& newest, std::uint64_t next, Time now)
{
    bool isChanged = !m_isRead || newest != m_newest;
    m_isRead = true;
    m_next = std::max(m_next, next);
    if (!isChanged)
        return;
    m_newest = newest;
    m_changedAt = now;
    bool isOwn = newest && newest->holder == m_self;
    if (!isOwn) {
        m_fencing.reset();
        return;
    }
    // Also one whose answer was lost. It counts from when its append was begun, however late it was carried out.
    m_fencing = newest->offset;
    m_isClaiming = false;
}

bool StoreLease::isFree(Time now) const
{
    if (!m_isRead || (m_blockedUntil && now < *m_blockedUntil))
        return false;
    if (!m_newest || m_newest->holder == m_self)
        return true;
    if (m_settings.isFenced)
        return now >= m_orderedAt.value_or(m_startedAt) + m_settings.quietTime + m_settings.margin;
    return now >= m_changedAt + m_settings.orderTime + m_settings.quietTime + m_settings.margin;
}

std::optional<StoreLeaseAppend> StoreLease::poll(bool wantsToOrder, Time now)
{
    // An append without an answer may be carried out later: after its order time it gives no authority any more.
    bool isWaiting = m_isClaiming && now < m_begunAt + m_settings.orderTime;
    if (!wantsToOrder || isWaiting || mayOrder(now) || !isFree(now))
        return std::nullopt;
    m_isClaiming = true;
    m_begunAt = now;
    return StoreLeaseAppend { m_next };
}

std::optional<StoreLeaseAppend> StoreLease::pollOwn(Time now)
{
    bool isOwn = m_isEndKnown && m_newest && m_newest->holder == m_self;
    return isOwn ? poll(true, now) : std::nullopt;
}

void StoreLease::claimAppended(std::uint64_t offset)
{
    m_isClaiming = false;
    if (m_newest && m_newest->offset > offset)
        return;
    m_newest = StoreLeaseClaim { offset, m_self };
    m_next = std::max(m_next, offset + 1);
    m_changedAt = m_begunAt;
    m_isEndKnown = true;
    m_fencing = offset;
}

void StoreLease::claimFailed()
{
    m_isClaiming = false;
    // Only a read tells what stands behind the end that was known: another's claim, so that the number of an earlier one is of no use.
    m_isEndKnown = false;
    m_fencing.reset();
}

void StoreLease::claimUnknown()
{
    m_isEndKnown = false;
    // Still claiming: `observe` may find the record, and until the order time is over no other append is made.
}

void StoreLease::loseAuthority(Time now)
{
    m_fencing.reset();
    m_blockedUntil = now + m_settings.orderTime + m_settings.quietTime + m_settings.margin;
}

bool StoreLease::mayOrder(Time now) const
{
    return m_fencing && !m_isClaiming && now < m_begunAt + m_settings.orderTime;
}

}
