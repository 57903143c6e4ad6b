#include <LibAuthority/StoreLease.h>
#include <algorithm>

namespace Authority {

StoreLease::StoreLease(StoreLeaseSettings const& settings, StoreLeaseHolder self, Time startedAt)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_startedAt(startedAt)
{
}

void StoreLease::observe(std::optional<StoreLeaseClaim> const& newest, std::uint64_t next, Time now, std::optional<Time> madeBy)
{
    bool isChanged = !m_isRead || newest != m_newest;
    m_isRead = true;
    m_next = std::max(m_next, next);
    if (!isChanged)
        return;
    m_isSuccessor = m_newest && m_newest->holder != m_self;
    m_newest = newest;
    m_changedAt = std::min(now, madeBy.value_or(now));
    bool isOwn = newest && newest->holder == m_self;
    if (!isOwn) {
        m_fencing.reset();
        return;
    }
    // Includes a claim whose response was lost. Its term starts when its append was started, even if the store applied it late.
    m_fencing = newest->offset;
    m_isClaimPending = false;
}

// When another process's claim no longer keeps this one from claiming.
StoreLease::Time StoreLease::termEnd() const
{
    if (!m_newest || m_newest->holder == m_self)
        return Time();
    if (m_settings.isFenced)
        return m_orderedAt.value_or(m_startedAt) + m_settings.quietTime + m_settings.margin;
    return m_changedAt + m_settings.orderTime + m_settings.quietTime + m_settings.margin;
}

std::optional<StoreLease::Time> StoreLease::opensAt() const
{
    if (!m_isRead)
        return std::nullopt;
    return std::max(termEnd(), m_blockedUntil.value_or(Time()));
}

bool StoreLease::isFree(Time now) const
{
    std::optional<Time> opens = opensAt();
    return opens && now >= *opens;
}

std::optional<StoreLeaseAppend> StoreLease::poll(bool wantsToOrder, Time now)
{
    // An append without a response may be applied later, but gives no authority after its order time.
    bool isWaiting = m_isClaimPending && now < m_appendStartedAt + m_settings.orderTime;
    if (!wantsToOrder || isWaiting || mayOrder(now) || !isFree(now))
        return std::nullopt;
    m_isClaimPending = true;
    m_appendStartedAt = now;
    return StoreLeaseAppend { m_next };
}

std::optional<StoreLeaseAppend> StoreLease::pollReclaim(Time now)
{
    bool isOwn = m_isEndKnown && m_newest && m_newest->holder == m_self;
    return isOwn ? poll(true, now) : std::nullopt;
}

void StoreLease::claimAppended(std::uint64_t offset)
{
    m_isClaimPending = false;
    if (m_newest && m_newest->offset > offset)
        return;
    m_isSuccessor = m_newest && m_newest->holder != m_self;
    m_newest = StoreLeaseClaim { offset, m_self };
    m_next = std::max(m_next, offset + 1);
    m_changedAt = m_appendStartedAt;
    m_isEndKnown = true;
    m_fencing = offset;
}

void StoreLease::claimFailed()
{
    m_isClaimPending = false;
    // Only a read shows the records after the known end. One may be another holder's claim, which supersedes this token.
    m_isEndKnown = false;
    m_fencing.reset();
}

void StoreLease::claimUnknown()
{
    m_isEndKnown = false;
    // The claim stays pending: `observe` may find the record, and no other append is made until the order time is over.
}

void StoreLease::loseAuthority(Time now)
{
    m_fencing.reset();
    m_blockedUntil = now + m_settings.orderTime + m_settings.quietTime + m_settings.margin;
}

bool StoreLease::mayOrder(Time now) const
{
    return m_fencing && !m_isClaimPending && now < m_appendStartedAt + m_settings.orderTime;
}

}
