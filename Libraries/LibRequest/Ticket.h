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

/// Monotonic time, always passed in by the caller.
using TimePoint = std::chrono::steady_clock::time_point;

/// 128 random bits that identify a ticket within an incarnation.
using TicketNonce = std::array<std::uint8_t, 16>;

/// Hashes a nonce for tables; its bits are random already.
struct TicketNonceHash {
    std::size_t operator()(TicketNonce const&) const;
};

/// A signed token for one non-repeatable request. It names its home, the only daemon incarnation that may run the
/// request. See docs/design/requests.md.
struct Ticket {
    std::string home; ///< Name of the daemon, as in the VM list.
    std::uint64_t incarnation { 0 }; ///< Random number of that daemon's process.
    TimePoint issuedAt; ///< By the home's own monotonic clock; meaningless elsewhere.
    TicketNonce nonce {};

    bool operator==(Ticket const&) const = default;

    /// Parses a ticket's text without checking its signature, which is enough to find the home. Errors: BadInput,
    /// not run (no daemon runs a request under a text that is no ticket). Thread-safe.
    static Core::Result<Ticket> parse(std::string_view text);
};

/// Returns an incarnation as 16 hexadecimal digits. Thread-safe.
std::string formatIncarnation(std::uint64_t);

}
