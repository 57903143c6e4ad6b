#pragma once

#include <LibDuties/Usage.h>
#include <compare>
#include <optional>

namespace Duties {

/// One process of a daemon.
struct Speaker {
    std::string daemon;
    std::uint64_t incarnation { 0 };

    auto operator<=>(Speaker const&) const = default;
};

/// What daemons have said of the requests that began to run through them. A process that is gone has what it said last: counts of
/// a window only grow, so the newest statement of each process is its share. Pure and not thread-safe.
class UsageBook {
public:
    /// Takes a statement in place of the speaker's former one. An older one changes no count to a smaller one.
    void hear(Speaker const&, UsageStatement const&);

    /// Returns the sum of what all processes have said of a window.
    OrganisationCounts total(WindowNumber) const;

    /// Whether a process has said that it counts nothing more in a window.
    bool hasClosed(Speaker const&, WindowNumber) const;

    /// Returns the first window that anybody counted something in; nothing: there is none.
    std::optional<WindowNumber> first() const;

    /// Forgets windows before `window`, and processes that have nothing else.
    void forget(WindowNumber window);

private:
    struct Share {
        std::map<WindowNumber, OrganisationCounts> windows;
        WindowNumber closedBefore { 0 };
    };

    std::map<Speaker, Share> m_shares;
};

}
