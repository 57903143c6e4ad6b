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

/// Takes the lease of a pool. Accepted at offset n, it makes n the lease's fencing number.
struct Claim {
    std::string pool;
    Holder holder;
    std::optional<std::uint64_t> previous; ///< The last record of this lease that the writer had read; void if there is a later one.
    std::uint64_t id { 0 }; ///< Tells the writer which of its appends was read back.

    bool operator==(Claim const&) const = default;
};

/// One lease of a renewal.
struct RenewedLease {
    std::string pool;
    std::uint64_t fencing { 0 };
    std::uint64_t id { 0 }; ///< As in `Claim`.

    bool operator==(RenewedLease const&) const = default;
};

/// Prolongs leases of one holder; void for each whose fencing number is another by now.
struct Renewal {
    std::vector<RenewedLease> leases;

    bool operator==(Renewal const&) const = default;
};

/// The holder gives its lease up: it has no unanswered order and will never send one under this number.
struct Release {
    std::string pool;
    std::uint64_t fencing { 0 };

    bool operator==(Release const&) const = default;
};

/// A former holder says of its own number what a release says: it has read the newer claim.
struct Acknowledgement {
    std::string pool;
    std::uint64_t fencing { 0 };

    bool operator==(Acknowledgement const&) const = default;
};

/// Why a former holder can't order any more. A clock is never a reason: a paused process has none.
enum class Evidence : std::uint8_t {
    Replaced, ///< Another incarnation answered at its address, which is bound exclusively.
    Gone, ///< Its VM has been missing from the platform's list for longer than the list's lag.
};

inline constexpr Core::EnumNames<Evidence, 2> evidenceNames { {
    { Evidence::Replaced, "replaced" },
    { Evidence::Gone, "gone" },
} };

/// The holder says that it saw evidence about a former one, so that its successors need not see it again.
struct Settlement {
    std::string pool;
    std::uint64_t fencing { 0 }; ///< The writer's number; void if it is no longer the lease's.
    std::uint64_t formerFencing { 0 };
    Evidence evidence { Evidence::Replaced };

    bool operator==(Settlement const&) const = default;
};

/// A record of the lease stream.
using LeaseRecord = std::variant<Claim, Renewal, Release, Acknowledgement, Settlement>;

/// Returns the record's bytes. Thread-safe.
std::string encode(LeaseRecord const&);

/// Reads a record. Errors (Corrupt): not such a record, a bad pool name, a newer format. Thread-safe.
Core::Result<LeaseRecord> decodeLeaseRecord(std::string_view bytes);

}
