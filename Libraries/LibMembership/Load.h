#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace Membership {

/// What a daemon reports of its own load. Soft: it arrives late, or not at all.
struct Load {
    std::uint32_t running { 0 }; ///< Requests that are at a target.
    std::uint32_t queued { 0 };
    std::uint32_t promptTokensPerSecond { 0 };
    std::uint32_t outputTokensPerSecond { 0 };

    bool operator==(Load const&) const = default;
    Load& operator+=(Load const&);
};

/// One daemon's load, as it is passed on within its availability zone.
struct MemberLoad {
    std::uint64_t id { 0 };
    std::uint64_t sequence { 0 }; ///< Of the daemon's own reports; grows across its restarts as well.
    std::chrono::milliseconds age { 0 };
    Load load;

    bool operator==(MemberLoad const&) const = default;
};

/// The sum over an availability zone, as it is passed on everywhere.
struct ZoneLoad {
    std::uint32_t zone { 0 };
    std::uint64_t source { 0 }; ///< The member that added up.
    std::uint64_t sequence { 0 }; ///< Of that member's reports.
    std::chrono::milliseconds age { 0 };
    std::uint32_t members { 0 };
    Load load;

    bool operator==(ZoneLoad const&) const = default;
};

}
