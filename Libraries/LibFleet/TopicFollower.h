#pragma once

#include <LibFleet/ReadTurn.h>
#include <LibFleet/StoreReplica.h>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Fleet {

/// How a topic of the store is followed.
struct TopicFollowerSettings {
    ReadTurnSettings pace;
    std::chrono::milliseconds wait { 0 }; ///< How long a read waits for news.
    std::chrono::milliseconds retryDelay { 200 }; ///< After a read that failed.
    /// Three hundred daemons that start while the store is away are not to ask it five times a second each.
    std::chrono::milliseconds retryDelayPerDaemon { 10 };
    /// A read that has not been answered for this long behind its own wait brings no news.
    std::chrono::milliseconds slack { 500 };
    std::string daemon; ///< This daemon's name.
    std::string availabilityZone; ///< This daemon's.
};

/// A question to a peer: what is new of the topic.
struct PeerQuestion {
    BookedDaemon peer;
    StoreReplica::Step step;
};

/// A call to the store.
struct StoreRead {
    StoreReplica::Step step;
    std::chrono::milliseconds wait { 0 }; ///< For news; a read of the newest records does not wait.
    StoreCallReason reason { StoreCallReason::Start };
};

/// Keeps a copy of a topic up to date: says when to ask a peer and when to read the store, and takes what they answer.
/// Pure and not thread-safe.
class TopicFollower {
public:
    /// Whether a daemon that says this knows more of the topic than this one.
    using NewsTest = std::function<bool(DaemonState const&)>;

    /// `seed` differs from daemon to daemon, so that they do not read at one moment.
    TopicFollower(TopicFollowerSettings const&, NewsTest, std::uint64_t seed);

    /// Returns the question that is to be put to a peer now, if there is one. It is under way until `takeAnswer` or `noteNoAnswer`.
    std::optional<PeerQuestion> beginQuestion(DaemonBook const&, SiteView const&, Time now);

    /// Takes a peer's answer. Returns the records that are news.
    std::vector<Platform::KeyedRecord> takeAnswer(StoreReplica::Extract const&, SiteView const&, Time now);

    /// Notes that the peer did not answer, or does not know the topic.
    void noteNoAnswer(SiteView const&, Time now);

    /// Returns the read of the store that is to be made now, if there is one. It is under way until `takeRead` or `noteFailedRead`.
    std::optional<StoreRead> beginRead(SiteView const&, Time now);

    /// Take what the store answered. Return the records that are news.
    std::vector<Platform::KeyedRecord> takeRead(Platform::KeyedBatch const&, Time now);
    std::vector<Platform::KeyedRecord> takeRead(Platform::KeyedPage const&, Time now);

    /// Notes that the store did not answer.
    void noteFailedRead(SiteView const&, Time now);

    /// Returns when something may be due, although nothing is taken or noted until then.
    Time nextLook(Time now) const;

    /// Whether a peer is known to know more.
    bool hasNews(SiteView const& view) const { return m_isNews(view.newest); }

    /// Whether the store answered so lately that this daemon's reads can be said to bring the news.
    bool isReadLately(Time now) const;

    StoreReplica const& replica() const { return m_replica; }
    Time readAt() const { return m_readAt; } ///< When the store last answered.
    std::optional<Time> failingSince() const { return m_failingSince; } ///< Since when reads fail; nothing while they do not.

private:
    /// What is being done, or waited for.
    enum class Phase : std::uint8_t {
        Waiting, ///< For the topic's turn.
        Asking, ///< A peer, in place of the store.
        AskingAfterFailure, ///< A peer, as the store did not answer; then the store is asked again.
        Reading,
    };

    bool isDue(SiteView const&, Time now);
    void endTurn() { m_phase = Phase::Waiting; }
    void noteRead(Time now);
    BookedDaemon const* tellerOf(DaemonBook const&, Time now) const;

    TopicFollowerSettings m_settings;
    NewsTest m_isNews;
    ReadTurn m_turn;
    StoreReplica m_replica;
    Phase m_phase { Phase::Waiting };
    std::optional<StoreCallReason> m_due; ///< Why the store is to be read, once that is due.
    bool m_hasAsked { false }; ///< In this turn, in vain.
    bool m_asksAfterFailure { false };
    Time m_retryAt {}; ///< When the store may be asked again after a failure.
    Time m_readAt {};
    std::optional<Time> m_failingSince;
};

}
