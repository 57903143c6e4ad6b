// The timers of `Protocol`: probes, suspicion timeouts, probes of absent members, and pushes of changes.
#include <LibMembership/Protocol.h>
#include <algorithm>

namespace Membership {

namespace {

/// A joining daemon does not forward received changes until its digest matches another's, but at most for this long.
constexpr std::chrono::seconds maxJoinTime { 10 };
/// Upper limit of the suspicion timeout, however many members are suspected at once.
constexpr std::chrono::seconds maxSuspicionTimeout { 30 };

}

Output Protocol::advance(TimePoint now)
{
    updateTime(now);
    Output output;
    if (m_self.status == Status::Left)
        return output;
    if (now - m_started > maxJoinTime)
        m_isJoining = false;
    for (Prober::Probe const& probe : m_prober.takeExpired(now))
        handleExpired(probe, output, now);
    if (now >= m_nextPeriod) {
        m_arrivals = 0;
        startProbe(output, now);
        verifyDeathClaim(output, now);
        m_nextPeriod = std::max(m_nextPeriod + m_settings.period, now + m_settings.period / 2);
        if (preferredAggregator(m_zone) == m_self.id) {
            m_loads.sumOwnZone([this](std::uint64_t id) {
                Member const* const member = m_table.find(id);
                return member && member->isPresent();
            },
                now);
        }
        m_loads.forgetBefore(now - m_settings.loadLifetime);
    }
    if (now >= m_nextAbsentProbe) {
        probeAbsentMember(output, now);
        m_table.forgetBefore(now - m_settings.forgetAfter);
        m_nextAbsentProbe = now + m_settings.absentProbeInterval;
    }
    if (m_table.suspects() > 0 && now - m_lastSuspicionCheck >= m_settings.pushDelay) {
        m_lastSuspicionCheck = now;
        expireSuspicions(now);
    }
    push(output, now);
    return output;
}

Protocol::TimePoint Protocol::nextDeadline() const
{
    TimePoint const timers = std::min({ m_nextPeriod, m_nextAbsentProbe, m_pushAt });
    return m_prober.nextDeadline(timers);
}

// Probes

void Protocol::startProbe(Output& output, TimePoint now)
{
    std::vector<std::uint64_t> const& known = neighbours();
    std::size_t const wanted = m_settings.zoneRings + m_settings.globalRings;
    m_nextNeighbour = (m_nextNeighbour + 1) % std::max<std::size_t>(1, std::min(wanted, m_table.members().size()));
    std::uint64_t target = 0;
    if (now - m_lastRoundTrip > 2 * m_settings.period) {
        // No neighbour answers. Either all have failed or this daemon is cut off; an answer from any member tells which.
        target = pickOne(idsWhere([](Member const& member) { return member.hasProfile() && member.record.status != Status::Left; }));
    } else if (m_nextNeighbour < known.size()) {
        target = known[m_nextNeighbour];
    } else {
        // Too few members are known to be present; probe others from the VM list.
        target = pickOne(idsWhere([](Member const& member) { return member.record.status == Status::Unheard && member.hasProfile(); }));
        if (target == 0 && !known.empty())
            target = known[m_nextNeighbour % known.size()];
    }
    Member const* const member = m_table.find(target);
    if (!member || m_prober.isProbing(target))
        return;
    Message probe = makeProbe(*member, now);
    probe.sequence = m_prober.start(target, now, now + m_settings.probeTimeout);
    send(output, target, probe);
}

bool Protocol::isUnverifiedDeath(Record const& claim) const
{
    Member const* const member = m_table.find(claim.id);
    return member && member->record.status == Status::Alive && supersedes(claim, member->record);
}

void Protocol::verifyDeathClaim(Output& output, TimePoint now)
{
    std::erase_if(m_deathClaims, [this](std::pair<std::uint64_t const, Record> const& doubt) { return !isUnverifiedDeath(doubt.second); });
    if (m_deathClaims.empty())
        return;
    // Each daemon picks a random claim, so that all claims are soon verified by some daemon.
    auto it = m_deathClaims.lower_bound(m_random());
    if (it == m_deathClaims.end())
        it = m_deathClaims.begin();
    std::uint64_t const target = it->first;
    if (m_prober.isProbing(target))
        return;
    Message probe = makeProbe(*m_table.find(target), now);
    probe.sequence = m_prober.start(target, now, now + m_settings.probeTimeout);
    send(output, target, probe);
}

void Protocol::handleExpired(Prober::Probe const& probe, Output& output, TimePoint now)
{
    Member const* const member = m_table.find(probe.target);
    if (!member || member->record.status != Status::Alive)
        return;
    if (!probe.isIndirect) {
        sendProbeRequests(probe, output, now);
        return;
    }
    // If no member has answered since the probe started, this daemon itself may be cut off.
    if (m_lastRoundTrip <= probe.started)
        return;
    m_table.setStatus(probe.target, Status::Suspect, now);
    queuePush(probe.target, now);
}

void Protocol::sendProbeRequests(Prober::Probe const& probe, Output& output, TimePoint now)
{
    std::uint32_t const zone = m_table.find(probe.target)->zoneId;
    auto const canHelp = [&probe](Member const& member) { return member.record.status == Status::Alive && member.hasProfile() && member.record.id != probe.target; };
    std::vector<std::uint64_t> const anywhere = idsWhere(canHelp);
    std::vector<std::uint64_t> const nearTarget = idsWhere([&](Member const& member) { return canHelp(member) && member.zoneId == zone; });
    std::set<std::uint64_t> helpers;
    if (!nearTarget.empty())
        helpers.insert(pickOne(nearTarget));
    for (std::size_t i = 0; i < 2 * m_settings.helpers && helpers.size() < m_settings.helpers && !anywhere.empty(); ++i)
        helpers.insert(pickOne(anywhere));
    for (std::uint64_t const helper : helpers) {
        Message request = make(Kind::ProbeRequest);
        request.sequence = probe.sequence;
        request.target = probe.target;
        send(output, helper, request);
    }
    m_prober.continueIndirectly(probe, now + m_settings.indirectTimeout);
}

void Protocol::probeAbsentMember(Output& output, TimePoint now)
{
    std::uint64_t const target = pickOne(idsWhere([](Member const& member) {
        bool const isMissing = member.record.status == Status::Unheard || member.record.status == Status::Dead;
        return isMissing && member.hasProfile() && (member.isListed || member.record.status == Status::Dead);
    }));
    if (Member const* const member = m_table.find(target))
        send(output, target, makeProbe(*member, now));
}

void Protocol::expireSuspicions(TimePoint now)
{
    TimePoint::duration const extension = m_settings.suspicionPerSuspect * (m_table.suspects() - 1);
    TimePoint::duration const timeout = std::min<TimePoint::duration>(m_settings.suspicionTimeout + extension, maxSuspicionTimeout);
    std::vector<std::uint64_t> const suspects = idsWhere([](Member const& member) { return member.record.status == Status::Suspect; });
    for (std::uint64_t const id : suspects) {
        TimePoint const since = std::max(m_table.find(id)->changed, m_lastWake);
        // If no member has answered since then, a refutation could not have arrived either.
        if (now - since < timeout || m_lastRoundTrip <= since)
            continue;
        m_table.setStatus(id, Status::Dead, now);
        queuePush(id, now);
    }
}

// Pushes

void Protocol::queuePush(std::uint64_t id, TimePoint now)
{
    m_queuedPushes.insert(id);
    m_piggybackCounts[id] = m_settings.piggybackRepeats;
    if (m_pushAt == TimePoint::max())
        m_pushAt = now + m_settings.pushDelay;
}

std::vector<std::uint64_t> Protocol::takeQueuedPushes()
{
    // Refutations and new members go first, since refutations keep suspects from being declared dead.
    auto const rank = [this](std::uint64_t id) {
        if (id == m_self.id)
            return 0;
        Member const* const member = m_table.find(id);
        return member ? 1 + static_cast<int>(member->record.status) : 9;
    };
    std::vector<std::uint64_t> ids(m_queuedPushes.begin(), m_queuedPushes.end());
    std::ranges::sort(ids, [&rank](std::uint64_t first, std::uint64_t second) { return std::pair(rank(first), first) < std::pair(rank(second), second); });
    if (ids.size() > m_settings.recordsPerPush)
        ids.resize(m_settings.recordsPerPush);
    for (std::uint64_t const id : ids)
        m_queuedPushes.erase(id);
    return ids;
}

void Protocol::push(Output& output, TimePoint now)
{
    if (now < m_pushAt)
        return;
    m_pushAt = now + m_settings.pushDelay;
    if (!m_pushBudget.canSend(now) || neighbours().empty())
        return;
    std::vector<std::uint64_t> const ids = takeQueuedPushes();
    if (m_queuedPushes.empty())
        m_pushAt = TimePoint::max();
    Message message = make(Kind::Rumours);
    for (std::uint64_t const id : ids) {
        if (id == m_self.id) {
            message.records.push_back(m_self);
            if (m_self.version == 0)
                message.records.back().profile = m_profile;
        } else if (Member const* const member = m_table.find(id)) {
            message.records.push_back(m_table.recordOf(id, !member->isListed));
        }
    }
    if (message.records.empty())
        return;
    for (std::uint64_t const neighbour : neighbours())
        sendBudgeted(output, neighbour, message, m_pushBudget);
}

std::vector<std::uint64_t> Protocol::idsWhere(std::function<bool(Member const&)> const& isWanted) const
{
    std::vector<std::uint64_t> ids;
    for (std::pair<std::uint64_t const, Member> const& entry : m_table.members()) {
        if (isWanted(entry.second))
            ids.push_back(entry.first);
    }
    std::ranges::sort(ids); // Makes runs reproducible from a seed: the order of the hash table is unspecified.
    return ids;
}

std::uint64_t Protocol::pickOne(std::vector<std::uint64_t> const& ids)
{
    return ids.empty() ? 0 : ids[m_random() % ids.size()];
}

}
