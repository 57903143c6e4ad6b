#pragma once

#include <LibFleet/DaemonBook.h>
#include <optional>
#include <string>

namespace Fleet {

/// Tells how long a daemon that has just started waits for its peers before it reads the store itself. One stream from a peer costs
/// the platform less than several calls, and is answered while the store is away; but where all daemons start together nobody has
/// anything to tell, and those that read for the others begin at once.
/// Does no I/O and is not thread-safe.
class FirstMeeting {
public:
    /// `self` is the daemon's own name.
    FirstMeeting(std::string self, Time startedAt)
        : m_self(std::move(self))
        , m_startedAt(startedAt)
    {
    }

    /// Records that the store's list of daemons was read and booked. `hasSelf`: an entry under this daemon's name is on it, from this
    /// start or an earlier one; without it others that start at the same moment may not be on the list either.
    void noteList(bool hasSelf, Time now);

    /// Whether this daemon may read the store. `hasNews`: a peer is heard that can tell.
    bool isOver(DaemonBook const&, bool hasNews, Time now) const;

private:
    std::string m_self;
    Time m_startedAt;
    std::optional<Time> m_listedAt; ///< When the others were known.
};

}
