#pragma once

#include <LibCore/Result.h>
#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Request {

/// Monotonic time, always handed in.
using TimePoint = std::chrono::steady_clock::time_point;

/// The 128 random bits that tell one ticket of an incarnation from another.
using TicketNonce = std::array<std::uint8_t, 16>;

/// Hashes a nonce for tables; its bits are random already.
struct TicketNonceHash {
    std::size_t operator()(TicketNonce const&) const;
};

/// A claim check for one request that may not be repeated. It names the one daemon incarnation, its home,
/// that may ever run the request. See docs/design/requests.md.
struct Ticket {
    std::string home; ///< Name of the daemon, as in the VM list.
    std::uint64_t incarnation { 0 }; ///< Random number of that daemon's process.
    TimePoint issuedAt; ///< By the home's own monotonic clock; means nothing elsewhere.
    TicketNonce nonce {};

    bool operator==(Ticket const&) const = default;

    /// Reads a ticket's text without checking its signature: enough to find the home. Errors: BadInput,
    /// not run (no daemon runs a request under a text that is no ticket). Thread-safe.
    static Core::Result<Ticket> parse(std::string_view text);
};

/// Returns an incarnation as 16 hexadecimal digits. Thread-safe.
std::string formatIncarnation(std::uint64_t);

}
