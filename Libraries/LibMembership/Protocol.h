#pragma once

#include <LibMembership/ByteBudget.h>
#include <LibMembership/LoadTable.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/Prober.h>
#include <random>
#include <set>

namespace Membership {

/// A message to send.
struct Outgoing {
    std::uint64_t to { 0 };
    std::string address;
    Kind kind { Kind::Probe };
    std::string bytes;
};

/// The messages to send after a call to the protocol.
struct Output {
    std::optional<std::string> reply; ///< The reply to the message just handled, sent on the same stream.
    std::vector<Outgoing> messages;
};

/// A gossip protocol for group membership, failure detection and load reports. Each daemon probes only a few others,
/// so its cost does not grow with their number. See docs/design/membership.md.
///
/// Performs no I/O and reads no clock: each call passes the time, which must not decrease.
/// Not thread-safe: used only by the control thread.
class Protocol {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Creates the protocol of a process that starts at `now`. `incarnation` must be greater than that of each
    /// earlier process with this name (such as milliseconds since 1970); `seed` should differ between processes.
    /// Fails with BadInput when the incarnation or the name is missing, or a time or number is zero.
    static Core::Result<Protocol> create(Settings const&, Profile self, std::uint64_t incarnation, std::uint64_t seed, TimePoint now);

    /// Applies a new VM list. Its daemons are probed, but count as alive only after a record of them arrives.
    void handleVmList(std::vector<ListedVm> const&, TimePoint now);
    /// Handles a received message. Fails with Corrupt, and changes nothing, when it cannot be parsed.
    Core::Result<Output> handleMessage(std::string_view bytes, TimePoint now);
    /// Handles a failed delivery: a direct probe of that member expires at once, which starts the indirect probe.
    void handleUnreachable(std::uint64_t to, TimePoint now);
    /// Runs due timers. Must be called at `nextDeadline()` and after the calls above.
    Output advance(TimePoint now);
    TimePoint nextDeadline() const;

    /// Sets the load that is reported to other members.
    void setLoad(Load const&, TimePoint now);
    /// Announces that this daemon accepts no new work.
    void startLeaving(TimePoint now);
    /// Announces that this process ends. Only getters may be called afterwards.
    Output leave(TimePoint now);

    MemberTable const& table() const { return m_table; }
    LoadTable const& loads() const { return m_loads; }
    Record const& self() const { return m_self; }
    Profile const& profile() const { return m_profile; }
    /// Returns and clears the changes since the last call.
    std::vector<Change> takeChanges() { return m_table.takeChanges(); }
    /// Returns whether there are other members but none has answered for `isolationTimeout`. An isolated daemon
    /// declares no member dead and keeps their last known state.
    bool isIsolated(TimePoint now) const;
    /// Returns the incarnation of a later process with this name, or 0. If not 0, this process should exit.
    std::uint64_t supersededBy() const { return m_supersededBy; }
    /// Returns whether the member answers other members but not this daemon.
    bool isLinkDown(std::uint64_t id) const { return m_prober.isLinkDown(id); }
    /// Returns the members that this daemon probes and pushes changes to.
    std::vector<std::uint64_t> const& neighbours();
    /// Returns the total load of the zones of a region and the number of daemons it covers.
    ZoneLoad regionLoad(std::string_view region, TimePoint now) const;

private:
    Protocol(Settings const&, Profile self, std::uint64_t incarnation, std::uint64_t seed, TimePoint now);

    void updateTime(TimePoint now);
    void applyAll(Message const&, TimePoint now);
    void apply(Record const&, TimePoint now);
    void handleClaimAboutSelf(Record const&);
    void applyLoads(Message const&, TimePoint now);
    void handleAck(Message const&, Output&, TimePoint now);
    void handleProbeRequest(Message const&, Output&, TimePoint now);
    Message makeReply(Message const&, TimePoint now);
    void answerSync(Message const&, Message& reply, TimePoint now);
    void syncWith(Message const&, Output&);
    void sendWantedRecords(Message const&, Output&, TimePoint now);
    void sendProfiles(Message const&, Output&);

    void handleExpired(Prober::Probe const&, Output&, TimePoint now);
    void sendProbeRequests(Prober::Probe const&, Output&, TimePoint now);
    void startProbe(Output&, TimePoint now);
    void verifyDeathClaim(Output&, TimePoint now);
    bool isUnverifiedDeath(Record const&) const;
    void probeAbsentMember(Output&, TimePoint now);
    void expireSuspicions(TimePoint now);
    void push(Output&, TimePoint now);
    void queuePush(std::uint64_t id, TimePoint now);
    std::vector<std::uint64_t> takeQueuedPushes();

    Message make(Kind);
    Message makeProbe(Member const&, TimePoint now);
    void addPiggybackedRecords(Message&);
    void addLoads(Message&, std::uint32_t zone, TimePoint now);
    void addClaimsAboutReceiver(Message&, Record const& to) const;
    void send(Output&, std::uint64_t to, Message const&);
    void sendBudgeted(Output&, std::uint64_t to, Message const&, ByteBudget&);
    std::array<std::uint32_t, bucketCount> const& buckets();
    std::uint64_t digest();
    std::uint64_t preferredAggregator(std::uint32_t zone);
    std::vector<std::uint64_t> idsWhere(std::function<bool(Member const&)> const&) const;
    std::uint64_t pickOne(std::vector<std::uint64_t> const&);

    Settings m_settings;
    Profile m_profile;
    Record m_self;
    std::uint32_t m_zone;
    std::mt19937_64 m_random;
    MemberTable m_table;
    LoadTable m_loads;
    Prober m_prober;
    ByteBudget m_pushBudget;
    ByteBudget m_syncBudget;
    std::set<std::uint64_t> m_queuedPushes;
    std::map<std::uint64_t, int> m_piggybackCounts; ///< How many more probes and replies carry the record of each member.
    std::size_t m_arrivals { 0 }; ///< Records of alive members merged in this period, except refutations.
    std::map<std::uint64_t, Record> m_deathClaims; ///< Unverified claims that a member that is alive here is dead.
    std::unordered_map<std::uint32_t, std::uint64_t> m_aggregators;
    std::uint64_t m_aggregatorsGeneration { 0 };
    std::vector<std::uint64_t> m_neighbours;
    std::size_t m_nextNeighbour { 0 };
    std::uint64_t m_neighboursGeneration { 0 };
    std::uint64_t m_bucketsGeneration { 0 };
    std::uint32_t m_bucketsVersion { 0 };
    std::array<std::uint32_t, bucketCount> m_buckets {};
    std::uint64_t m_supersededBy { 0 };
    bool m_isJoining { true };
    TimePoint m_started;
    TimePoint m_lastTime;
    TimePoint m_lastWake;
    TimePoint m_lastRoundTrip;
    TimePoint m_nextPeriod;
    TimePoint m_nextAbsentProbe;
    TimePoint m_pushAt;
    TimePoint m_lastSuspicionCheck;
};

}
