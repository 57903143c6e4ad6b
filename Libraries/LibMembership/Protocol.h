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

/// What the protocol wants sent.
struct Output {
    std::optional<std::string> reply; ///< The answer to the message just handled, on the same stream.
    std::vector<Outgoing> messages;
};

/// Which daemons there are, which of them live, and what load they have. Each watches a few others, so the cost
/// does not grow with their number. docs/design/membership.md says how and why.
///
/// Pure: it gets the time with each call, sends nothing itself and reads no clock. Times must not go back.
/// Not thread-safe: it belongs to the control thread.
class Protocol {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Creates the protocol of a process that starts at `now`. `incarnation` must be greater than that of each
    /// earlier process with this name (milliseconds since 1970 will do); `seed` should differ between processes.
    /// Fails with BadInput when the incarnation or the name is missing, or a time or number is zero.
    static Core::Result<Protocol> create(Settings const&, Profile self, std::uint64_t incarnation, std::uint64_t seed, TimePoint now);

    /// Takes the daemons of a VM list as just read. They are probed, but not taken as alive until heard of.
    void handleList(std::vector<ListedVm> const&, TimePoint now);
    /// Takes a message. Fails with Corrupt when it cannot be read; nothing has changed then.
    Core::Result<Output> handleMessage(std::string_view bytes, TimePoint now);
    /// Takes note that a message could not be delivered: others are asked at once.
    void handleUnreachable(std::uint64_t to, TimePoint now);
    /// Does what is due. To be called at `nextDeadline()`, and after the calls above.
    Output advance(TimePoint now);
    TimePoint nextDeadline() const;

    /// Sets the load that others are told of.
    void setLoad(Load const&, TimePoint now);
    /// Tells the others that this daemon takes no new work.
    void startLeaving(TimePoint now);
    /// Tells the others that this process ends now. Nothing may be called afterwards but getters.
    Output leave(TimePoint now);

    MemberTable const& table() const { return m_table; }
    LoadTable const& loads() const { return m_loads; }
    Record const& self() const { return m_self; }
    Profile const& profile() const { return m_profile; }
    /// Returns and clears what has changed since the last call.
    std::vector<Change> takeChanges() { return m_table.takeChanges(); }
    /// Returns whether there are others but none has answered for `isolationTimeout`. While it is so, nobody is
    /// declared dead here: what was last known stands.
    bool isIsolated(TimePoint now) const;
    /// Returns the incarnation of a later process with this name, or 0. This process should then end.
    std::uint64_t supersededBy() const { return m_supersededBy; }
    /// Returns whether the member answers others but not this daemon.
    bool isLinkDown(std::uint64_t id) const { return m_prober.isLinkDown(id); }
    /// Returns the members that this daemon watches.
    std::vector<std::uint64_t> const& contacts();
    /// Returns the sum over the zones of a region and how many daemons it covers.
    ZoneLoad regionLoad(std::string_view region, TimePoint now) const;

private:
    Protocol(Settings const&, Profile self, std::uint64_t incarnation, std::uint64_t seed, TimePoint now);

    void noteTime(TimePoint now);
    void applyAll(Message const&, TimePoint now);
    void apply(Record const&, TimePoint now);
    void applyOwn(Record const&);
    void applyLoads(Message const&, TimePoint now);
    void handleAck(Message const&, Output&, TimePoint now);
    void handleProbeRequest(Message const&, Output&, TimePoint now);
    Message makeReply(Message const&, TimePoint now);
    void answerSync(Message const&, Message& reply, TimePoint now);
    void syncWith(Message const&, Output&);
    void sendWanted(Message const&, Output&, TimePoint now);
    void sendProfiles(Message const&, Output&);

    void handleExpired(Prober::Probe const&, Output&, TimePoint now);
    void askHelpers(Prober::Probe const&, Output&, TimePoint now);
    void startProbe(Output&, TimePoint now);
    void verifyDoubt(Output&, TimePoint now);
    bool isDoubted(Record const&) const;
    void heal(Output&, TimePoint now);
    void expireSuspicions(TimePoint now);
    void push(Output&, TimePoint now);
    void queuePush(std::uint64_t id, TimePoint now);
    std::vector<std::uint64_t> takePushes();

    Message make(Kind);
    Message makeProbe(Member const&, TimePoint now);
    void addNews(Message&);
    void addLoads(Message&, std::uint32_t zone, TimePoint now);
    void addAccusation(Message&, Record const& to) const;
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
    std::set<std::uint64_t> m_pushes;
    std::map<std::uint64_t, int> m_news; ///< How many more probes and answers are to carry the record.
    std::size_t m_arrivals { 0 }; ///< In this period.
    std::map<std::uint64_t, Record> m_doubts; ///< Claims that members which are alive here are dead.
    std::unordered_map<std::uint32_t, std::uint64_t> m_aggregators;
    std::uint64_t m_aggregatorsGeneration { 0 };
    std::vector<std::uint64_t> m_contacts;
    std::size_t m_nextContact { 0 };
    std::uint64_t m_contactsGeneration { 0 };
    std::uint64_t m_bucketsGeneration { 0 };
    std::uint32_t m_bucketsVersion { 0 };
    std::array<std::uint32_t, bucketCount> m_buckets {};
    std::uint64_t m_supersededBy { 0 };
    bool m_isNewcomer { true };
    TimePoint m_started;
    TimePoint m_lastTime;
    TimePoint m_lastWake;
    TimePoint m_lastRoundTrip;
    TimePoint m_nextPeriod;
    TimePoint m_nextHeal;
    TimePoint m_pushAt;
    TimePoint m_lastSuspicionCheck;
};

}
