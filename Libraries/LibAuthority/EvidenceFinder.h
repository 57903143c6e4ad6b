#pragma once

#include <LibAuthority/Holder.h>
#include <LibAuthority/LeaseRecord.h>
#include <LibAuthority/Time.h>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Authority {

/// A former holder with the evidence that it can't order any more.
struct Finding {
    std::uint64_t formerFencing { 0 };
    Evidence evidence { Evidence::Replaced };

    bool operator==(Finding const&) const = default;
};

/// Looks for evidence about the former holders of one lease, from what peers answer and what the platform lists.
/// Pure and not thread-safe.
class EvidenceFinder {
public:
    /// `listLag`: how far the platform's list of VMs may be behind.
    explicit EvidenceFinder(Duration listLag);

    /// Takes the unsettled former holders of the lease, as read from the log at `now`.
    void observeUnsettled(std::vector<FormerHolder> const&, Time now);

    /// A process answered at `address` on a connection that was opened at `openedAt`.
    void observeAnswer(std::string const& address, std::string const& incarnation, Time openedAt);

    /// The platform listed exactly these VMs, by name, in a read that began at `readAt`.
    void observeList(std::set<std::string> const& names, Time readAt);

    /// Returns what was found, by ascending number. The holder appends a `Settlement` for each.
    std::vector<Finding> findings() const;

private:
    struct Former {
        Holder holder;
        Time seenAt; ///< When it was first read that this process had claimed the lease.
        bool isReplaced { false };
        std::optional<Time> missingSince; ///< From the list, without a break.
        Time missingUntil; ///< The last read of the list that lacked it.
    };

    Duration m_listLag;
    std::map<std::uint64_t, Former> m_formers;
};

}
