#include <LibMembership/MemberTable.h>
#include <unordered_set>

namespace Membership {

namespace {

bool isSameVersion(Record const& first, Record const& second)
{
    return first.incarnation == second.incarnation && first.version == second.version;
}

void setProfile(Member& member, Profile const& profile)
{
    member.profile = profile;
    member.zoneId = zoneIdOf(profile.availabilityZone);
}

}

MemberTable::MemberTable(std::uint64_t ownId, std::size_t maxMembers)
    : m_ownId(ownId)
    , m_maxMembers(maxMembers)
{
}

// Dead members are excluded: daemons remove them at different times, and digests that include them would make
// daemons exchange their records forever.
void MemberTable::toggleInDigest(Record const& record)
{
    if (record.status == Status::Alive || record.status == Status::Suspect)
        m_buckets.at(bucketOf(record.id)) ^= digestOf(record);
}

void MemberTable::change(Member& member, Record const& record, TimePoint now)
{
    Status const from = member.record.status;
    bool const isNewProcess = member.record.incarnation != record.incarnation;
    if (from != record.status || isNewProcess || member.record.isLeaving != record.isLeaving)
        m_changes.push_back({ record.id, member.profile.name, record.incarnation, from, record.status, record.isLeaving });
    m_suspects -= from == Status::Suspect ? 1 : 0;
    m_suspects += record.status == Status::Suspect ? 1 : 0;
    toggleInDigest(member.record);
    toggleInDigest(record);
    member.record = record;
    member.record.profile.reset();
    member.changed = now;
    ++m_generation;
}

MergeResult MemberTable::apply(Record const& record, TimePoint now)
{
    if (record.id == m_ownId)
        return MergeResult::Nothing;
    auto it = m_members.find(record.id);
    if (it == m_members.end()) {
        if (m_members.size() >= m_maxMembers)
            return MergeResult::Nothing;
        it = m_members.try_emplace(record.id).first;
        it->second.record.id = record.id;
        it->second.record.status = Status::Unheard;
    }
    Member& member = it->second;
    if (record.profile && !member.hasProfile()) {
        setProfile(member, *record.profile);
        ++m_generation;
    }
    if (!supersedes(record, member.record))
        return MergeResult::Nothing;
    if (record.status == Status::Dead && member.record.status == Status::Alive)
        return MergeResult::Doubted;
    Record merged = record;
    // The suspicion of the earlier version may have been refuted, so the later version gets a full suspicion timeout.
    if (record.status == Status::Dead && member.record.status == Status::Suspect && !isSameVersion(record, member.record))
        merged.status = Status::Suspect;
    change(member, merged, now);
    return MergeResult::Changed;
}

void MemberTable::setStatus(std::uint64_t id, Status status, TimePoint now)
{
    auto const it = m_members.find(id);
    if (it == m_members.end() || it->second.record.status == status)
        return;
    Record record = it->second.record;
    record.status = status;
    change(it->second, record, now);
}

void MemberTable::applyVmList(std::vector<ListedVm> const& list, TimePoint now)
{
    std::unordered_set<std::uint64_t> listed;
    for (ListedVm const& vm : list) {
        std::uint64_t const id = memberIdOf(vm.profile.name);
        if (id == m_ownId)
            continue;
        listed.insert(id);
        if (!m_members.contains(id) && m_members.size() >= m_maxMembers)
            continue;
        auto const [it, isNew] = m_members.try_emplace(id);
        Member& member = it->second;
        if (isNew) {
            member.record.id = id;
            member.record.status = Status::Unheard;
            member.changed = now;
        }
        bool const isSame = member.isListed && member.isListedLeaving == vm.isLeaving && member.profile == vm.profile;
        if (isSame)
            continue;
        setProfile(member, vm.profile);
        member.isListed = true;
        member.isListedLeaving = vm.isLeaving;
        ++m_generation;
    }
    for (std::pair<std::uint64_t const, Member>& entry : m_members) {
        if (!entry.second.isListed || listed.contains(entry.first))
            continue;
        entry.second.isListed = false;
        entry.second.isListedLeaving = false;
        entry.second.changed = std::max(entry.second.changed, now);
        ++m_generation;
    }
}

void MemberTable::forgetBefore(TimePoint limit)
{
    std::size_t const n = std::erase_if(m_members, [limit](std::pair<std::uint64_t const, Member> const& entry) {
        Member const& member = entry.second;
        return !member.isPresent() && !member.isListed && member.changed < limit;
    });
    m_generation += n > 0 ? 1 : 0;
}

Member const* MemberTable::find(std::uint64_t id) const
{
    auto const it = m_members.find(id);
    return it == m_members.end() ? nullptr : &it->second;
}

Record MemberTable::recordOf(std::uint64_t id, bool withProfile) const
{
    Member const* const member = find(id);
    if (!member)
        return {};
    Record record = member->record;
    if (withProfile && member->hasProfile())
        record.profile = member->profile;
    return record;
}

std::vector<std::uint64_t> MemberTable::membersOf(std::vector<std::uint32_t> const& buckets) const
{
    std::array<std::vector<std::uint64_t>, bucketCount> idsOf;
    for (std::pair<std::uint64_t const, Member> const& entry : m_members) {
        if (entry.second.record.status != Status::Unheard)
            idsOf.at(bucketOf(entry.first)).push_back(entry.first);
    }
    std::vector<std::uint64_t> ids;
    for (std::uint32_t const bucket : buckets)
        ids.insert(ids.end(), idsOf.at(bucket).begin(), idsOf.at(bucket).end());
    return ids;
}

std::array<std::uint32_t, bucketCount> MemberTable::buckets(Record const& self) const
{
    std::array<std::uint32_t, bucketCount> buckets = m_buckets;
    buckets.at(bucketOf(self.id)) ^= digestOf(self);
    return buckets;
}

std::vector<Change> MemberTable::takeChanges()
{
    std::vector<Change> changes = std::move(m_changes);
    m_changes.clear();
    return changes;
}

}
