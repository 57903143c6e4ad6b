#pragma once

#include <LibRequest/Ticket.h>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Request {

/// Issues and checks the tickets of one daemon incarnation. Immutable but for the random source: thread-safe
/// when `fillRandom` is.
class TicketIssuer {
public:
    struct Settings {
        std::string home; ///< This daemon's name, 1 to 255 bytes.
        std::uint64_t incarnation { 0 }; ///< Random, new in each process.
        std::vector<std::uint8_t> secret; ///< Random, new in each process, 32 bytes or more.
        std::function<void(std::span<std::uint8_t>)> fillRandom; ///< Fills nonces. Required.
    };

    /// Errors: BadInput for an empty or too long name, a short secret or no random source.
    static Core::Result<TicketIssuer> create(Settings);

    /// Returns the text (base64url) of a fresh ticket. Precondition: `now` is the clock that `OnceTable` is given.
    std::string issue(TimePoint now) const;

    /// Checks that this incarnation issued the ticket. Errors: BadInput and Unauthorized (not run: nothing can
    /// have run under a text that this home never issued), Unavailable (may have run: another daemon's or an
    /// earlier incarnation's ticket). The `OnceTable` checks expiry.
    Core::Result<Ticket> verify(std::string_view text) const;

private:
    explicit TicketIssuer(Settings);

    Settings m_settings;
};

}
