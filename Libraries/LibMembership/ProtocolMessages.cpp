// The part of `Protocol` that composes replies and other messages and exchanges records.
#include <LibMembership/Protocol.h>
#include <algorithm>
#include <unordered_set>
#include <xxhash.h>

namespace Membership {

// Answers and synchronization

Message Protocol::makeReply(Message const& message, TimePoint now)
{
    Message reply = make(Kind::Ack);
    reply.sequence = message.sequence;
    addClaimsAboutReceiver(reply, message.sender);
    Member const* const sender = m_table.find(message.sender.id);
    if (message.kind == Kind::Probe) {
        addPiggybackedRecords(reply);
        addLoads(reply, sender ? sender->zoneId : 0, now);
    }
    if (sender && !sender->hasProfile())
        reply.wantedProfiles.push_back(message.sender.id);
    for (Record const& record : message.records) {
        Member const* const member = m_table.find(record.id);
        if (member && member->isPresent() && !member->hasProfile() && reply.wantedProfiles.size() < m_settings.recordsPerPush)
            reply.wantedProfiles.push_back(record.id);
    }
    if (message.kind == Kind::Sync)
        answerSync(message, reply, now);
    bool const mayDiffer = message.kind == Kind::Probe || message.kind == Kind::Sync;
    if (mayDiffer && message.digest != reply.digest && m_syncBudget.canSend(now)) {
        std::array<std::uint32_t, bucketCount> const& own = buckets();
        reply.buckets.assign(own.begin(), own.end());
        m_syncBudget.spend(own.size() * sizeof(std::uint32_t));
    }
    return reply;
}

void Protocol::answerSync(Message const& message, Message& reply, TimePoint now)
{
    if (!m_syncBudget.canSend(now))
        return;
    std::unordered_set<std::uint32_t> const theirs(message.recordDigests.begin(), message.recordDigests.end());
    std::unordered_set<std::uint32_t> own;
    for (std::uint64_t const id : m_table.membersOf(message.wantedBuckets)) {
        std::uint32_t const digest = digestOf(m_table.find(id)->record);
        own.insert(digest);
        if (!theirs.contains(digest) && id != message.sender.id && reply.records.size() < maxRecords / 2)
            reply.records.push_back(m_table.recordOf(id, !m_table.find(id)->isListed));
    }
    for (std::uint32_t const digest : message.recordDigests) {
        if (!own.contains(digest) && reply.wantedRecords.size() < maxRecords / 2)
            reply.wantedRecords.push_back(digest);
    }
    m_syncBudget.spend(encode(reply).size());
}

void Protocol::syncWith(Message const& message, Output& output)
{
    std::array<std::uint32_t, bucketCount> const& own = buckets();
    Message sync = make(Kind::Sync);
    // Starts at a random bucket, so that daemons that differ in many buckets do not all request the same ones first.
    std::size_t const start = m_random() % bucketCount;
    for (std::size_t i = 0; i < bucketCount && sync.wantedBuckets.size() < m_settings.bucketsPerSync; ++i) {
        std::size_t const bucket = (start + i) % bucketCount;
        if (own.at(bucket) != message.buckets[bucket])
            sync.wantedBuckets.push_back(static_cast<std::uint32_t>(bucket));
    }
    for (std::uint64_t const id : m_table.membersOf(sync.wantedBuckets)) {
        // Omitting a digest only makes the other side send a record that is already known.
        if (sync.recordDigests.size() < maxRecords)
            sync.recordDigests.push_back(digestOf(m_table.find(id)->record));
    }
    sendBudgeted(output, message.sender.id, sync, m_syncBudget);
}

/// Sends the records requested by the reply to a Sync message.
void Protocol::sendWantedRecords(Message const& message, Output& output, TimePoint now)
{
    if (message.wantedRecords.empty() || !m_syncBudget.canSend(now))
        return;
    std::unordered_set<std::uint32_t> const wanted(message.wantedRecords.begin(), message.wantedRecords.end());
    Message rumours = make(Kind::Rumours);
    for (std::pair<std::uint64_t const, Member> const& entry : m_table.members()) {
        bool const isWanted = entry.second.record.status != Status::Unheard && wanted.contains(digestOf(entry.second.record));
        if (isWanted && rumours.records.size() < maxRecords / 2)
            rumours.records.push_back(m_table.recordOf(entry.first, !entry.second.isListed));
    }
    sendBudgeted(output, message.sender.id, rumours, m_syncBudget);
}

void Protocol::sendProfiles(Message const& message, Output& output)
{
    if (message.wantedProfiles.empty())
        return;
    Message rumours = make(Kind::Rumours);
    for (std::uint64_t const id : message.wantedProfiles) {
        if (rumours.records.size() == m_settings.recordsPerPush)
            break;
        if (id == m_self.id) {
            rumours.records.push_back(m_self);
            rumours.records.back().profile = m_profile;
        } else if (Member const* const member = m_table.find(id); member && member->hasProfile() && member->record.incarnation != 0) {
            rumours.records.push_back(m_table.recordOf(id, true));
        }
    }
    send(output, message.sender.id, rumours);
}

// Composition

Message Protocol::make(Kind kind)
{
    Message message;
    message.kind = kind;
    message.sender = m_self;
    message.digest = digest();
    return message;
}

Message Protocol::makeProbe(Member const& to, TimePoint now)
{
    Message message = make(Kind::Probe);
    message.target = to.record.id;
    if (to.record.status == Status::Unheard)
        message.sender.profile = m_profile; // Its VM list may not contain this daemon yet.
    addClaimsAboutReceiver(message, to.record);
    addPiggybackedRecords(message);
    addLoads(message, to.zoneId, now);
    return message;
}

/// Adds recent changes to a probe or reply. Pushes are faster, but many changes exhaust their budget.
void Protocol::addPiggybackedRecords(Message& message)
{
    std::vector<std::pair<int, std::uint64_t>> order;
    for (std::pair<std::uint64_t const, int> const& news : m_piggybackCounts)
        order.emplace_back(-news.second, news.first);
    std::size_t const count = std::min(order.size(), m_settings.piggybackedRecordsPerMessage);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end());
    order.resize(count);
    for (std::pair<int, std::uint64_t> const& entry : order) {
        Member const* const member = m_table.find(entry.second);
        if (member)
            message.records.push_back(m_table.recordOf(entry.second, !member->isListed));
        if (--m_piggybackCounts[entry.second] <= 0 || !member)
            m_piggybackCounts.erase(entry.second); // Also drops the own record, which has no table entry and is in every message.
    }
}

void Protocol::addLoads(Message& message, std::uint32_t zone, TimePoint now)
{
    if (zone == m_zone)
        message.memberLoads = m_loads.pickMembers(m_settings.memberLoadsPerMessage, now);
    message.zoneLoads = m_loads.pickZones(m_settings.zoneLoadsPerMessage, now);
}

/// Adds claims about the receiver that are newer than its own record or say that it failed, so that it can refute
/// them or learn that a later process has its name.
void Protocol::addClaimsAboutReceiver(Message& message, Record const& to) const
{
    auto const doubt = m_deathClaims.find(to.id);
    if (doubt != m_deathClaims.end() && supersedes(doubt->second, to))
        message.records.push_back(doubt->second);
    Member const* const member = m_table.find(to.id);
    if (!member)
        return;
    bool const isBelievedFailed = member->record.status == Status::Suspect || member->record.status == Status::Dead;
    if (isBelievedFailed || supersedes(member->record, to))
        message.records.push_back(member->record);
}

void Protocol::send(Output& output, std::uint64_t to, Message const& message)
{
    Member const* const member = m_table.find(to);
    if (member && member->hasProfile())
        output.messages.push_back({ to, member->profile.address, message.kind, encode(message) });
}

void Protocol::sendBudgeted(Output& output, std::uint64_t to, Message const& message, ByteBudget& budget)
{
    std::size_t const before = output.messages.size();
    send(output, to, message);
    if (output.messages.size() > before)
        budget.spend(output.messages.back().bytes.size() + m_settings.overheadPerMessage);
}

std::array<std::uint32_t, bucketCount> const& Protocol::buckets()
{
    if (m_bucketsGeneration != m_table.generation() || m_bucketsVersion != m_self.version + 1) {
        m_buckets = m_table.buckets(m_self);
        m_bucketsGeneration = m_table.generation();
        m_bucketsVersion = m_self.version + 1;
    }
    return m_buckets;
}

std::uint64_t Protocol::digest()
{
    return XXH3_64bits(buckets().data(), sizeof(m_buckets));
}

}
