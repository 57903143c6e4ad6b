#include <LibAuthority/EngineOrders.h>
#include <algorithm>

namespace Authority {

namespace {

bool isDue(std::optional<Time> const& last, Time now, Duration interval)
{
    return !last || now - *last >= interval;
}

}

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
    // The daemons open the engine by themselves when the holder no longer repeats its closing.
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

void EngineOrders::setWish(EngineWish const& wish)
{
    m_wish = wish;
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

void EngineOrders::refuse()
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
        refuse();
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

/// An engine that doesn't check may hold an order of a former holder in its buffers: it was sent in time,
/// and takes effect when the engine gets to it. Two equal reads some time apart show that none is left.
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
    if (isMet(m_ordered, state)) {
        abandonChange();
        return;
    }
    // It serves without the change: the order got lost, or the engine crashed half-way.
    if (state.incarnation != m_orderedIncarnation)
        m_hasToken = false;
    bool mayArrive = m_pending.has_value();
    if (!mayArrive && m_wish != m_ordered) {
        abandonChange();
        return;
    }
    if (m_checksFencing && state.fencing < m_fencing) {
        abandonChange();
        enter(OrderPhase::Raising);
        return;
    }
    if (isDue(m_lastWrite, now, m_settings.retryInterval))
        enter(OrderPhase::Ordering);
}

/// An unknown write is done with when the engine shows its effect, has restarted since, or has twice shown
/// the same state without it: the connection was closed before that.
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
        putOff(now, BlockReason::EngineUnreachable, {});
    else if (m_phase == OrderPhase::Raising || m_phase == OrderPhase::Reading || m_phase == OrderPhase::Settled || m_phase == OrderPhase::Verifying)
        m_block = Block { BlockReason::EngineUnreachable, {} };
}

void EngineOrders::answerOrder(std::string const& orderId, OrderAnswer answer, Time now)
{
    if (!m_pending || m_pending->orderId != orderId)
        return;
    // A definite answer to this try says nothing of an earlier one that may still be on its way. Raising the
    // number twice does no harm.
    bool mayArriveLater = answer == OrderAnswer::Unknown || (m_pending->hadUnknownTry && m_phase != OrderPhase::Raising);
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
    if (answer == OrderAnswer::HigherNumber) {
        refuse();
    } else if (m_phase == OrderPhase::Raising) {
        if (answer == OrderAnswer::Accepted)
            enter(OrderPhase::Reading);
        else
            m_block = Block { answer == OrderAnswer::Refused ? BlockReason::RefusedByEngine : BlockReason::EngineUnreachable, {} };
    } else if (answer == OrderAnswer::Refused) {
        putOff(now, BlockReason::RefusedByEngine, {});
    } else {
        enter(OrderPhase::Verifying);
    }
}

void EngineOrders::startChange(Time now, bool hasToken)
{
    m_ordered = m_wish;
    m_hasToken = hasToken;
    m_closingSince = now;
    m_lastClose.reset();
    m_lastWrite.reset();
    ++m_change;
    enter(OrderPhase::Closing);
}

/// Ends the change under way, met or not, and opens the engine.
void EngineOrders::abandonChange()
{
    m_drain.reset();
    m_hasToken = false;
    m_isOpenDue = true;
    m_block.reset();
    enter(OrderPhase::Settled);
}

void EngineOrders::putOff(Time now, BlockReason reason, std::vector<std::string> names)
{
    abandonChange();
    m_block = Block { reason, std::move(names) };
    m_notBefore = now + m_settings.backoff;
}

std::optional<EngineAction> EngineOrders::poll(Time now, bool mayOrder, bool mayStartChange, TokenBucket& weights)
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
        return pollSettled(now, mayOrder, mayStartChange, weights);
    case OrderPhase::Closing:
        return pollClosing(now, mayOrder, weights);
    case OrderPhase::Ordering:
        return pollOrdering(now, mayOrder, weights);
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

std::optional<EngineAction> EngineOrders::pollSettled(Time now, bool mayOrder, bool mayStartChange, TokenBucket& weights)
{
    if (m_isOpenDue) {
        m_isOpenDue = false;
        return openAction(now);
    }
    if (!m_state || m_state->phase != EnginePhase::Serving || m_pending)
        return readAction(now, m_settings.retryInterval);
    if (isMet(m_wish, *m_state)) {
        if (m_block && m_block->reason != BlockReason::EngineUnreachable)
            m_block.reset();
        return readAction(now, m_settings.readInterval);
    }
    bool isUnreachable = m_block && m_block->reason == BlockReason::EngineUnreachable;
    if (isUnreachable || (m_notBefore && now < *m_notBefore))
        return readAction(now, m_settings.readInterval);
    bool isLoad = needsLoad(m_wish, *m_state);
    if (!mayOrder)
        m_block = Block { BlockReason::LeaseLapsed, {} };
    else if (!mayStartChange)
        m_block = Block { BlockReason::ChangeBudget, {} };
    else if (isLoad && !weights.tryTake(now))
        m_block = Block { BlockReason::WeightBudget, {} };
    else
        startChange(now, isLoad);
    return m_phase == OrderPhase::Closing ? closeAction(now) : readAction(now, m_settings.readInterval);
}

std::optional<EngineAction> EngineOrders::pollClosing(Time now, bool mayOrder, TokenBucket& weights)
{
    if (!mayOrder || m_wish != m_ordered) {
        if (m_hasToken)
            weights.giveBack(now);
        abandonChange();
        return openAction(now);
    }
    if (std::optional<EngineAction> action = closeAction(now))
        return action;
    std::vector<std::string> missing = m_drain.missing(now);
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
            weights.giveBack(now);
        putOff(now, reason, std::move(missing));
        return std::nullopt;
    }
    m_block = Block { reason, std::move(missing) };
    return readAction(now, m_settings.retryInterval);
}

std::optional<EngineAction> EngineOrders::pollOrdering(Time now, bool mayOrder, TokenBucket& weights)
{
    if (std::optional<EngineAction> action = closeAction(now))
        return action;
    if (m_pending && !m_pending->isUnknown)
        return std::nullopt;
    if (!mayOrder && !m_pending) {
        abandonChange();
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
    bool isLoad = m_state && needsLoad(m_ordered, *m_state);
    if (isLoad && !m_hasToken) {
        m_hasToken = weights.tryTake(now);
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

/// A write is given only when no other may still be on its way, save earlier tries of the same order.
std::optional<EngineAction> EngineOrders::writeAction(Time now, EngineActionKind kind, std::string const& orderId)
{
    if (m_pending && !m_pending->isUnknown)
        return std::nullopt;
    if (m_pending && m_pending->orderId != orderId)
        return readAction(now, m_settings.retryInterval);
    if (!isDue(m_lastWrite, now, m_settings.retryInterval))
        return std::nullopt;
    m_lastWrite = now;
    m_pending = Pending { orderId, m_state ? m_state->incarnation : std::string(), false, m_pending.has_value(), {}, {} };
    EngineAction action;
    action.kind = kind;
    action.fencing = m_fencing;
    action.orderId = orderId;
    m_orderedIncarnation = m_pending->incarnation;
    if (kind == EngineActionKind::Order)
        action.wish = m_ordered;
    return action;
}

}
