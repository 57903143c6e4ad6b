#pragma once

#include <LibMembership/Record.h>
#include <chrono>

namespace Membership {

/// What this daemon knows of another.
struct Member {
    Record record; ///< Its `profile` is empty; see below.
    Profile profile; ///< The name is empty while only the id is known.
    std::uint32_t zoneId { 0 };
    bool isListed { false }; ///< It stands in the VM list last read.
    bool isListedLeaving { false }; ///< The VM list says that its VM is leaving.
    std::chrono::steady_clock::time_point changed; ///< When its status changed here.

    bool hasProfile() const { return !profile.name.empty(); }
    /// Returns whether it takes part: alive, or suspected and not yet given up.
    bool isPresent() const { return record.status == Status::Alive || record.status == Status::Suspect; }
    /// Returns whether it should get new work: not suspected, and not leaving by its own word or the list's.
    bool takesWork() const { return record.status == Status::Alive && !record.isLeaving && !isListedLeaving; }
};

/// A line of the VM list that concerns a daemon.
struct ListedVm {
    Profile profile;
    bool isLeaving { false };
};

/// A change of a member's status, incarnation or wish to leave, for the log and for those who wait for it.
struct Change {
    std::uint64_t id { 0 };
    std::string name; ///< Empty while only the id is known.
    std::uint64_t incarnation { 0 }; ///< The present one; a new one means that the former process is gone.
    Status from { Status::Unheard };
    Status to { Status::Unheard };
    bool isLeaving { false };
};

}
