#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Authority {

/// A process that holds, or held, a lease.
struct Holder {
    std::string daemon; ///< Name of its VM.
    std::string address; ///< IP:PORT that the process has bound exclusively; no other process can have it at the same time.
    std::string incarnation; ///< Random identifier that the process chose at startup.

    bool operator==(Holder const&) const = default;
    auto operator<=>(Holder const&) const = default;
};

/// A former holder without evidence yet that it can't send orders any more.
struct FormerHolder {
    Holder holder;
    std::uint64_t fencing { 0 }; ///< The fencing token of its claim.

    bool operator==(FormerHolder const&) const = default;
};

}
