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

/// Intervals of the order state machine.
struct OrderSettings {
    Duration retryInterval { std::chrono::seconds(1) }; ///< Between two tries of the same step.
    Duration readInterval { std::chrono::seconds(5) }; ///< Between reads of an engine that is as wanted.
    Duration settleDelay { std::chrono::seconds(2) }; ///< Between the two equal reads of an engine that doesn't check.
    Duration closeTimeToLive { std::chrono::seconds(15) }; ///< How long a daemon keeps an engine closed.
    Duration closeTimeout { std::chrono::seconds(5) }; ///< After it, an engine that some daemon has not closed is opened again.
    Duration drainTimeout { std::chrono::seconds(600) }; ///< After it, an engine whose requests have not ended is opened again.
    Duration backoff { std::chrono::seconds(30) }; ///< Until the next try after either.
};

/// Where the holder of a lease is with one engine.
enum class OrderPhase : std::uint8_t {
    NoAuthority, ///< It does not hold the lease, or an engine refused its number.
    AwaitingEvidence, ///< The engine doesn't check, and a former holder may still order.
    Raising, ///< The number is being raised at the engine.
    Reading, ///< The engine's state is being read.
    Settled, ///< The state is known; nothing is under way.
    Closing, ///< Daemons close the engine and its requests end.
    Ordering, ///< The order is to be written.
    Verifying, ///< The order was written; the state is read back.
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

/// Why nothing is ordered although something is wanted.
enum class BlockReason : std::uint8_t {
    LeaseLapsed, ///< The lease could not be renewed in time, as in a log outage.
    FormerHolder, ///< A former holder may still order; `names` has them.
    EngineUnreachable,
    RoutersUnreachable, ///< Daemons that may route there have not closed it; `names` has them.
    RequestsRunning,
    WeightBudget,
    ChangeBudget, ///< Enough engines are changing at once.
    RefusedByEngine, ///< It refused an order for another reason than its number.
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

/// What stands in the way, for operators.
struct Block {
    BlockReason reason { BlockReason::LeaseLapsed };
    std::vector<std::string> names; ///< Daemons, sorted.

    bool operator==(Block const&) const = default;
};

/// What the holder is to do for an engine now.
enum class EngineActionKind : std::uint8_t {
    Raise, ///< Write an order that holds only the number.
    Read, ///< Read the engine's state.
    Order, ///< Write an order with number and wish.
    Close, ///< Ask all daemons that may route there to close the engine.
    Open, ///< Tell them to open it.
};

inline constexpr Core::EnumNames<EngineActionKind, 5> engineActionKindNames { {
    { EngineActionKind::Raise, "raise" },
    { EngineActionKind::Read, "read" },
    { EngineActionKind::Order, "order" },
    { EngineActionKind::Close, "close" },
    { EngineActionKind::Open, "open" },
} };

/// An action. A write (Raise, Order) goes over a connection that is opened for it, with no other write on it,
/// and `answerOrder` has to follow it sooner or later.
struct EngineAction {
    EngineActionKind kind { EngineActionKind::Read };
    std::uint64_t fencing { 0 };
    std::string orderId; ///< For Raise and Order: the same for each try of one order.
    EngineWish wish; ///< For Order.
    std::uint64_t round { 0 }; ///< For Close and Open: to be named in acknowledgements.
    Duration timeToLive { Duration::zero() }; ///< For Close.
};

/// How a write ended.
enum class OrderAnswer : std::uint8_t {
    Accepted,
    HigherNumber, ///< The engine has seen a higher number: authority is lost.
    Refused, ///< Refused for another reason; it had no effect.
    Unknown, ///< No answer: it may have had its effect, or may have it later.
};

/// The orders of a lease's holder to one engine, from claim to read-back state: docs/design/authority.md,
/// "Orders". Events come in, `poll` gives one action at a time. Pure and not thread-safe.
class EngineOrders {
public:
    explicit EngineOrders(OrderSettings const&);

    /// The lease was gained under `fencing`. `checksFencing` only if the engine is said to check; `unsettled` as in `Lease`.
    void gainAuthority(std::uint64_t fencing, bool checksFencing, std::vector<FormerHolder> const& unsettled);

    /// The lease is this daemon's no more, for whatever reason.
    void loseAuthority();

    /// The former holders of the lease of which there is no evidence yet.
    void setUnsettled(std::vector<FormerHolder> const&);

    void setWish(EngineWish const&);

    /// Who may route to the engine now.
    void setRouters(std::vector<Router>);

    /// A daemon closed the engine at the request of `round`.
    void acknowledgeClose(Router const&, std::uint64_t round, Time now);

    /// A read ended well.
    void observe(EngineState const&, Time now);

    /// A read failed.
    void observeUnreachable(Time now);

    /// A write ended. `orderId` is that of the action.
    void answerOrder(std::string const& orderId, OrderAnswer, Time now);

    /// Returns the next action, if one is due. `mayOrder` is the answer of `LeaseKeeper::mayOrder(now)`: a write is
    /// only given when it holds, and has to follow at once. `mayStartChange` says whether one more engine may
    /// change now. A load takes a token from `weights`.
    std::optional<EngineAction> poll(Time now, bool mayOrder, bool mayStartChange, TokenBucket& weights);

    /// Returns whether a write has no answer yet: until then the lease is neither released nor acknowledged.
    bool hasUnansweredOrder() const { return m_pending.has_value(); }

    /// Returns whether a change of this engine is under way: it counts against the changes at once.
    bool isChanging() const { return m_phase == OrderPhase::Closing || m_phase == OrderPhase::Ordering || m_phase == OrderPhase::Verifying; }

    OrderPhase phase() const { return m_phase; }
    std::optional<Block> const& block() const { return m_block; }

    /// Returns the last state that was read under this authority, if any.
    std::optional<EngineState> const& state() const { return m_state; }

    /// Returns whether an engine refused the number: a newer claim exists, whatever was read from the log.
    bool isRefused() const { return m_isRefused; }

private:
    /// A write that has no answer, or only an unknown one: it may still reach the engine.
    struct Pending {
        std::string orderId;
        std::string incarnation; ///< Of the engine when it was written, if that was known.
        bool isUnknown { false };
        bool hadUnknownTry { false }; ///< An earlier try of this order ended without an answer.
        Time unknownSince;
        std::optional<EngineState> firstRead; ///< The first of two equal reads since then.
    };

    void enter(OrderPhase);
    void refuse();
    void resolvePending(EngineState const&);
    void observeReading(EngineState const&);
    void observeVerifying(EngineState const&, Time now);
    void startChange(Time now, bool hasToken);
    void abandonChange();
    void putOff(Time now, BlockReason, std::vector<std::string> names);

    std::optional<EngineAction> pollRaising(Time now, bool mayOrder);
    std::optional<EngineAction> pollSettled(Time now, bool mayOrder, bool mayStartChange, TokenBucket& weights);
    std::optional<EngineAction> pollClosing(Time now, bool mayOrder, TokenBucket& weights);
    std::optional<EngineAction> pollOrdering(Time now, bool mayOrder, TokenBucket& weights);
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
    std::vector<std::string> m_unsettled; ///< Names of daemons.
    EngineWish m_wish;
    EngineWish m_ordered; ///< The wish of the change under way.
    std::uint64_t m_change { 0 }; ///< Number of the change under way.
    std::string m_orderedIncarnation; ///< The engine's when the order was last written.
    bool m_hasToken { false }; ///< The change under way needs no further token.
    DrainTracker m_drain;
    std::optional<EngineState> m_state;
    std::optional<EngineState> m_firstRead; ///< In Reading: the first of two equal reads.
    std::optional<Pending> m_pending;
    std::optional<Block> m_block;
    std::optional<Time> m_lastRead; ///< In this phase.
    std::optional<Time> m_lastWrite;
    std::optional<Time> m_lastClose;
    Time m_closingSince;
    std::optional<Time> m_notBefore; ///< No change before this time.
    bool m_isOpenDue { false };
};

}
