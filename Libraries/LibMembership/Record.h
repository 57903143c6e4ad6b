#pragma once

#include <LibMembership/Profile.h>
#include <LibMembership/Status.h>
#include <optional>

namespace Membership {

/// A claim about one daemon, as sent in messages.
struct Record {
    std::uint64_t id { 0 };
    std::uint64_t incarnation { 0 }; ///< Increases with each process of the same name.
    std::uint32_t version { 0 }; ///< Incremented only by the daemon itself, to refute a claim or to announce that it leaves.
    Status status { Status::Alive };
    bool isLeaving { false };
    std::optional<Profile> profile;

    bool operator==(Record const&) const = default;
};

/// Returns whether `first` is newer than `second`, or has a later status at the same incarnation and version.
/// Thread-safe.
bool supersedes(Record const& first, Record const& second);

}
