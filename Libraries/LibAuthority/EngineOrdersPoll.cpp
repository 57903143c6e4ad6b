// The actions of EngineOrders for each phase; EngineOrders.cpp handles its events.
#include <LibAuthority/EngineOrders.h>

namespace Authority {

std::optional<EngineAction> EngineOrders::poll(Time now, bool mayOrder, bool mayStartChange, TokenBucket& loadBudget)
{
    switch (m_phase) {
    case OrderPhase::NoAuthority:
        return m_pending && m_pending->isUnknown ? readAction(now, m_settings.retryInterval) : std::nullopt;
    case OrderPhase::AwaitingEvidence:
        return readAction(now, m_settings.readInterval);
    case OrderPhase::Raising:
        return pollRaising(now, mayOrder);
    case OrderPhase::Reading:
        return readAction(now, m_settings.retryInterval);
    case OrderPhase::Settled:
        return pollSettled(now, mayOrder, mayStartChange, loadBudget);
    case OrderPhase::Closing:
        return pollClosing(now, mayOrder, loadBudget);
    case OrderPhase::Ordering:
        return pollOrdering(now, mayOrder, loadBudget);
    case OrderPhase::Verifying:
        return pollVerifying(now);
    }
    return std::nullopt;
}

std::optional<EngineAction> EngineOrders::pollRaising(Time now, bool mayOrder)
{
    if (!mayOrder) {
        m_block = Block { BlockReason::LeaseLapsed, {} };
        return std::nullopt;
    }
    return writeAction(now, EngineActionKind::Raise, std::to_string(m_fencing) + "-raise");
}

std::optional<EngineAction> EngineOrders::pollSettled(Time now, bool mayOrder, bool mayStartChange, TokenBucket& loadBudget)
{
    if (m_isOpenDue) {
        m_isOpenDue = false;
        return openAction(now);
    }
    if (!m_state || m_state->phase != EnginePhase::Serving || m_pending)
        return readAction(now, m_settings.retryInterval);
    if (isSatisfied(m_desired, *m_state)) {
        if (m_block && m_block->reason != BlockReason::EngineUnreachable)
            m_block.reset();
        return readAction(now, m_settings.readInterval);
    }
    bool isUnreachable = m_block && m_block->reason == BlockReason::EngineUnreachable;
    if (isUnreachable || (m_notBefore && now < *m_notBefore))
        return readAction(now, m_settings.readInterval);
    bool isLoad = needsLoad(m_desired, *m_state);
    if (!mayOrder)
        m_block = Block { BlockReason::LeaseLapsed, {} };
    else if (!mayStartChange)
        m_block = Block { BlockReason::ChangeBudget, {} };
    else if (isLoad && !loadBudget.tryConsume(now))
        m_block = Block { BlockReason::WeightBudget, {} };
    else
        startChange(now, isLoad);
    return m_phase == OrderPhase::Closing ? closeAction(now) : readAction(now, m_settings.readInterval);
}

std::optional<EngineAction> EngineOrders::pollClosing(Time now, bool mayOrder, TokenBucket& loadBudget)
{
    if (!mayOrder || m_desired != m_orderedState) {
        if (m_hasToken)
            loadBudget.refund(now);
        endChange();
        return openAction(now);
    }
    if (std::optional<EngineAction> action = closeAction(now))
        return action;
    std::vector<std::string> missing = m_drain.unacknowledged(now);
    std::optional<Time> closedSince = m_drain.closedSince(now);
    bool hasEnded = closedSince && m_state && m_state->asOf >= *closedSince && m_state->running == 0;
    if (hasEnded) {
        enter(OrderPhase::Ordering);
        return std::nullopt;
    }
    BlockReason reason = missing.empty() ? BlockReason::RequestsRunning : BlockReason::RoutersUnreachable;
    Duration timeout = missing.empty() ? m_settings.drainTimeout : m_settings.closeTimeout;
    if (now - m_closingSince >= timeout) {
        if (m_hasToken)
            loadBudget.refund(now);
        postponeChange(now, reason, std::move(missing));
        return std::nullopt;
    }
    m_block = Block { reason, std::move(missing) };
    return readAction(now, m_settings.retryInterval);
}

std::optional<EngineAction> EngineOrders::pollOrdering(Time now, bool mayOrder, TokenBucket& loadBudget)
{
    if (std::optional<EngineAction> action = closeAction(now))
        return action;
    if (m_pending && !m_pending->isUnknown)
        return std::nullopt;
    if (!mayOrder && !m_pending) {
        endChange();
        return std::nullopt;
    }
    if (!mayOrder) {
        m_block = Block { BlockReason::LeaseLapsed, {} };
        return readAction(now, m_settings.retryInterval);
    }
    if (!m_drain.closedSince(now)) {
        enter(OrderPhase::Closing);
        return std::nullopt;
    }
    bool isLoad = m_state && needsLoad(m_orderedState, *m_state);
    if (isLoad && !m_hasToken) {
        m_hasToken = loadBudget.tryConsume(now);
        if (!m_hasToken) {
            m_block = Block { BlockReason::WeightBudget, {} };
            return std::nullopt;
        }
    }
    return writeAction(now, EngineActionKind::Order, std::to_string(m_fencing) + "-" + std::to_string(m_change));
}

std::optional<EngineAction> EngineOrders::pollVerifying(Time now)
{
    if (std::optional<EngineAction> action = closeAction(now))
        return action;
    return readAction(now, m_settings.retryInterval);
}

std::optional<EngineAction> EngineOrders::closeAction(Time now)
{
    if (!isDue(m_lastClose, now, m_settings.closeTimeToLive / 3))
        return std::nullopt;
    m_lastClose = now;
    EngineAction action;
    action.kind = EngineActionKind::Close;
    action.fencing = m_fencing;
    action.round = m_drain.beginRound(now);
    action.timeToLive = m_settings.closeTimeToLive;
    return action;
}

EngineAction EngineOrders::openAction(Time now)
{
    m_isOpenDue = false;
    EngineAction action;
    action.kind = EngineActionKind::Open;
    action.fencing = m_fencing;
    action.round = m_drain.beginRound(now);
    return action;
}

std::optional<EngineAction> EngineOrders::readAction(Time now, Duration interval)
{
    if (!isDue(m_lastRead, now, interval))
        return std::nullopt;
    m_lastRead = now;
    EngineAction action;
    action.kind = EngineActionKind::Read;
    return action;
}

/// Returns a write only if no other may still be in flight, except for earlier attempts of the same order.
std::optional<EngineAction> EngineOrders::writeAction(Time now, EngineActionKind kind, std::string const& orderId)
{
    if (m_pending && !m_pending->isUnknown)
        return std::nullopt;
    if (m_pending && m_pending->orderId != orderId)
        return readAction(now, m_settings.retryInterval);
    if (!isDue(m_lastWrite, now, m_settings.retryInterval))
        return std::nullopt;
    m_lastWrite = now;
    m_pending = PendingWrite { orderId, m_state ? m_state->incarnation : std::string(), false, m_pending.has_value(), {}, {} };
    EngineAction action;
    action.kind = kind;
    action.fencing = m_fencing;
    action.orderId = orderId;
    m_orderedIncarnation = m_pending->incarnation;
    if (kind == EngineActionKind::Order)
        action.desired = m_orderedState;
    return action;
}

}
