#pragma once

#include <LibFleet/ReadTurn.h>
#include <LibFleet/RecordUploads.h>
#include <LibFleet/StoreReplica.h>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Fleet {

/// Controls how a topic of the store is followed.
struct TopicFollowerSettings {
    ReadTurnSettings pace;
    std::chrono::milliseconds wait { 0 }; ///< Maximum time that a read waits for new records.
    /// A copy that has not been confirmed is re-read by this daemon at a random age between these two, so that one of many
    /// daemons reads first and informs the others. Zero means that the topic's age does not matter.
    std::chrono::milliseconds staleAfter { 0 };
    std::chrono::milliseconds staleAtLatest { 0 };
    std::chrono::milliseconds retryDelay { 200 }; ///< Delay after a failed read.
    /// Daemons that are not readers retry at a random moment within a window that grows with their number, up to `maxRetryDelay`,
    /// so that the site as a whole makes about ten calls per second.
    std::chrono::milliseconds retryDelayPerDaemon { 200 };
    std::chrono::milliseconds maxRetryDelay { 2'000 };
    /// A peer that did not answer is not queried again for this long, unless no other peer is available.
    std::chrono::milliseconds peerBackoff { 2'000 };
    /// How long a daemon that was named as having new records counts as having them, before its own beacon says so.
    std::chrono::milliseconds referralTimeout { 2'000 };
    std::chrono::milliseconds minDeferral { 20 }; ///< A peer that deferred this daemon is not queried again for at least this long.
    /// A peer that had nothing new is not queried again for this long.
    std::chrono::milliseconds emptyAnswerDelay { 100 };
    /// A reader queries a peer for updates that its own read has not returned within this time.
    std::chrono::milliseconds ownReadTimeout { 200 };
    /// A read that is unanswered for this long past its wait no longer counts as delivering updates.
    std::chrono::milliseconds slack { 500 };
    std::string daemon; ///< Name of this daemon.
    std::string availabilityZone; ///< Availability zone of this daemon.

    /// Returns settings that let a daemon with a working store connection act on updates within `newsWithin`, whatever its peers
    /// do.
    static TopicFollowerSettings create(ReadTurnSettings const& pace, std::chrono::milliseconds newsWithin);
};

/// A query to a peer for new records of the topic.
struct PeerQuery {
    BookedDaemon peer;
    StoreReplica::Step step;
};

/// A call to the store.
struct StoreRead {
    StoreReplica::Step step;
    std::chrono::milliseconds wait { 0 }; ///< Wait for new records; a read of the newest records does not wait.
    StoreCallReason reason { StoreCallReason::Start };
};

/// Keeps a copy of a topic up to date: decides when to query a peer and when to read the store, and applies the answers.
/// Does no I/O and is not thread-safe.
class TopicFollower {
public:
    /// Whether a daemon that reports this state has newer records of the topic than this one.
    using NewsTest = std::function<bool(DaemonState const&)>;

    /// Returns the age that a peer reports for its copy of the topic according to its own reads; empty if the peer does not know it.
    using AgeOf = std::function<std::optional<std::chrono::milliseconds>(DaemonState const&)>;

    /// `seed` must differ between daemons so that they do not read simultaneously.
    TopicFollower(TopicFollowerSettings const&, NewsTest, AgeOf, std::uint64_t seed);

    /// Applies a peer's reported state. A peer without newer records confirms this daemon's copy.
    void hear(DaemonState const&, Time now);

    /// Starts a query to a peer if one is due, and returns it. It is pending until `takeAnswer` or `noteFailedPeerQuery`; a store
    /// read may be pending at the same time.
    std::optional<PeerQuery> beginPeerQuery(DaemonBook const&, SiteView const&, Time now);

    /// Applies a peer's answer, given the age of the peer's copy. Returns the new records. Precondition: a query is pending.
    std::vector<Platform::KeyedRecord> takeAnswer(StoreReplica::Extract const&, std::optional<std::chrono::milliseconds> age);

    /// Records that the peer is busy sending records to others. Precondition: a query is pending.
    void noteDeferral(Deferral const&, Time now);

    /// Records that the peer did not answer or does not know the topic. Precondition: a query is pending.
    void noteFailedPeerQuery(Time now);

    /// Starts a store read if one is due, and returns it. It is pending until `takeRead` or `noteFailedRead`; a peer query may be
    /// pending at the same time.
    std::optional<StoreRead> beginRead(SiteView const&, Time now);

    /// Apply the store's answer. Return the new records. Precondition: a read is pending.
    std::vector<Platform::KeyedRecord> takeRead(Platform::KeyedBatch const&, Time now);
    std::vector<Platform::KeyedRecord> takeRead(Platform::KeyedPage const&, Time now);

    /// Records that the store did not answer. Precondition: a read is pending.
    void noteFailedRead(SiteView const&, Time now);

    /// Returns when a query or read may become due without any further input.
    Time nextCheckAt(Time now) const;

    /// Returns when a peer that deferred this daemon may be queried again; empty if none did.
    std::optional<Time> nextDeferredQueryAt(Time now) const;

    /// Whether a peer is known to have newer records.
    bool hasNews(SiteView const& view) const { return m_isNews(view.newest); }

    /// Whether the store answered recently enough that this daemon's reads can be relied on for updates.
    bool isReadLately(Time now) const;

    StoreReplica const& replica() const { return m_replica; }
    Time readAt() const { return m_readAt; } ///< Time of the store's last answer.
    std::optional<Time> failingSince() const { return m_failingSince; } ///< Start of the current series of failed reads.

    /// Returns the copy's maximum age: it contains every change that the store had accepted by then. Empty if unknown.
    std::optional<std::chrono::milliseconds> age(Time now) const;

    /// Returns the copy's maximum age according to this daemon's own reads of the store. Daemons report it to their peers: an age
    /// that is passed on by several daemons is too low by the transit time of each beacon. Empty if there was no read.
    std::optional<std::chrono::milliseconds> ownReadAge(Time now) const;

    /// Returns the time up to which the copy contains every change that the store accepted; empty if unknown.
    std::optional<Time> asOf() const { return m_asOf; }

private:
    std::optional<StoreCallReason> dueReason(SiteView const&, Time now);
    bool isStale(Time now) const;
    void confirm(Time asOf);
    void confirmByRead(Time asOf);
    void noteNews(Time now);
    void noteRead(Time now);
    std::chrono::milliseconds randomTime(std::chrono::milliseconds least, std::chrono::milliseconds most);
    std::chrono::milliseconds nextWait(Time now) const;
    BookedDaemon const* choosePeer(DaemonBook const&, Time now) const;
    bool isCandidate(BookedDaemon const&, Time now) const;

    TopicFollowerSettings m_settings;
    NewsTest m_isNews;
    AgeOf m_ageOf;
    ReadTurn m_turn;
    std::mt19937_64 m_random;
    StoreReplica m_replica;
    std::optional<StoreRead> m_read; ///< The pending read.
    Time m_readSentAt {};
    Time m_firstPageSentAt {}; ///< When the first page of the newest records was requested.
    std::optional<PeerQuery> m_peerQuery; ///< The pending query.
    Time m_peerQueriedAt {};
    Time m_nextPeerQueryAt {}; ///< Applies after an answered query; after a timeout another peer is queried immediately.
    std::optional<Time> m_newsSince; ///< Since when a peer is known to have newer records.
    std::chrono::milliseconds m_maxDeferral { 0 }; ///< How long after `m_newsSince` peers may defer this daemon.
    std::size_t m_failedPeerQueries { 0 }; ///< Failed queries since this copy last caught up with all announced updates.
    std::map<std::string, Time> m_unresponsivePeers; ///< Time of the unanswered query, by peer.
    std::map<std::string, Time> m_queryPeerAt; ///< By peer that deferred this daemon or had nothing new: when to query it again.
    std::map<std::string, Time> m_referrals; ///< Time of the referral, by the daemon referred to.
    Time m_retryAt {}; ///< When the store may be read again after a failure.
    Time m_readAt {};
    std::optional<Time> m_failingSince;
    std::optional<Time> m_asOf; ///< The copy contains every change that the store accepted by then.
    std::optional<Time> m_readAsOf; ///< The same according to this daemon's own reads alone.
    std::chrono::milliseconds m_staleAfter { 0 }; ///< Chosen at random between the settings' two bounds for each read.
};

}
