#pragma once

#include <cstdint>
#include <string_view>

namespace Request {

/// 128 bits that stand for one request's method, target and body.
struct Fingerprint {
    std::uint64_t low { 0 };
    std::uint64_t high { 0 };

    bool operator==(Fingerprint const&) const = default;
};

/// Hashes a request (XXH3, 128 bits); each part's length is hashed too. Thread-safe.
Fingerprint fingerprintOf(std::string_view method, std::string_view path, std::string_view body);

}
