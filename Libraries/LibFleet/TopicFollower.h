#pragma once

#include <LibFleet/ReadTurn.h>
#include <LibFleet/StoreReplica.h>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Fleet {

/// How a topic of the store is followed.
struct TopicFollowerSettings {
    ReadTurnSettings pace;
    std::chrono::milliseconds wait { 0 }; ///< How long a read waits for news, at most.
    /// A copy that nobody has confirmed for this long is confirmed by a read of this daemon's own: at a random moment between
    /// the two, so that one of many daemons reads first and tells the others. Zero: the topic's age is of no concern.
    std::chrono::milliseconds staleAfter { 0 };
    std::chrono::milliseconds staleAtLatest { 0 };
    std::chrono::milliseconds retryDelay { 200 }; ///< After a read that failed.
    /// Daemons that do not read all the time try again at a random moment of a time that grows with their number, so that the
    /// site as a whole makes some ten calls a second, and of `longestRetryDelay` at most.
    std::chrono::milliseconds retryDelayPerDaemon { 200 };
    std::chrono::milliseconds longestRetryDelay { 2'000 };
    /// A peer that did not answer is not asked again for this long, unless nobody else can be.
    std::chrono::milliseconds peerRest { 2'000 };
    /// A daemon that reads all the time asks a peer for news that its own read has not brought by then.
    std::chrono::milliseconds ownReadTime { 200 };
    /// A read that has not been answered for this long behind its own wait brings no news.
    std::chrono::milliseconds slack { 500 };
    std::string daemon; ///< This daemon's name.
    std::string availabilityZone; ///< This daemon's.

    /// Returns settings with which a daemon that reaches the store acts on news of a topic within a time, whatever its peers do.
    static TopicFollowerSettings create(ReadTurnSettings const& pace, std::chrono::milliseconds newsWithin);
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

    /// What a peer says of its own copy of the topic; nothing: it does not know how old it is.
    using AgeOf = std::function<std::optional<std::chrono::milliseconds>(DaemonState const&)>;

    /// `seed` differs from daemon to daemon, so that they do not read at one moment.
    TopicFollower(TopicFollowerSettings const&, NewsTest, AgeOf, std::uint64_t seed);

    /// Takes what a peer says. One that knows no more than this daemon confirms its copy.
    void hear(DaemonState const&, Time now);

    /// Returns the question that is to be put to a peer now, if there is one. It is under way until `takeAnswer` or `noteNoAnswer`;
    /// a read of the store may be under way meanwhile.
    std::optional<PeerQuestion> beginQuestion(DaemonBook const&, SiteView const&, Time now);

    /// Takes a peer's answer and how old the peer's copy was. Returns the records that are news. Precondition: a question is under way.
    std::vector<Platform::KeyedRecord> takeAnswer(StoreReplica::Extract const&, std::optional<std::chrono::milliseconds> age);

    /// Notes that the peer did not answer, or does not know the topic. Precondition: a question is under way.
    void noteNoAnswer(Time now);

    /// Returns the read of the store that is to be made now, if there is one. It is under way until `takeRead` or `noteFailedRead`;
    /// a question to a peer may be under way meanwhile.
    std::optional<StoreRead> beginRead(SiteView const&, Time now);

    /// Take what the store answered. Return the records that are news. Precondition: a read is under way.
    std::vector<Platform::KeyedRecord> takeRead(Platform::KeyedBatch const&, Time now);
    std::vector<Platform::KeyedRecord> takeRead(Platform::KeyedPage const&, Time now);

    /// Notes that the store did not answer. Precondition: a read is under way.
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

    /// Returns how old the copy may be: whatever the store had taken so long ago is in it. Nothing: that is not known.
    std::optional<std::chrono::milliseconds> age(Time now) const;

    /// Returns until when whatever the store had taken is in the copy; nothing: that is not known.
    std::optional<Time> asOf() const { return m_asOf; }

private:
    std::optional<StoreCallReason> dueReason(SiteView const&, Time now);
    bool isStale(Time now) const;
    void confirm(Time asOf);
    void noteRead(Time now);
    std::chrono::milliseconds randomTime(std::chrono::milliseconds least, std::chrono::milliseconds most);
    std::chrono::milliseconds nextWait(Time now) const;
    BookedDaemon const* tellerOf(DaemonBook const&, Time now) const;

    TopicFollowerSettings m_settings;
    NewsTest m_isNews;
    AgeOf m_ageOf;
    ReadTurn m_turn;
    std::mt19937_64 m_random;
    StoreReplica m_replica;
    std::optional<StoreRead> m_read; ///< The one under way.
    Time m_readSentAt {};
    Time m_pagesSentAt {}; ///< When the first of the parts was asked for that make up the newest records.
    std::optional<PeerQuestion> m_question; ///< The one under way.
    Time m_askedAt {};
    Time m_nextQuestionAt {}; ///< After one that was answered; another peer than a silent one is asked at once.
    std::optional<Time> m_newsSince; ///< Since when a peer is known to know more.
    std::size_t m_vainQuestions { 0 }; ///< Since this daemon last knew all that it had heard of.
    std::map<std::string, Time> m_silentPeers; ///< When they were asked in vain.
    Time m_retryAt {}; ///< When the store may be asked again after a failure.
    Time m_readAt {};
    std::optional<Time> m_failingSince;
    std::optional<Time> m_asOf; ///< Whatever the store had taken by then is in the copy.
    std::chrono::milliseconds m_staleAfter { 0 }; ///< Drawn from the settings' two bounds for each read.
};

}
