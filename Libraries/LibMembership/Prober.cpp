#include <LibMembership/Prober.h>
#include <algorithm>

namespace Membership {

namespace {

constexpr std::size_t maxRelays = 64;

}

std::uint32_t Prober::start(std::uint64_t target, TimePoint now, TimePoint deadline)
{
    std::uint32_t const sequence = m_nextSequence++;
    m_probes[sequence] = { target, sequence, now, deadline, false };
    return sequence;
}

std::uint32_t Prober::startRelay(Relay const& relay)
{
    if (m_relays.size() >= maxRelays)
        return 0;
    std::uint32_t const sequence = m_nextSequence++;
    m_relays[sequence] = relay;
    return sequence;
}

bool Prober::acknowledge(std::uint32_t sequence, std::uint64_t from)
{
    auto const it = m_probes.find(sequence);
    if (it == m_probes.end() || it->second.target != from)
        return false;
    m_linksDown.erase(from);
    m_probes.erase(it);
    return true;
}

bool Prober::acknowledgeIndirectly(std::uint32_t sequence, std::uint64_t target)
{
    auto const it = m_probes.find(sequence);
    if (it == m_probes.end() || it->second.target != target || !it->second.isIndirect)
        return false;
    m_linksDown.insert(target);
    m_probes.erase(it);
    return true;
}

std::optional<Prober::Relay> Prober::takeRelay(std::uint32_t sequence, std::uint64_t from)
{
    auto const it = m_relays.find(sequence);
    if (it == m_relays.end() || it->second.target != from)
        return std::nullopt;
    Relay const relay = it->second;
    m_relays.erase(it);
    return relay;
}

void Prober::expireDirect(std::uint64_t target, TimePoint now)
{
    for (std::pair<std::uint32_t const, Probe>& entry : m_probes) {
        if (entry.second.target == target && !entry.second.isIndirect)
            entry.second.deadline = std::min(entry.second.deadline, now);
    }
}

std::vector<Prober::Probe> Prober::takeExpired(TimePoint now)
{
    std::vector<Probe> expired;
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        if (it->second.deadline > now) {
            ++it;
            continue;
        }
        expired.push_back(it->second);
        it = m_probes.erase(it);
    }
    std::erase_if(m_relays, [now](std::pair<std::uint32_t const, Relay> const& entry) { return entry.second.deadline <= now; });
    return expired;
}

void Prober::continueIndirectly(Probe probe, TimePoint deadline)
{
    probe.isIndirect = true;
    probe.deadline = deadline;
    m_probes[probe.sequence] = probe;
}

void Prober::postpone(std::chrono::steady_clock::duration gap)
{
    for (std::pair<std::uint32_t const, Probe>& entry : m_probes) {
        entry.second.started += gap;
        entry.second.deadline += gap;
    }
}

bool Prober::isProbing(std::uint64_t target) const
{
    return std::ranges::any_of(m_probes, [target](std::pair<std::uint32_t const, Probe> const& entry) { return entry.second.target == target; });
}

Prober::TimePoint Prober::nextDeadline(TimePoint fallback) const
{
    TimePoint earliest = fallback;
    for (std::pair<std::uint32_t const, Probe> const& entry : m_probes)
        earliest = std::min(earliest, entry.second.deadline);
    return earliest;
}

}
