#pragma once

#include <LibMembership/Member.h>
#include <LibMembership/Message.h>
#include <array>
#include <unordered_map>

namespace Membership {

/// What became of a claim.
enum class Applied : std::uint8_t {
    Nothing, ///< It is no news.
    Changed, ///< What is believed has changed.
    Doubted, ///< It says that a member is dead which is alive here: to be verified, not believed.
};

inline constexpr Core::EnumNames<Applied, 3> appliedNames { {
    { Applied::Nothing, "nothing" },
    { Applied::Changed, "changed" },
    { Applied::Doubted, "doubted" },
} };

/// All that is known of the other daemons, and the rules by which claims are merged. Pure; not thread-safe.
class MemberTable {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    MemberTable(std::uint64_t ownId, std::size_t maxMembers);

    /// Merges a claim about another member. That one which is alive here is dead is only believed after it was
    /// suspected: else two sides of a healed partition would bury each other's members.
    Applied apply(Record const&, TimePoint now);
    /// Sets the status of a member by this daemon's own evidence.
    void setStatus(std::uint64_t id, Status, TimePoint now);
    /// Takes a whole VM list, this daemon's own line included or not.
    void applyList(std::vector<ListedVm> const&, TimePoint now);
    /// Forgets the dead and the left that are in no list and changed before `limit`.
    void forget(TimePoint limit);

    Member const* find(std::uint64_t id) const;
    std::unordered_map<std::uint64_t, Member> const& members() const { return m_members; }
    /// Returns the record to pass on, with the profile when `withProfile` and it is known.
    Record recordOf(std::uint64_t id, bool withProfile) const;
    /// Returns the ids of those heard of that fall into the buckets, one bucket after the other.
    std::vector<std::uint64_t> membersOf(std::vector<std::uint32_t> const& buckets) const;
    /// Returns the digests of the buckets over all present members and this daemon's own record.
    std::array<std::uint32_t, bucketCount> buckets(Record const& self) const;
    std::size_t suspects() const { return m_suspects; }
    /// Changes whenever a member comes, goes, or changes its status, profile or list entry.
    std::uint64_t generation() const { return m_generation; }
    /// Returns and clears the changes of status since the last call.
    std::vector<Change> takeChanges();

private:
    void toggle(Record const&);
    void change(Member&, Record const&, TimePoint now);

    std::uint64_t m_ownId;
    std::size_t m_maxMembers;
    std::unordered_map<std::uint64_t, Member> m_members;
    std::array<std::uint32_t, bucketCount> m_buckets {}; ///< Digests over all present members.
    std::size_t m_suspects { 0 };
    std::uint64_t m_generation { 1 };
    std::vector<Change> m_changes;
};

/// Returns the bucket of an id. Thread-safe.
inline std::uint32_t bucketOf(std::uint64_t id)
{
    return static_cast<std::uint32_t>(id % bucketCount);
}

}
