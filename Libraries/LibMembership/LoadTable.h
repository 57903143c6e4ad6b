#pragma once

#include <LibMembership/Load.h>
#include <LibMembership/Settings.h>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace Membership {

/// The last known load of each member of the own availability zone, and the total of each zone.
/// Performs no I/O and reads no clock. Not thread-safe.
class LoadTable {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    LoadTable(std::uint64_t ownId, std::uint32_t ownZone, std::uint64_t incarnation);

    /// Sets this daemon's own load.
    void setOwn(Load const&, TimePoint now);
    /// Merges the load of a member of the own zone. The higher sequence number wins.
    void apply(MemberLoad const&, TimePoint now);
    /// Merges the total of a zone. `preferred` is the member that this daemon expects to compute it. A total from
    /// another member is accepted only when the stored one is stale.
    void apply(ZoneLoad const&, std::uint64_t preferred, TimePoint now);
    /// Computes and stores the total of the own zone over the members that `isPresent` accepts.
    void sumOwnZone(std::function<bool(std::uint64_t)> const& isPresent, TimePoint now);
    /// Removes loads that were reported before `limit`.
    void forgetBefore(TimePoint limit);

    /// Returns up to `n` member loads to send: the own one first, then the least recently sent. (Sending the
    /// newest reports first would starve those of distant members.)
    std::vector<MemberLoad> pickMembers(std::size_t n, TimePoint now);
    /// Returns up to `n` zone totals to send, the least recently sent first.
    std::vector<ZoneLoad> pickZones(std::size_t n, TimePoint now);

    /// Returns the load of a member of the own zone with its current age, or nothing when it is unknown.
    std::optional<MemberLoad> memberLoad(std::uint64_t id, TimePoint now) const;
    /// Returns the total of a zone with its current age, or nothing when it is unknown.
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
