#pragma once

#include <LibMembership/Member.h>
#include <LibMembership/Message.h>
#include <array>
#include <unordered_map>

namespace Membership {

/// The result of merging a claim into the table.
enum class MergeResult : std::uint8_t {
    Nothing, ///< The claim is not newer than the stored record.
    Changed, ///< The stored record has changed.
    Doubted, ///< The claim says that a member is dead that is alive here. It must be verified first.
};

inline constexpr Core::EnumNames<MergeResult, 3> mergeResultNames { {
    { MergeResult::Nothing, "nothing" },
    { MergeResult::Changed, "changed" },
    { MergeResult::Doubted, "doubted" },
} };

/// Stores the state of all other daemons and merges claims about them. Performs no I/O and reads no clock.
/// Not thread-safe.
class MemberTable {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    MemberTable(std::uint64_t ownId, std::size_t maxMembers);

    /// Merges a claim about another member. A claim that a member is dead is accepted only if the member is already
    /// suspected here. Otherwise both sides of a healed partition would declare each other's members dead.
    MergeResult apply(Record const&, TimePoint now);
    /// Sets the status of a member from this daemon's own observation.
    void setStatus(std::uint64_t id, Status, TimePoint now);
    /// Applies a complete VM list. The entry of this daemon is ignored.
    void applyVmList(std::vector<ListedVm> const&, TimePoint now);
    /// Removes members that are not present, not in the VM list and unchanged since `limit`.
    void forgetBefore(TimePoint limit);

    Member const* find(std::uint64_t id) const;
    std::unordered_map<std::uint64_t, Member> const& members() const { return m_members; }
    /// Returns the record to send, including the profile if `withProfile` is set and the profile is known.
    Record recordOf(std::uint64_t id, bool withProfile) const;
    /// Returns the IDs of the members in the buckets, bucket by bucket, without those in status Unheard.
    std::vector<std::uint64_t> membersOf(std::vector<std::uint32_t> const& buckets) const;
    /// Returns the digest of each bucket over all present members and this daemon's own record.
    std::array<std::uint32_t, bucketCount> buckets(Record const& self) const;
    std::size_t suspects() const { return m_suspects; }
    /// Changes whenever a member is added, removed, or changes its record, profile or VM list entry.
    std::uint64_t generation() const { return m_generation; }
    /// Returns and clears the changes since the last call.
    std::vector<Change> takeChanges();

private:
    void toggleInDigest(Record const&);
    void change(Member&, Record const&, TimePoint now);

    std::uint64_t m_ownId;
    std::size_t m_maxMembers;
    std::unordered_map<std::uint64_t, Member> m_members;
    std::array<std::uint32_t, bucketCount> m_buckets {}; ///< Digest of each bucket over all present members.
    std::size_t m_suspects { 0 };
    std::uint64_t m_generation { 1 };
    std::vector<Change> m_changes;
};

/// Returns the digest bucket of an ID. Thread-safe.
inline std::uint32_t bucketOf(std::uint64_t id)
{
    return static_cast<std::uint32_t>(id % bucketCount);
}

}
