#pragma once

#include <LibAccess/Organisations.h>
#include <LibCore/Result.h>
#include <LibState/Config.h>
#include <LibState/EngineOffer.h>
#include <LibState/EntryRoutes.h>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace State {

/// What the operators declare of the engines of a service.
struct EngineTerms {
    std::uint32_t slots { 0 }; ///< Requests that an engine runs at once.
    std::uint64_t kvCapacityTokens { 0 };
    std::chrono::milliseconds roleChange { 0 }; ///< Out of service for a change of role.
    std::chrono::milliseconds kvHold { 0 }; ///< How long a prefilled prompt is kept for its decoding target.
    std::uint32_t tokensPerEvent { 0 }; ///< Of a stream; 0: not declared.

    bool operator==(EngineTerms const&) const = default;
};

/// A service that routes name.
struct ServiceTerms {
    std::string name;
    std::optional<EngineTerms> engine; ///< Absent: a plain service.
    std::optional<EngineOffer> offer {}; ///< Absent: its engines are not this system's to order.

    bool operator==(ServiceTerms const&) const = default;
};

/// What callers may send, and how long they may take.
struct CallerLimits {
    std::size_t headBytes { 16 * 1024 };
    std::size_t bodyBytes { 4 * 1024 * 1024 };
    std::chrono::milliseconds headTimeout { 3'000 };
    std::chrono::milliseconds idleTimeout { 15'000 };

    bool operator==(CallerLimits const&) const = default;
};

/// One version of an operators' configuration that comes whole: entry routes, services and limits.
struct ServiceConfig {
    std::uint64_t version { 0 };
    EntryRoutes routes;
    std::vector<ServiceTerms> services;
    CallerLimits limits;
    std::shared_ptr<Access::Organisations const> organisations; ///< Null: requests need no keys.

    /// Returns the service, or null.
    ServiceTerms const* find(std::string_view service) const;
};

/// The label that names a request's entry route, and the one that names the service that it goes to.
inline constexpr std::string_view routeLabel = "route";
inline constexpr std::string_view serviceLabel = "service";

/// Expresses a whole configuration in the product's objects: for each entry route a request rule (priority, whether
/// requests are repeatable) and a route to the targets of its services, and for each service with engines a group
/// that may take the roles prefill and decode. `revision` is that of all objects.
/// Errors (BadInput): a name that is no label value. Thread-safe.
Core::Result<std::shared_ptr<Config const>> toLabelConfig(ServiceConfig const&, std::uint64_t revision);

}
