#pragma once

#include <LibRoles/SplitRule.h>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Roles {

/// An engine's answer when it is asked for its state ahead of an order.
enum class EngineReadiness : std::uint8_t {
    Ready,
    Changing, ///< It carries out an order of an earlier lease holder.
    Unavailable, ///< It did not answer, is another process, or shuts down.
};

inline constexpr Core::EnumNames<EngineReadiness, 3> engineReadinessNames { {
    { EngineReadiness::Ready, "ready" },
    { EngineReadiness::Changing, "changing" },
    { EngineReadiness::Unavailable, "unavailable" },
} };

/// The next thing to do for a change of roles.
enum class SplitAction : std::uint8_t {
    GainLease, ///< Orders may be sent only under the lease.
    ReadState, ///< Ask the engine for its state, then call `noteReadiness`.
    Order, ///< Send the order, then call `noteAnswer`. The engine counts as changing from now on.
};

inline constexpr Core::EnumNames<SplitAction, 3> splitActionNames { {
    { SplitAction::GainLease, "gain-lease" },
    { SplitAction::ReadState, "read-state" },
    { SplitAction::Order, "order" },
} };

struct SplitStep {
    SplitAction action { SplitAction::GainLease };
    RoleChange change; ///< Not of `GainLease`; of `ReadState` only the engine.
    std::uint64_t acceptedOrders { 0 }; ///< Of `Order`: as read from the engine with its state.
};

/// How an order ended.
enum class OrderAnswer : std::uint8_t {
    Accepted,
    Refused, ///< Or not sent.
    Unknown, ///< It may still be carried out.
};

inline constexpr Core::EnumNames<OrderAnswer, 3> orderAnswerNames { {
    { OrderAnswer::Accepted, "accepted" },
    { OrderAnswer::Refused, "refused" },
    { OrderAnswer::Unknown, "unknown" },
} };

struct SplitOrdersSettings {
    /// An engine's state is read again if it is older than this when its order is to be sent.
    std::chrono::milliseconds readinessLifetime { 1'000 };
    /// A read without a result for this long is repeated.
    std::chrono::milliseconds readTimeout { 3'000 };
    /// An engine that was unavailable, or has refused an order, is not considered again for this long.
    std::chrono::milliseconds unavailableTime { 2'500 };
    /// An accepted change takes seconds; the platform lists the new role with the engine's next heartbeat.
    std::chrono::milliseconds changeTimeout { 10'000 };
    /// An order whose reply was lost may still be carried out this much later.
    std::chrono::milliseconds uncertainTimeout { 14'000 };
};

/// Turns the changes that a `SplitRule` wants for the engines of one service into orders. A change is only wanted until the lease is
/// held and its engine has answered, and is decided anew each time: an engine counts as changing from its order on, never before.
/// Performs no I/O; not thread-safe.
class SplitOrders {
public:
    using Time = SplitRule::Time;

    explicit SplitOrders(SplitSettings const& split = {}, SplitOrdersSettings const& settings = {})
        : m_rule(split)
        , m_settings(settings)
    {
    }

    /// Ends the orders whose engine is listed in its new role, has gone or has had its time. Takes the engines as listed. Returns
    /// whether any has ended.
    bool settle(std::vector<EngineView> const& listed, Time now);

    /// Returns what to do now. `mayOrder`: this daemon holds the lease. Call `settle` first, with the same engines.
    std::vector<SplitStep> plan(std::vector<EngineView> listed, SplitDemand const&, bool mayOrder, Time now);

    /// Follows the fleet at a daemon that does not plan, so that it knows since when a side is short should it come to plan.
    void observe(std::vector<EngineView> listed, SplitDemand const&, Time now);

    /// Records that the lease was another daemon's before, whose orders may be under way: all engines are read before the next order.
    void noteTakeover() { m_isTakingOver = true; }

    /// Records the result of `ReadState`, with the number of orders that the engine has accepted.
    void noteReadiness(std::uint64_t key, EngineReadiness, std::uint64_t acceptedOrders, Time now);

    /// Records how an order ended.
    void noteAnswer(std::uint64_t key, OrderAnswer, Time now);

    /// Returns the roles that engines are changing to, by the engine's key.
    std::map<std::uint64_t, TargetRole> changing() const;

    /// Returns the role that an engine is changing to; nothing: it is not.
    std::optional<TargetRole> nextRole(std::uint64_t key) const;

    /// Whether states of engines are being read.
    bool isReading() const { return !m_reads.empty(); }

private:
    struct Order {
        TargetRole role { TargetRole::Mixed };
        Time until; ///< After this time it is given up.
    };
    struct Read {
        TargetRole nextRole { TargetRole::Mixed }; ///< If the engine is changing.
        Time startedAt;
    };
    struct State {
        std::uint64_t acceptedOrders { 0 };
        Time readAt;
    };

    void apply(std::vector<EngineView>&, Time now);
    std::vector<SplitStep> readStates(std::vector<EngineView> const& engines, Time now);

    SplitRule m_rule;
    SplitOrdersSettings m_settings;
    // All by the engine's key.
    std::map<std::uint64_t, Order> m_orders; ///< That were sent.
    std::map<std::uint64_t, Read> m_reads; ///< In progress.
    std::map<std::uint64_t, State> m_ready; ///< Engines that may be ordered.
    std::map<std::uint64_t, Time> m_unavailableUntil;
    bool m_isTakingOver { false };
};

}
