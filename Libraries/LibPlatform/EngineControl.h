#pragma once

#include <LibCore/Result.h>
#include <LibHttp/Client.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Platform {

/// Whether an engine takes work.
enum class EnginePhase : std::uint8_t { Serving,
    Draining,
    Changing };

inline constexpr Core::EnumNames<EnginePhase, 3> enginePhaseNames { {
    { EnginePhase::Serving, "serving" },
    { EnginePhase::Draining, "draining" },
    { EnginePhase::Changing, "changing" },
} };

/// What an engine says of itself. The load lags by `asOfAge`.
struct EngineState {
    std::string incarnation;
    bool checksFencing { false };
    std::uint64_t fencing { 0 };
    std::string role;
    EnginePhase phase { EnginePhase::Serving };
    std::string model;
    std::string adapter;
    std::string version;
    std::uint32_t running { 0 };
    std::uint32_t waiting { 0 };
    std::uint32_t waitingPromptTokens { 0 };
    std::uint32_t kvUsedTokens { 0 };
    std::uint32_t kvCapacityTokens { 0 };
    std::chrono::milliseconds asOfAge { 0 };
    std::uint64_t acceptedOrders { 0 }; ///< Since its start; 0 where engines do not count them.
    std::uint64_t bornAtMs { 0 }; ///< When it started, Unix milliseconds; 0: not told.
};

/// What an engine is to become. Absent fields stay as they are.
struct EngineOrder {
    std::string id;
    std::uint64_t fencing { 0 };
    std::optional<std::string> role;
    std::optional<std::string> model;
    std::optional<std::string> adapter;
    std::optional<std::string> version;
    std::string holder; ///< Name of the daemon that orders.
    std::string incarnation; ///< Of the engine that is meant; empty: whichever is there.
    std::optional<std::uint64_t> expectedAccepted; ///< Only valid while it has accepted so many orders.
};

/// How an engine answered an order.
struct OrderReply {
    bool isAccepted { false };
    std::uint64_t newerFencing { 0 }; ///< When refused: the number that the engine has seen.
    bool isOutdated { false }; ///< When refused: another holder has ordered since this order was decided.
    bool isLeaving { false }; ///< The engine has said with its answer that it will end.
};

/// What an engine says became of a request that was to be canceled.
enum class CancelState : std::uint8_t { Canceled,
    Finished,
    NeverSeen };

/// The control side of model engines. Use from its client's thread.
class EngineControl {
public:
    virtual ~EngineControl() = default;

    /// Reads an engine's state. Errors: Unavailable, Timeout, BadInput.
    virtual boost::asio::awaitable<Core::Result<EngineState>> state(boost::asio::ip::tcp::endpoint) = 0;

    /// Sends an order over a connection of its own, unless `mayWrite` denies it once the connection stands.
    /// Errors with verdict MayHaveRun: the order may have taken effect; read the state.
    virtual boost::asio::awaitable<Core::Result<OrderReply>> order(boost::asio::ip::tcp::endpoint, EngineOrder, std::function<bool()> mayWrite) = 0;

    /// Cancels a request. Errors: what became of it is unknown.
    virtual boost::asio::awaitable<Core::Result<CancelState>> cancel(boost::asio::ip::tcp::endpoint, std::string requestId) = 0;
};

/// Creates the adapter that speaks docs/design/platform-protocols.md over HTTP.
/// Precondition: the client outlives it.
std::unique_ptr<EngineControl> createHttpEngineControl(Http::Client&);

}
