#pragma once

#include <LibMembership/Record.h>
#include <chrono>

namespace Membership {

/// What this daemon knows about another one.
struct Member {
    Record record; ///< `record.profile` is always empty; the profile is stored below.
    Profile profile; ///< The name is empty while only the ID is known.
    std::uint32_t zoneId { 0 };
    bool isListed { false }; ///< Whether the last VM list contains it.
    bool isListedLeaving { false }; ///< Whether the VM list marks its VM as leaving.
    std::chrono::steady_clock::time_point changed; ///< When this daemon last changed its record or saw it leave the VM list.

    bool hasProfile() const { return !profile.name.empty(); }
    /// Returns whether it is part of the group: alive, or suspected but not yet declared dead.
    bool isPresent() const { return record.status == Status::Alive || record.status == Status::Suspect; }
    /// Returns whether it should get new work: alive, not suspected, and not leaving according to itself or the VM list.
    bool acceptsWork() const { return record.status == Status::Alive && !record.isLeaving && !isListedLeaving; }
};

/// A VM list entry for a daemon.
struct ListedVm {
    Profile profile;
    bool isLeaving { false };
};

/// A change of a member's status, incarnation or leaving flag, for the log and other observers.
struct Change {
    std::uint64_t id { 0 };
    std::string name; ///< Empty while only the ID is known.
    std::uint64_t incarnation { 0 }; ///< The current one. A new one means that the previous process has ended.
    Status from { Status::Unheard };
    Status to { Status::Unheard };
    bool isLeaving { false };
};

}
