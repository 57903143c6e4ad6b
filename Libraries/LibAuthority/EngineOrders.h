#pragma once

#include <LibAuthority/DrainTracker.h>
#include <LibAuthority/EngineState.h>
#include <LibAuthority/Holder.h>
#include <LibAuthority/Time.h>
#include <LibAuthority/TokenBucket.h>
#include <LibCore/EnumNames.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Authority {

/// Intervals and timeouts of the order state machine.
struct OrderSettings {
    Duration retryInterval { std::chrono::seconds(1) }; ///< Between two attempts of the same step.
    Duration readInterval { std::chrono::seconds(5) }; ///< Between reads of an engine that is in its desired state.
    Duration settleDelay { std::chrono::seconds(2) }; ///< Between the two equal reads of an engine without fencing checks.
    Duration closeTimeToLive { std::chrono::seconds(15) }; ///< How long a close stays in force at a daemon.
    Duration closeTimeout { std::chrono::seconds(5) }; ///< Reopens an engine that some daemon has not closed by then.
    Duration drainTimeout { std::chrono::seconds(600) }; ///< Reopens an engine that still runs requests by then.
    Duration backoff { std::chrono::seconds(30) }; ///< Delay of the next change after one that failed.
};

/// The state of a lease holder's orders to one engine.
enum class OrderPhase : std::uint8_t {
    NoAuthority, ///< It does not hold the lease, or the engine rejected its fencing token.
    AwaitingEvidence, ///< The engine doesn't check fencing tokens, and a former holder may still send orders.
    Raising, ///< The engine's fencing token is being raised.
    Reading, ///< The engine's state is being read.
    Settled, ///< The state is known and no change is in progress.
    Closing, ///< Daemons close the engine, and its running requests are drained.
    Ordering, ///< The order is due to be written.
    Verifying, ///< The order was written, and the state is being read back.
};

inline constexpr Core::EnumNames<OrderPhase, 8> orderPhaseNames { {
    { OrderPhase::NoAuthority, "no-authority" },
    { OrderPhase::AwaitingEvidence, "awaiting-evidence" },
    { OrderPhase::Raising, "raising" },
    { OrderPhase::Reading, "reading" },
    { OrderPhase::Settled, "settled" },
    { OrderPhase::Closing, "closing" },
    { OrderPhase::Ordering, "ordering" },
    { OrderPhase::Verifying, "verifying" },
} };

/// Why no order is sent although the engine is not in its desired state.
enum class BlockReason : std::uint8_t {
    LeaseLapsed, ///< The lease could not be renewed in time, as in a log outage.
    FormerHolder, ///< Former holders may still send orders; `names` lists them.
    EngineUnreachable,
    RoutersUnreachable, ///< Daemons that may route to the engine have not closed it; `names` lists them.
    RequestsRunning,
    WeightBudget,
    ChangeBudget, ///< The maximum number of engines is already changing.
    RefusedByEngine, ///< It rejected an order for a reason other than its fencing token.
};

inline constexpr Core::EnumNames<BlockReason, 8> blockReasonNames { {
    { BlockReason::LeaseLapsed, "lease-lapsed" },
    { BlockReason::FormerHolder, "former-holder" },
    { BlockReason::EngineUnreachable, "engine-unreachable" },
    { BlockReason::RoutersUnreachable, "routers-unreachable" },
    { BlockReason::RequestsRunning, "requests-running" },
    { BlockReason::WeightBudget, "weight-budget" },
    { BlockReason::ChangeBudget, "change-budget" },
    { BlockReason::RefusedByEngine, "refused-by-engine" },
} };

/// The reason why a change is blocked, as reported to operators.
struct Block {
    BlockReason reason { BlockReason::LeaseLapsed };
    std::vector<std::string> names; ///< Daemons, sorted.

    bool operator==(Block const&) const = default;
};

/// An action of the lease holder on an engine.
enum class EngineActionKind : std::uint8_t {
    Raise, ///< Write an order that carries only the fencing token.
    Read, ///< Read the engine's state.
    Order, ///< Write an order with the fencing token and the desired state.
    Close, ///< Ask all daemons that may route to the engine to close it.
    Open, ///< Tell those daemons to reopen it.
};

inline constexpr Core::EnumNames<EngineActionKind, 5> engineActionKindNames { {
    { EngineActionKind::Raise, "raise" },
    { EngineActionKind::Read, "read" },
    { EngineActionKind::Order, "order" },
    { EngineActionKind::Close, "close" },
    { EngineActionKind::Open, "open" },
} };

/// An action with its parameters. A write (Raise, Order) must be sent on a connection of its own that carries no other
/// write, and must eventually be followed by a call of `recordOrderOutcome`.
struct EngineAction {
    EngineActionKind kind { EngineActionKind::Read };
    std::uint64_t fencing { 0 };
    std::string orderId; ///< For Raise and Order: the same for each attempt of one order.
    DesiredEngineState desired; ///< For Order.
    std::uint64_t round { 0 }; ///< For Close and Open: echoed in acknowledgements.
    Duration timeToLive { Duration::zero() }; ///< For Close.
};

/// The outcome of a write.
enum class OrderOutcome : std::uint8_t {
    Accepted,
    StaleFencing, ///< The engine has seen a higher fencing token: this daemon has lost its authority.
    Refused, ///< Rejected for another reason, without effect.
    Unknown, ///< No response: the write may have taken effect, or may do so later.
};

/// State machine for the orders of a lease holder to one engine, from the claim to the state that is read back: see
/// docs/design/authority.md, "Orders". Takes events and returns one action per `poll`. Does no I/O and is not thread-safe.
class EngineOrders {
public:
    explicit EngineOrders(OrderSettings const&);

    /// Handles gaining the lease under `fencing`. `checksFencing`: the engine is declared to check it. `unsettled` as in `Lease`.
    void gainAuthority(std::uint64_t fencing, bool checksFencing, std::vector<FormerHolder> const& unsettled);

    /// Handles the loss of the lease for any reason.
    void loseAuthority();

    /// Sets the former holders of the lease that are not yet proven to have stopped.
    void setUnsettled(std::vector<FormerHolder> const&);

    void setDesiredState(DesiredEngineState const&);

    /// Sets the daemons that may route to the engine now.
    void setRouters(std::vector<Router>);

    /// Handles a daemon's acknowledgement that it closed the engine in response to `round`.
    void acknowledgeClose(Router const&, std::uint64_t round, Time now);

    /// Handles a successful read.
    void observe(EngineState const&, Time now);

    /// Handles a failed read.
    void observeUnreachable(Time now);

    /// Handles the outcome of a write. `orderId` is that of its action.
    void recordOrderOutcome(std::string const& orderId, OrderOutcome, Time now);

    /// Returns the next action, if one is due. `mayOrder` is the result of `LeaseKeeper::mayOrder(now)`: a write is
    /// returned only if it is true, and must be sent at once. `mayStartChange` is whether one more engine may
    /// change now. A load consumes a token of `loadBudget`.
    std::optional<EngineAction> poll(Time now, bool mayOrder, bool mayStartChange, TokenBucket& loadBudget);

    /// Returns whether a write has no definite outcome yet. Until then the lease must not be released or its loss acknowledged.
    bool hasUnansweredOrder() const { return m_pending.has_value(); }

    /// Returns whether a change of this engine is in progress; such engines count towards the limit of concurrent changes.
    bool isChanging() const { return m_phase == OrderPhase::Closing || m_phase == OrderPhase::Ordering || m_phase == OrderPhase::Verifying; }

    OrderPhase phase() const { return m_phase; }
    std::optional<Block> const& block() const { return m_block; }

    /// Returns the last state that was read under the current fencing token, if any.
    std::optional<EngineState> const& state() const { return m_state; }

    /// Returns whether the engine rejected the fencing token: a newer claim exists, even if it was not read from the log yet.
    bool isRefused() const { return m_isRefused; }

private:
    /// A write without a definite outcome: it may still reach the engine.
    struct PendingWrite {
        std::string orderId;
        std::string incarnation; ///< The engine's incarnation at the time of the write, if known.
        bool isUnknown { false };
        bool hadUnknownAttempt { false }; ///< An earlier attempt of this order ended without a response.
        Time unknownSince;
        std::optional<EngineState> firstRead; ///< The first of two equal reads since `unknownSince`.
    };

    void enter(OrderPhase);
    void markRefused();
    void resolvePending(EngineState const&);
    void observeReading(EngineState const&);
    void observeVerifying(EngineState const&, Time now);
    void startChange(Time now, bool hasToken);
    void endChange();
    void postponeChange(Time now, BlockReason, std::vector<std::string> names);

    std::optional<EngineAction> pollRaising(Time now, bool mayOrder);
    std::optional<EngineAction> pollSettled(Time now, bool mayOrder, bool mayStartChange, TokenBucket& loadBudget);
    std::optional<EngineAction> pollClosing(Time now, bool mayOrder, TokenBucket& loadBudget);
    std::optional<EngineAction> pollOrdering(Time now, bool mayOrder, TokenBucket& loadBudget);
    std::optional<EngineAction> pollVerifying(Time now);
    std::optional<EngineAction> closeAction(Time now);
    std::optional<EngineAction> readAction(Time now, Duration interval);
    std::optional<EngineAction> writeAction(Time now, EngineActionKind, std::string const& orderId);
    EngineAction openAction(Time now);

    OrderSettings m_settings;
    OrderPhase m_phase { OrderPhase::NoAuthority };
    std::uint64_t m_fencing { 0 };
    bool m_hasFencing { false };
    bool m_checksFencing { false };
    bool m_isRefused { false };
    std::vector<std::string> m_unsettled; ///< Daemon names of the former holders, sorted.
    DesiredEngineState m_desired;
    DesiredEngineState m_orderedState; ///< The desired state that the change in progress applies.
    std::uint64_t m_change { 0 }; ///< Number of the change in progress.
    std::string m_orderedIncarnation; ///< The engine's incarnation when the order was last written.
    bool m_hasToken { false }; ///< The change in progress has its load budget token.
    DrainTracker m_drain;
    std::optional<EngineState> m_state;
    std::optional<EngineState> m_firstRead; ///< In Reading: the first of two equal reads.
    std::optional<PendingWrite> m_pending;
    std::optional<Block> m_block;
    std::optional<Time> m_lastRead; ///< Within the current phase.
    std::optional<Time> m_lastWrite;
    std::optional<Time> m_lastClose;
    Time m_closingSince;
    std::optional<Time> m_notBefore; ///< No change starts before this time.
    bool m_isOpenDue { false };
};

}
