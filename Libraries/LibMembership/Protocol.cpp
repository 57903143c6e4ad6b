#include <LibMembership/Protocol.h>
#include <LibMembership/Rings.h>
#include <algorithm>

namespace Membership {

namespace {

/// A gap of at least this many periods between two calls means that this process was paused.
constexpr int pausePeriods = 3;

}

Core::Result<Protocol> Protocol::create(Settings const& settings, Profile self, std::uint64_t incarnation, std::uint64_t seed, TimePoint now)
{
    if (self.name.empty() || incarnation == 0)
        return Core::fail(Core::ErrorCode::BadInput, "A daemon needs a name and an incarnation above zero.");
    bool const areTimesSet = settings.period.count() > 0 && settings.probeTimeout.count() > 0 && settings.indirectTimeout.count() > 0
        && settings.suspicionTimeout.count() > 0 && settings.absentProbeInterval.count() > 0;
    if (!areTimesSet || settings.maxMembers == 0 || settings.recordsPerPush == 0 || settings.recordsPerPush > maxRecords / 2)
        return Core::fail(Core::ErrorCode::BadInput, "A membership time or limit is zero or too large.");
    return Protocol(settings, std::move(self), incarnation, seed, now);
}

Protocol::Protocol(Settings const& settings, Profile self, std::uint64_t incarnation, std::uint64_t seed, TimePoint now)
    : m_settings(settings)
    , m_profile(std::move(self))
    , m_self { memberIdOf(m_profile.name), incarnation, 0, Status::Alive, false, {} }
    , m_zone(zoneIdOf(m_profile.availabilityZone))
    , m_random(seed)
    , m_table(m_self.id, settings.maxMembers)
    , m_loads(m_self.id, m_zone, incarnation)
    , m_pushBudget(settings.pushBytesPerSecond, settings.pushBurstBytes, now)
    , m_syncBudget(settings.syncBytesPerSecond, settings.syncBurstBytes, now)
    , m_started(now)
    , m_lastTime(now)
    , m_lastWake(now)
    , m_lastRoundTrip(now)
    , m_nextPeriod(now + std::chrono::milliseconds(m_random() % static_cast<std::uint64_t>(settings.period.count())))
    , m_nextAbsentProbe(now + settings.absentProbeInterval / 2 + std::chrono::milliseconds(m_random() % static_cast<std::uint64_t>(settings.absentProbeInterval.count())))
    , m_pushAt(TimePoint::max())
{
    m_loads.setOwn({}, now);
}

// Time and input

void Protocol::updateTime(TimePoint now)
{
    TimePoint::duration const gap = now - m_lastTime;
    m_lastTime = now;
    if (gap < pausePeriods * m_settings.period)
        return;
    // Deadlines that passed during the pause say nothing about other members.
    m_prober.postpone(gap);
    m_lastWake = now;
    m_lastRoundTrip += gap;
    m_nextPeriod = std::min(m_nextPeriod, now);
}

void Protocol::handleVmList(std::vector<ListedVm> const& list, TimePoint now)
{
    updateTime(now);
    m_table.applyVmList(list, now);
}

void Protocol::handleUnreachable(std::uint64_t to, TimePoint now)
{
    updateTime(now);
    m_prober.expireDirect(to, now);
}

void Protocol::setLoad(Load const& load, TimePoint now)
{
    m_loads.setOwn(load, now);
}

void Protocol::startLeaving(TimePoint now)
{
    if (m_self.isLeaving)
        return;
    m_self.isLeaving = true;
    ++m_self.version;
    queuePush(m_self.id, now);
}

Output Protocol::leave(TimePoint now)
{
    updateTime(now);
    m_self.isLeaving = true;
    m_self.status = Status::Left;
    ++m_self.version;
    Output output;
    Message message = make(Kind::Rumours);
    message.records.push_back(m_self);
    for (std::uint64_t const neighbour : neighbours())
        send(output, neighbour, message);
    return output;
}

Core::Result<Output> Protocol::handleMessage(std::string_view bytes, TimePoint now)
{
    BOOST_OUTCOME_TRY(Message const message, decode(bytes));
    updateTime(now);
    Output output;
    if (message.sender.id == m_self.id) {
        handleClaimAboutSelf(message.sender); // An earlier or later process with this name.
        return output;
    }
    applyAll(message, now);
    switch (message.kind) {
    case Kind::Ack:
        handleAck(message, output, now);
        return output;
    case Kind::ProbeRequest:
        handleProbeRequest(message, output, now);
        break;
    case Kind::IndirectAck:
        if (m_prober.acknowledgeIndirectly(message.sequence, message.target))
            m_lastRoundTrip = now;
        break;
    case Kind::Probe:
    case Kind::Rumours:
    case Kind::Sync:
        break;
    }
    output.reply = encode(makeReply(message, now));
    return output;
}

void Protocol::applyAll(Message const& message, TimePoint now)
{
    std::vector<Record> records = message.records;
    records.push_back(message.sender);
    for (Record const& record : records) {
        if (record.id == m_self.id)
            handleClaimAboutSelf(record);
        else
            apply(record, now);
    }
    applyLoads(message, now);
}

void Protocol::apply(Record const& record, TimePoint now)
{
    Member const* const before = m_table.find(record.id);
    bool const wasSuspect = before && before->record.status == Status::Suspect;
    MergeResult const applied = m_table.apply(record, now);
    if (applied == MergeResult::Doubted)
        m_deathClaims[record.id] = record;
    if (applied != MergeResult::Changed || m_isJoining)
        return;
    // When many members appear at once, as after a partition, synchronization by digests spreads them at less cost.
    // The refutation of a suspicion cannot wait for that.
    bool const isArrival = record.status == Status::Alive && !wasSuspect;
    m_arrivals += isArrival ? 1 : 0;
    if (isArrival && (m_arrivals > m_settings.arrivalsPerPeriod || !m_pushBudget.canSend(now)))
        return;
    queuePush(record.id, now);
}

void Protocol::handleClaimAboutSelf(Record const& record)
{
    if (record.incarnation > m_self.incarnation)
        m_supersededBy = std::max(m_supersededBy, record.incarnation);
    if (record.incarnation != m_self.incarnation || !supersedes(record, m_self) || m_self.status == Status::Left)
        return;
    m_self.version = record.version + 1;
    queuePush(m_self.id, m_lastTime);
}

void Protocol::applyLoads(Message const& message, TimePoint now)
{
    for (MemberLoad const& load : message.memberLoads) {
        Member const* const member = m_table.find(load.id);
        if (member && member->zoneId == m_zone)
            m_loads.apply(load, now);
    }
    for (ZoneLoad const& load : message.zoneLoads)
        m_loads.apply(load, preferredAggregator(load.zone), now);
}

void Protocol::handleAck(Message const& message, Output& output, TimePoint now)
{
    if (std::optional<Prober::Relay> const relay = m_prober.takeRelay(message.sequence, message.sender.id)) {
        Message answer = make(Kind::IndirectAck);
        answer.sequence = relay->originSequence;
        answer.target = relay->target;
        send(output, relay->origin, answer);
    }
    m_prober.acknowledge(message.sequence, message.sender.id);
    m_lastRoundTrip = now;
    sendProfiles(message, output);
    sendWantedRecords(message, output, now);
    if (message.digest == digest()) {
        m_isJoining = false;
        return;
    }
    if (!message.buckets.empty() && m_syncBudget.canSend(now))
        syncWith(message, output);
}

void Protocol::handleProbeRequest(Message const& message, Output& output, TimePoint now)
{
    Member const* const target = m_table.find(message.target);
    if (!target || !target->hasProfile())
        return;
    Prober::Relay const relay { message.sender.id, message.sequence, message.target, now + m_settings.probeTimeout + m_settings.indirectTimeout };
    std::uint32_t const sequence = m_prober.startRelay(relay);
    if (sequence == 0)
        return;
    Message probe = makeProbe(*target, now);
    probe.sequence = sequence;
    send(output, message.target, probe);
}

// State

bool Protocol::isIsolated(TimePoint now) const
{
    bool const hasOthers = std::ranges::any_of(m_table.members(), [](std::pair<std::uint64_t const, Member> const& entry) {
        return entry.second.isPresent() || (entry.second.isListed && entry.second.record.status != Status::Left);
    });
    return hasOthers && now - m_lastRoundTrip > m_settings.isolationTimeout;
}

std::vector<std::uint64_t> const& Protocol::neighbours()
{
    if (m_neighboursGeneration != m_table.generation()) {
        m_neighbours = neighboursOf(m_self.id, m_zone, m_table, m_settings);
        m_neighboursGeneration = m_table.generation();
    }
    return m_neighbours;
}

std::uint64_t Protocol::preferredAggregator(std::uint32_t zone)
{
    if (m_aggregatorsGeneration != m_table.generation()) {
        m_aggregatorsGeneration = m_table.generation();
        m_aggregators.clear();
        m_aggregators[m_zone] = m_self.id;
        for (std::pair<std::uint64_t const, Member> const& entry : m_table.members()) {
            std::uint64_t& best = m_aggregators[entry.second.zoneId];
            if (entry.second.isPresent())
                best = std::max(best, entry.first);
        }
    }
    auto const it = m_aggregators.find(zone);
    return it == m_aggregators.end() ? 0 : it->second;
}

ZoneLoad Protocol::regionLoad(std::string_view region, TimePoint now) const
{
    std::set<std::uint32_t> zones;
    if (region == m_profile.region)
        zones.insert(m_zone);
    for (std::pair<std::uint64_t const, Member> const& entry : m_table.members()) {
        if (entry.second.profile.region == region)
            zones.insert(entry.second.zoneId);
    }
    ZoneLoad sum;
    for (std::uint32_t const zone : zones) {
        std::optional<ZoneLoad> const load = m_loads.zoneLoad(zone, now);
        if (!load)
            continue;
        sum.members += load->members;
        sum.age = std::max(sum.age, load->age);
        sum.load += load->load;
    }
    return sum;
}

}
