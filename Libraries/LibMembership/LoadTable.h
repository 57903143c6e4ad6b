#pragma once

#include <LibMembership/Load.h>
#include <LibMembership/Settings.h>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace Membership {

/// The loads that this daemon has heard: of each member of its availability zone, and the sum of each zone.
/// Pure; not thread-safe.
class LoadTable {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    LoadTable(std::uint64_t ownId, std::uint32_t ownZone, std::uint64_t incarnation);

    /// Sets this daemon's own load.
    void setOwn(Load const&, TimePoint now);
    /// Merges a load of a member of the own zone: the later sequence wins.
    void apply(MemberLoad const&, TimePoint now);
    /// Merges a zone's sum. `preferred` is who should add up there in this daemon's view; another's sum is taken
    /// only where the present one is old.
    void apply(ZoneLoad const&, std::uint64_t preferred, TimePoint now);
    /// Adds up the own zone over the members that `isPresent` accepts and sets its sum.
    void sumOwnZone(std::function<bool(std::uint64_t)> const& isPresent, TimePoint now);
    /// Drops what was reported before `limit`.
    void forget(TimePoint limit);

    /// Returns up to `n` member loads to send, the own one first, then those sent least lately. (The
    /// latest news first would keep what is far away from arriving at all.)
    std::vector<MemberLoad> pickMembers(std::size_t n, TimePoint now);
    /// Returns up to `n` zone sums to send, those sent least lately first.
    std::vector<ZoneLoad> pickZones(std::size_t n, TimePoint now);

    /// Returns the load of a member of the own zone with its age, or nothing.
    std::optional<MemberLoad> memberLoad(std::uint64_t id, TimePoint now) const;
    /// Returns the sum of a zone with its age, or nothing.
    std::optional<ZoneLoad> zoneLoad(std::uint32_t zone, TimePoint now) const;

private:
    template <typename Value>
    struct Entry {
        Value value;
        TimePoint reported;
        std::uint64_t lastPick { 0 };
    };

    template <typename Key, typename Value>
    std::vector<Value> pick(std::map<Key, Entry<Value>>&, std::size_t n, TimePoint now);

    std::uint64_t m_ownId;
    std::uint32_t m_ownZone;
    std::uint64_t m_sequence;
    std::mt19937_64 m_random;
    std::uint64_t m_picks { 0 };
    std::map<std::uint64_t, Entry<MemberLoad>> m_members;
    std::map<std::uint32_t, Entry<ZoneLoad>> m_zones;
};

}
