#pragma once

#include <compare>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace Request {

/// 128-bit hash of a request's method, target and body.
struct Fingerprint {
    std::uint64_t low { 0 };
    std::uint64_t high { 0 };

    auto operator<=>(Fingerprint const&) const = default;
};

/// Hashes parts of a request (XXH3, 128 bits); each part's length is hashed too. Thread-safe.
Fingerprint fingerprintOf(std::initializer_list<std::string_view> parts);

/// Hashes a request (XXH3, 128 bits); each part's length is hashed too. Thread-safe.
Fingerprint fingerprintOf(std::string_view method, std::string_view path, std::string_view body);

/// Returns 32 hexadecimal digits. Thread-safe.
std::string toString(Fingerprint const&);

/// Parses the output of `toString`; returns nothing for any other text. Thread-safe.
std::optional<Fingerprint> fingerprintFrom(std::string_view text);

}
