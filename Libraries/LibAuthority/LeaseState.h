#pragma once

#include <LibAuthority/Holder.h>
#include <LibCore/Result.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Authority {

/// The lease of one pool according to the log. Whether it has expired depends on clocks and is not known here.
struct Lease {
    Holder holder;
    std::uint64_t fencing { 0 }; ///< Offset of the accepted claim.
    std::uint64_t lastRecord { 0 }; ///< Offset of the last valid record of this lease; a claim must name it in `previous`.
    std::uint64_t lastId { 0 }; ///< `id` of the last valid claim or renewal.
    bool isReleased { false };
    std::vector<FormerHolder> unsettled; ///< Former holders that may still send orders, by ascending fencing token.

    bool operator==(Lease const&) const = default;
};

/// The state that a prefix of the lease stream determines.
struct LeaseState {
    std::uint64_t nextOffset { 0 };
    std::map<std::string, Lease> leases; ///< By pool.

    bool operator==(LeaseState const&) const = default;
};

/// Returns the canonical encoding of a state. Thread-safe.
std::string encode(LeaseState const&);

/// Decodes a state. Errors (Corrupt): not an encoded state, entries out of order. Thread-safe.
Core::Result<LeaseState> decodeLeaseState(std::string_view);

}
