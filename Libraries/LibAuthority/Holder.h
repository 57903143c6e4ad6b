#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Authority {

/// A process that holds, or held, a lease.
struct Holder {
    std::string daemon; ///< Name of its VM.
    std::string address; ///< IP:PORT that the process has bound; no other process can have it at the same time.
    std::string incarnation; ///< Chosen at random by the process when it started.

    bool operator==(Holder const&) const = default;
    auto operator<=>(Holder const&) const = default;
};

/// A former holder of which there is no evidence yet that it can't order any more.
struct FormerHolder {
    Holder holder;
    std::uint64_t fencing { 0 }; ///< The number that it ordered under.

    bool operator==(FormerHolder const&) const = default;
};

}
