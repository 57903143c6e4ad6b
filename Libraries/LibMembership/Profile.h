#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Membership {

/// The identity and location of a daemon. Constant for the lifetime of its VM.
struct Profile {
    std::string name;
    std::string address; ///< IP:port for connections from other daemons.
    std::string callerAddress; ///< IP:port for connections from callers.
    std::string availabilityZone;
    std::string region;

    bool operator==(Profile const&) const = default;
};

/// Returns the ID of a daemon in messages, a hash of its name. Thread-safe.
std::uint64_t memberIdOf(std::string_view name);

/// Returns the ID of an availability zone in messages, a hash of its name. Thread-safe.
std::uint32_t zoneIdOf(std::string_view availabilityZone);

}
