#include <LibAuthority/EngineOrders.h>
#include <algorithm>

namespace Authority {

EngineOrders::EngineOrders(OrderSettings const& settings)
    : m_settings(settings)
    , m_drain(settings.closeTimeToLive)
{
}

void EngineOrders::gainAuthority(std::uint64_t fencing, bool checksFencing, std::vector<FormerHolder> const& unsettled)
{
    bool isKnown = m_hasFencing && m_fencing == fencing && m_checksFencing == checksFencing;
    if (isKnown && (m_isRefused || m_phase != OrderPhase::NoAuthority)) {
        setUnsettled(unsettled);
        return;
    }
    loseAuthority();
    m_fencing = fencing;
    m_hasFencing = true;
    m_checksFencing = checksFencing;
    m_isRefused = false;
    m_state.reset();
    m_notBefore.reset();
    enter(checksFencing ? OrderPhase::Raising : OrderPhase::AwaitingEvidence);
    setUnsettled(unsettled);
}

void EngineOrders::loseAuthority()
{
    // The daemons reopen the engine on their own when the close expires without being repeated.
    m_drain.reset();
    m_hasToken = false;
    m_isOpenDue = false;
    m_block.reset();
    enter(OrderPhase::NoAuthority);
}

void EngineOrders::setUnsettled(std::vector<FormerHolder> const& unsettled)
{
    m_unsettled.clear();
    for (FormerHolder const& former : unsettled)
        m_unsettled.push_back(former.holder.daemon);
    std::sort(m_unsettled.begin(), m_unsettled.end());
    if (m_phase != OrderPhase::AwaitingEvidence)
        return;
    if (m_unsettled.empty())
        enter(OrderPhase::Reading);
    else
        m_block = Block { BlockReason::FormerHolder, m_unsettled };
}

void EngineOrders::setDesiredState(DesiredEngineState const& desired)
{
    m_desired = desired;
}

void EngineOrders::setRouters(std::vector<Router> routers)
{
    m_drain.setRouters(std::move(routers));
}

void EngineOrders::acknowledgeClose(Router const& router, std::uint64_t round, Time now)
{
    m_drain.acknowledge(router, round, now);
}

void EngineOrders::enter(OrderPhase phase)
{
    m_phase = phase;
    m_lastRead.reset();
    m_firstRead.reset();
    if (phase != OrderPhase::Settled)
        m_block.reset();
}

void EngineOrders::markRefused()
{
    loseAuthority();
    m_isRefused = true;
}

void EngineOrders::observe(EngineState const& state, Time now)
{
    resolvePending(state);
    bool isFresh = m_lastRead && state.readAt >= *m_lastRead;
    if (m_phase == OrderPhase::NoAuthority || !isFresh)
        return;
    bool isRestarted = m_checksFencing && state.fencing < m_fencing;
    if (m_checksFencing && state.fencing > m_fencing) {
        markRefused();
        return;
    }
    m_state = state;
    if (m_block && m_block->reason == BlockReason::EngineUnreachable)
        m_block.reset();
    if (m_phase == OrderPhase::Reading) {
        if (isRestarted)
            enter(OrderPhase::Raising);
        else
            observeReading(state);
    } else if (m_phase == OrderPhase::Verifying) {
        observeVerifying(state, now);
    } else if (m_phase == OrderPhase::Settled && isRestarted) {
        enter(OrderPhase::Raising);
    }
}

/// An engine that doesn't check fencing tokens may have an order of a former holder in its buffers, which was sent in time
/// and takes effect when the engine processes it. Two equal reads some time apart show that none is left.
void EngineOrders::observeReading(EngineState const& state)
{
    bool isStable = m_firstRead && haveSameSettings(*m_firstRead, state) && m_firstRead->incarnation == state.incarnation
        && state.readAt - m_firstRead->readAt >= m_settings.settleDelay;
    if (m_checksFencing || isStable) {
        enter(OrderPhase::Settled);
        return;
    }
    if (!m_firstRead || !haveSameSettings(*m_firstRead, state) || m_firstRead->incarnation != state.incarnation)
        m_firstRead = state;
}

void EngineOrders::observeVerifying(EngineState const& state, Time now)
{
    if (state.phase != EnginePhase::Serving)
        return;
    if (isSatisfied(m_orderedState, state)) {
        endChange();
        return;
    }
    // The engine serves without the change: the order was lost, or the engine crashed during the change.
    if (state.incarnation != m_orderedIncarnation)
        m_hasToken = false;
    bool mayArrive = m_pending.has_value();
    if (!mayArrive && m_desired != m_orderedState) {
        endChange();
        return;
    }
    if (m_checksFencing && state.fencing < m_fencing) {
        endChange();
        enter(OrderPhase::Raising);
        return;
    }
    if (isDue(m_lastWrite, now, m_settings.retryInterval))
        enter(OrderPhase::Ordering);
}

/// A write with an unknown outcome is resolved when the engine has restarted since, or when two reads some time apart show
/// the same state of a serving engine, with or without its effect: the connection was closed before them.
void EngineOrders::resolvePending(EngineState const& state)
{
    if (!m_pending || !m_pending->isUnknown || state.readAt < m_pending->unknownSince)
        return;
    bool isRestarted = !m_pending->incarnation.empty() && m_pending->incarnation != state.incarnation;
    std::optional<EngineState>& first = m_pending->firstRead;
    bool isSame = first && haveSameSettings(*first, state) && first->phase == state.phase && first->incarnation == state.incarnation;
    bool isStable = isSame && state.phase == EnginePhase::Serving && state.readAt - first->readAt >= m_settings.settleDelay;
    if (isRestarted || isStable)
        m_pending.reset();
    else if (!isSame)
        first = state;
}

void EngineOrders::observeUnreachable(Time now)
{
    if (m_phase == OrderPhase::Closing)
        postponeChange(now, BlockReason::EngineUnreachable, {});
    else if (m_phase == OrderPhase::Raising || m_phase == OrderPhase::Reading || m_phase == OrderPhase::Settled || m_phase == OrderPhase::Verifying)
        m_block = Block { BlockReason::EngineUnreachable, {} };
}

void EngineOrders::recordOrderOutcome(std::string const& orderId, OrderOutcome outcome, Time now)
{
    if (!m_pending || m_pending->orderId != orderId)
        return;
    // A definite response to this attempt says nothing about an earlier one that may still be in flight. Raising the
    // fencing token twice is harmless.
    bool mayArriveLater = outcome == OrderOutcome::Unknown || (m_pending->hadUnknownAttempt && m_phase != OrderPhase::Raising);
    if (mayArriveLater) {
        m_pending->isUnknown = true;
        m_pending->unknownSince = now;
        m_pending->firstRead.reset();
    } else {
        m_pending.reset();
    }
    bool isCurrent = m_phase == OrderPhase::Raising || m_phase == OrderPhase::Ordering;
    if (!isCurrent)
        return;
    if (outcome == OrderOutcome::StaleFencing) {
        markRefused();
    } else if (m_phase == OrderPhase::Raising) {
        if (outcome == OrderOutcome::Accepted)
            enter(OrderPhase::Reading);
        else
            m_block = Block { outcome == OrderOutcome::Refused ? BlockReason::RefusedByEngine : BlockReason::EngineUnreachable, {} };
    } else if (outcome == OrderOutcome::Refused) {
        postponeChange(now, BlockReason::RefusedByEngine, {});
    } else {
        enter(OrderPhase::Verifying);
    }
}

void EngineOrders::startChange(Time now, bool hasToken)
{
    m_orderedState = m_desired;
    m_hasToken = hasToken;
    m_closingSince = now;
    m_lastClose.reset();
    m_lastWrite.reset();
    ++m_change;
    enter(OrderPhase::Closing);
}

/// Ends the change in progress, whether completed or not, and reopens the engine.
void EngineOrders::endChange()
{
    m_drain.reset();
    m_hasToken = false;
    m_isOpenDue = true;
    m_block.reset();
    enter(OrderPhase::Settled);
}

void EngineOrders::postponeChange(Time now, BlockReason reason, std::vector<std::string> names)
{
    endChange();
    m_block = Block { reason, std::move(names) };
    m_notBefore = now + m_settings.backoff;
}

}
