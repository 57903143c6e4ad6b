// What `Protocol` does by time: probes, suspicions, healing, and passing on what has changed.
#include <LibMembership/Protocol.h>
#include <algorithm>

namespace Membership {

namespace {

/// A newcomer passes on nothing but itself for at most this long.
constexpr std::chrono::seconds newcomerTime { 10 };
/// However many are suspected at once, none stays so for longer than this.
constexpr std::chrono::seconds longestSuspicion { 30 };

}

Output Protocol::advance(TimePoint now)
{
    noteTime(now);
    Output output;
    if (m_self.status == Status::Left)
        return output;
    if (now - m_started > newcomerTime)
        m_isNewcomer = false;
    for (Prober::Probe const& probe : m_prober.takeExpired(now))
        handleExpired(probe, output, now);
    if (now >= m_nextPeriod) {
        m_arrivals = 0;
        startProbe(output, now);
        verifyDoubt(output, now);
        m_nextPeriod = std::max(m_nextPeriod + m_settings.period, now + m_settings.period / 2);
        if (preferredAggregator(m_zone) == m_self.id) {
            m_loads.sumOwnZone([this](std::uint64_t id) {
                Member const* const member = m_table.find(id);
                return member && member->isPresent();
            },
                now);
        }
        m_loads.forget(now - m_settings.loadLifetime);
    }
    if (now >= m_nextHeal) {
        heal(output, now);
        m_table.forget(now - m_settings.forgetAfter);
        m_nextHeal = now + m_settings.healInterval;
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
    TimePoint const timers = std::min({ m_nextPeriod, m_nextHeal, m_pushAt });
    return m_prober.nextDeadline(timers);
}

// Probes

void Protocol::startProbe(Output& output, TimePoint now)
{
    std::vector<std::uint64_t> const& known = contacts();
    std::size_t const wanted = m_settings.zoneRings + m_settings.globalRings;
    m_nextContact = (m_nextContact + 1) % std::max<std::size_t>(1, std::min(wanted, m_table.members().size()));
    std::uint64_t target = 0;
    if (now - m_lastRoundTrip > 2 * m_settings.period) {
        // None of the contacts answers. They may all be gone, or this daemon is cut off: anyone's answer will tell.
        target = pickOne(idsWhere([](Member const& member) { return member.hasProfile() && member.record.status != Status::Left; }));
    } else if (m_nextContact < known.size()) {
        target = known[m_nextContact];
    } else {
        // Too few are known to be present: look for others in the list.
        target = pickOne(idsWhere([](Member const& member) { return member.record.status == Status::Unheard && member.hasProfile(); }));
        if (target == 0 && !known.empty())
            target = known[m_nextContact % known.size()];
    }
    Member const* const member = m_table.find(target);
    if (!member || m_prober.isProbing(target))
        return;
    Message probe = makeProbe(*member, now);
    probe.sequence = m_prober.start(target, now, now + m_settings.probeTimeout);
    send(output, target, probe);
}

bool Protocol::isDoubted(Record const& claim) const
{
    Member const* const member = m_table.find(claim.id);
    return member && member->record.status == Status::Alive && supersedes(claim, member->record);
}

void Protocol::verifyDoubt(Output& output, TimePoint now)
{
    std::erase_if(m_doubts, [this](std::pair<std::uint64_t const, Record> const& doubt) { return !isDoubted(doubt.second); });
    if (m_doubts.empty())
        return;
    // Each daemon begins elsewhere, so that together they soon reach everyone who is doubted.
    auto it = m_doubts.lower_bound(m_random());
    if (it == m_doubts.end())
        it = m_doubts.begin();
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
        askHelpers(probe, output, now);
        return;
    }
    // Without any answer since the probe began, the fault may lie at this end.
    if (m_lastRoundTrip <= probe.started)
        return;
    m_table.setStatus(probe.target, Status::Suspect, now);
    queuePush(probe.target, now);
}

void Protocol::askHelpers(Prober::Probe const& probe, Output& output, TimePoint now)
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

void Protocol::heal(Output& output, TimePoint now)
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
    TimePoint::duration const timeout = std::min<TimePoint::duration>(m_settings.suspicionTimeout + extension, longestSuspicion);
    std::vector<std::uint64_t> const suspects = idsWhere([](Member const& member) { return member.record.status == Status::Suspect; });
    for (std::uint64_t const id : suspects) {
        TimePoint const since = std::max(m_table.find(id)->changed, m_lastWake);
        // While nobody answers this daemon, a refutation could not have arrived either.
        if (now - since < timeout || m_lastRoundTrip <= since)
            continue;
        m_table.setStatus(id, Status::Dead, now);
        queuePush(id, now);
    }
}

// Passing on

void Protocol::queuePush(std::uint64_t id, TimePoint now)
{
    m_pushes.insert(id);
    m_news[id] = m_settings.newsRepeats;
    if (m_pushAt == TimePoint::max())
        m_pushAt = now + m_settings.pushDelay;
}

std::vector<std::uint64_t> Protocol::takePushes()
{
    // Refutations and arrivals go first: they are what keeps a suspect from being given up.
    auto const rank = [this](std::uint64_t id) {
        if (id == m_self.id)
            return 0;
        Member const* const member = m_table.find(id);
        return member ? 1 + static_cast<int>(member->record.status) : 9;
    };
    std::vector<std::uint64_t> ids(m_pushes.begin(), m_pushes.end());
    std::ranges::sort(ids, [&rank](std::uint64_t first, std::uint64_t second) { return std::pair(rank(first), first) < std::pair(rank(second), second); });
    if (ids.size() > m_settings.recordsPerPush)
        ids.resize(m_settings.recordsPerPush);
    for (std::uint64_t const id : ids)
        m_pushes.erase(id);
    return ids;
}

void Protocol::push(Output& output, TimePoint now)
{
    if (now < m_pushAt)
        return;
    m_pushAt = now + m_settings.pushDelay;
    if (!m_pushBudget.isOpen(now) || contacts().empty())
        return;
    std::vector<std::uint64_t> const ids = takePushes();
    if (m_pushes.empty())
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
    for (std::uint64_t const contact : contacts())
        sendBudgeted(output, contact, message, m_pushBudget);
}

std::vector<std::uint64_t> Protocol::idsWhere(std::function<bool(Member const&)> const& isWanted) const
{
    std::vector<std::uint64_t> ids;
    for (std::pair<std::uint64_t const, Member> const& entry : m_table.members()) {
        if (isWanted(entry.second))
            ids.push_back(entry.first);
    }
    std::ranges::sort(ids); // The order must not depend on the hash table, so that a seed repeats a run.
    return ids;
}

std::uint64_t Protocol::pickOne(std::vector<std::uint64_t> const& ids)
{
    return ids.empty() ? 0 : ids[m_random() % ids.size()];
}

}
