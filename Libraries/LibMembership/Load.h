#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace Membership {

/// The load that a daemon reports for itself. Soft state: reports may be late or lost.
struct Load {
    std::uint32_t running { 0 }; ///< Requests sent to a target and not finished.
    std::uint32_t queued { 0 };
    std::uint32_t promptTokensPerSecond { 0 };
    std::uint32_t outputTokensPerSecond { 0 };

    bool operator==(Load const&) const = default;
    Load& operator+=(Load const&);
};

/// One daemon's load, gossiped within its availability zone.
struct MemberLoad {
    std::uint64_t id { 0 };
    std::uint64_t sequence { 0 }; ///< Increases with each report of the daemon, also across restarts.
    std::chrono::milliseconds age { 0 };
    Load load;

    bool operator==(MemberLoad const&) const = default;
};

/// The total load of an availability zone, gossiped to all members.
struct ZoneLoad {
    std::uint32_t zone { 0 };
    std::uint64_t source { 0 }; ///< The member that computed the sum.
    std::uint64_t sequence { 0 }; ///< Increases with each sum of that member.
    std::chrono::milliseconds age { 0 };
    std::uint32_t members { 0 };
    Load load;

    bool operator==(ZoneLoad const&) const = default;
};

}
