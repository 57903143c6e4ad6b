#pragma once

#include <LibMembership/Profile.h>
#include <LibMembership/Status.h>
#include <optional>

namespace Membership {

/// A claim about one daemon, as it is passed on.
struct Record {
    std::uint64_t id { 0 };
    std::uint64_t incarnation { 0 }; ///< Greater in each process of the same name.
    std::uint32_t version { 0 }; ///< Raised by the daemon itself, to refute or to tell that it leaves.
    Status status { Status::Alive };
    bool isLeaving { false };
    std::optional<Profile> profile;

    bool operator==(Record const&) const = default;
};

/// Returns whether `first` is newer than `second`, or says worse of the same incarnation and version. Thread-safe.
bool supersedes(Record const& first, Record const& second);

}
