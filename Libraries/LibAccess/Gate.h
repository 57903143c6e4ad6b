#pragma once

#include <LibAccess/Organisations.h>
#include <LibCore/EnumNames.h>
#include <LibCore/Error.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace Access {

/// What is found of a request's key.
enum class Verdict : std::uint8_t {
    Allowed, ///< An organisation holds it.
    NotAsked, ///< The route is public, or there are no organisations.
    Missing, ///< There is none, or more than one.
    Unknown, ///< No organisation holds it.
    NotKnownYet, ///< This daemon's configuration is too old to say.
};

inline constexpr Core::EnumNames<Verdict, 5> verdictNames { {
    { Verdict::Allowed, "allowed" },
    { Verdict::NotAsked, "not-asked" },
    { Verdict::Missing, "missing" },
    { Verdict::Unknown, "unknown" },
    { Verdict::NotKnownYet, "not-known-yet" },
} };

/// How old a daemon's configuration may be for what it says of keys.
struct GateSettings {
    /// Whoever is refused for a key is refused by a configuration that is no older.
    std::chrono::milliseconds refuseWithin { 2'000 };
    /// Whether keys are accepted, too, only by a configuration that is no older than `acceptWithin`. It ends the use of a key that
    /// was taken away also at a daemon that is cut off from the store, which then serves nobody who needs a key.
    bool isStrict { false };
    std::chrono::milliseconds acceptWithin { 5'000 };

    bool operator==(GateSettings const&) const = default;
};

/// What a request shows, and by what it is judged.
struct Credentials {
    std::span<std::string_view const> keys; ///< As many as the request has fields for one.
    bool isPublicRoute { false };
    std::optional<std::chrono::milliseconds> configurationAge; ///< Nothing: it is not known.
};

/// What a request may do, and for whom.
struct Admittance {
    Verdict verdict { Verdict::Unknown };
    Organisation const* organisation { nullptr }; ///< Of verdict Allowed.
};

/// Judges a request by its key. `organisations` null: the configuration asks for no keys. A key that comes with a request for a
/// public route is not looked at. Thread-safe.
Admittance judge(Organisations const* organisations, Credentials const&, GateSettings const&);

/// Returns the error that a request with this verdict ends with. It says not run. Precondition: the verdict lets nothing pass.
/// Thread-safe.
Core::Error errorOf(Verdict);

}
