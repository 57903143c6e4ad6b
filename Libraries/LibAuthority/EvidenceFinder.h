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

/// The evidence that a former holder can't send orders any more.
struct Finding {
    std::uint64_t formerFencing { 0 };
    Evidence evidence { Evidence::Replaced };

    bool operator==(Finding const&) const = default;
};

/// Detects that former holders of one lease can't send orders any more, from the responses of peers and the platform's
/// list of VMs. Does no I/O and is not thread-safe.
class EvidenceFinder {
public:
    /// `listLag`: the maximum staleness of the platform's list of VMs.
    explicit EvidenceFinder(Duration listLag);

    /// Sets the unsettled former holders of the lease, as read from the log at `now`.
    void observeUnsettled(std::vector<FormerHolder> const&, Time now);

    /// Handles a response of the process at `address` on a connection that was opened at `openedAt`.
    void observeAnswer(std::string const& address, std::string const& incarnation, Time openedAt);

    /// Handles the platform's complete list of VM names from a read that started at `readAt`.
    void observeList(std::set<std::string> const& names, Time readAt);

    /// Returns the findings by ascending fencing token. The holder appends a `Settlement` for each.
    std::vector<Finding> findings() const;

private:
    struct Former {
        Holder holder;
        Time seenAt; ///< When this process was first seen as a former holder in the log.
        bool isReplaced { false };
        std::optional<Time> missingSince; ///< The first of the consecutive lists without the VM.
        Time missingUntil; ///< The last of those lists.
    };

    Duration m_listLag;
    std::map<std::uint64_t, Former> m_formerHolders;
};

}
