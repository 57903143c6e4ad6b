#pragma once

#include <LibAuthority/Holder.h>
#include <LibCore/EnumNames.h>
#include <LibCore/Result.h>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Authority {

/// Claims the lease of a pool. If it is accepted, its offset becomes the fencing token of the lease.
struct Claim {
    std::string pool;
    Holder holder;
    std::optional<std::uint64_t> previous; ///< Last record of this lease that the writer had read; void if there is a later one.
    std::uint64_t id { 0 }; ///< Identifies the append when the writer reads it back.

    bool operator==(Claim const&) const = default;
};

/// One lease in a renewal.
struct RenewedLease {
    std::string pool;
    std::uint64_t fencing { 0 };
    std::uint64_t id { 0 }; ///< As in `Claim`.

    bool operator==(RenewedLease const&) const = default;
};

/// Extends leases of one holder; void for each lease that has another fencing token by now.
struct Renewal {
    std::vector<RenewedLease> leases;

    bool operator==(Renewal const&) const = default;
};

/// The holder releases its lease: it has no unanswered order and never sends another with this fencing token.
struct Release {
    std::string pool;
    std::uint64_t fencing { 0 };

    bool operator==(Release const&) const = default;
};

/// A former holder that has read the newer claim confirms the same for its own fencing token as a release does.
struct Acknowledgement {
    std::string pool;
    std::uint64_t fencing { 0 };

    bool operator==(Acknowledgement const&) const = default;
};

/// Why a former holder can't send orders any more. Elapsed time is no evidence, as a paused process doesn't notice it.
enum class Evidence : std::uint8_t {
    Replaced, ///< Another incarnation responded at its address, which is bound exclusively.
    Gone, ///< Its VM has been missing from the platform's list for longer than the list's lag.
};

inline constexpr Core::EnumNames<Evidence, 2> evidenceNames { {
    { Evidence::Replaced, "replaced" },
    { Evidence::Gone, "gone" },
} };

/// Records the holder's evidence about a former holder, so that its successors need not find it again.
struct Settlement {
    std::string pool;
    std::uint64_t fencing { 0 }; ///< The writer's fencing token; the settlement is void if the lease has another by now.
    std::uint64_t formerFencing { 0 };
    Evidence evidence { Evidence::Replaced };

    bool operator==(Settlement const&) const = default;
};

/// A record of the lease stream.
using LeaseRecord = std::variant<Claim, Renewal, Release, Acknowledgement, Settlement>;

/// Encodes a record. Thread-safe.
std::string encode(LeaseRecord const&);

/// Decodes a record. Errors (Corrupt): not a lease record, invalid pool name, newer format. Thread-safe.
Core::Result<LeaseRecord> decodeLeaseRecord(std::string_view bytes);

}
