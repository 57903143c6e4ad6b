#pragma once

#include <LibAuthority/Holder.h>
#include <LibCore/Result.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Authority {

/// The lease of one pool, as the log has it. Whether it has lapsed is a matter of clocks, and not known here.
struct Lease {
    Holder holder;
    std::uint64_t fencing { 0 }; ///< Offset of the claim that won.
    std::uint64_t lastRecord { 0 }; ///< Offset of the last valid record of this lease: what a claim must name.
    std::uint64_t lastId { 0 }; ///< `id` of the last valid claim or renewal.
    bool isReleased { false };
    std::vector<FormerHolder> unsettled; ///< Former holders that may still order, in the order of their numbers.

    bool operator==(Lease const&) const = default;
};

/// Everything that a prefix of the lease stream decides.
struct LeaseState {
    std::uint64_t nextOffset { 0 };
    std::map<std::string, Lease> leases; ///< By pool.

    bool operator==(LeaseState const&) const = default;
};

/// Returns the canonical bytes of a state. Thread-safe.
std::string encode(LeaseState const&);

/// Reads a state back. Errors (Corrupt): not such bytes, entries out of order. Thread-safe.
Core::Result<LeaseState> decodeLeaseState(std::string_view);

}
