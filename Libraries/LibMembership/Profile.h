#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Membership {

/// What identifies a daemon and where it is. It does not change while its VM lives.
struct Profile {
    std::string name;
    std::string address; ///< Where other daemons connect, IP:port.
    std::string callerAddress; ///< Where callers connect, IP:port.
    std::string availabilityZone;
    std::string region;

    bool operator==(Profile const&) const = default;
};

/// Returns the number that stands for a daemon's name in messages. Thread-safe.
std::uint64_t memberIdOf(std::string_view name);

/// Returns the number that stands for an availability zone's name in messages. Thread-safe.
std::uint32_t zoneIdOf(std::string_view availabilityZone);

}
