#include <LibMembership/LoadTable.h>
#include <algorithm>

namespace Membership {

namespace {

/// A zone total from a member other than the preferred one replaces the stored total when that is older than this.
constexpr std::chrono::seconds zoneLoadMaxAge { 5 };

std::chrono::milliseconds ageOf(LoadTable::TimePoint reported, LoadTable::TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - reported);
}

}

Load& Load::operator+=(Load const& other)
{
    running += other.running;
    queued += other.queued;
    promptTokensPerSecond += other.promptTokensPerSecond;
    outputTokensPerSecond += other.outputTokensPerSecond;
    return *this;
}

LoadTable::LoadTable(std::uint64_t ownId, std::uint32_t ownZone, std::uint64_t incarnation)
    : m_ownId(ownId)
    , m_ownZone(ownZone)
    , m_sequence(incarnation)
    , m_random(ownId ^ incarnation)
{
}

void LoadTable::setOwn(Load const& load, TimePoint now)
{
    Entry<MemberLoad>& entry = m_members[m_ownId];
    entry.value = { m_ownId, ++m_sequence, {}, load };
    entry.reported = now;
}

void LoadTable::apply(MemberLoad const& load, TimePoint now)
{
    if (load.id == m_ownId)
        return;
    Entry<MemberLoad>& entry = m_members[load.id];
    if (load.sequence <= entry.value.sequence)
        return;
    entry.value = load;
    entry.reported = now - load.age;
}

void LoadTable::apply(ZoneLoad const& load, std::uint64_t preferred, TimePoint now)
{
    auto const it = m_zones.find(load.zone);
    if (it != m_zones.end()) {
        Entry<ZoneLoad> const& present = it->second;
        bool const isNewer = load.source == present.value.source ? load.sequence > present.value.sequence
                                                                 : load.source == preferred || now - present.reported > zoneLoadMaxAge;
        if (!isNewer)
            return;
    }
    Entry<ZoneLoad>& entry = m_zones[load.zone];
    entry.value = load;
    entry.reported = now - load.age;
}

void LoadTable::sumOwnZone(std::function<bool(std::uint64_t)> const& isPresent, TimePoint now)
{
    ZoneLoad sum { m_ownZone, m_ownId, ++m_sequence, {}, 0, {} };
    for (std::pair<std::uint64_t const, Entry<MemberLoad>> const& entry : m_members) {
        if (entry.first != m_ownId && !isPresent(entry.first))
            continue;
        ++sum.members;
        sum.load += entry.second.value.load;
    }
    Entry<ZoneLoad>& entry = m_zones[m_ownZone];
    entry.value = sum;
    entry.reported = now;
}

void LoadTable::forgetBefore(TimePoint limit)
{
    std::erase_if(m_members, [limit](std::pair<std::uint64_t const, Entry<MemberLoad>> const& it) { return it.second.reported < limit; });
    std::erase_if(m_zones, [limit](std::pair<std::uint32_t const, Entry<ZoneLoad>> const& it) { return it.second.reported < limit; });
}

template <typename Key, typename Value>
std::vector<Value> LoadTable::pick(std::map<Key, Entry<Value>>& entries, std::size_t n, TimePoint now)
{
    std::vector<Entry<Value>*> order;
    for (std::pair<Key const, Entry<Value>>& entry : entries)
        order.push_back(&entry.second);
    std::size_t const count = std::min(n, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(),
        [](Entry<Value> const* first, Entry<Value> const* second) { return first->lastPick < second->lastPick; });
    std::vector<Value> picked;
    for (std::size_t i = 0; i < count; ++i) {
        // Without randomness, the rotation over loads could synchronize with the rotation over neighbours, and a load
        // would always be sent to the same neighbour.
        order[i]->lastPick = ++m_picks + m_random() % order.size();
        picked.push_back(order[i]->value);
        picked.back().age = ageOf(order[i]->reported, now);
    }
    return picked;
}

std::vector<MemberLoad> LoadTable::pickMembers(std::size_t n, TimePoint now)
{
    auto const own = m_members.find(m_ownId);
    if (own != m_members.end())
        own->second.lastPick = 0; // Sorts the own load first.
    return pick(m_members, n, now);
}

std::vector<ZoneLoad> LoadTable::pickZones(std::size_t n, TimePoint now)
{
    return pick(m_zones, n, now);
}

std::optional<MemberLoad> LoadTable::memberLoad(std::uint64_t id, TimePoint now) const
{
    auto const it = m_members.find(id);
    if (it == m_members.end())
        return std::nullopt;
    MemberLoad load = it->second.value;
    load.age = ageOf(it->second.reported, now);
    return load;
}

std::optional<ZoneLoad> LoadTable::zoneLoad(std::uint32_t zone, TimePoint now) const
{
    auto const it = m_zones.find(zone);
    if (it == m_zones.end())
        return std::nullopt;
    ZoneLoad load = it->second.value;
    load.age = ageOf(it->second.reported, now);
    return load;
}

}
