#pragma once

#include <LibFleet/DaemonBook.h>
#include <LibFleet/TopicFollower.h>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Fleet {

/// A fault injected into a daemon for some time.
enum class Fault : std::uint8_t {
    Freeze, ///< The process is stalled; messages to it are queued.
    StoreCut, ///< Partitioned from the store; calls hang.
    PeerCut, ///< Partitioned from the other daemons.
    Restart, ///< The process is killed, and restarted at the end.
};

inline constexpr Core::EnumNames<Fault, 4> faultNames { {
    { Fault::Freeze, "freeze" },
    { Fault::StoreCut, "store cut" },
    { Fault::PeerCut, "peer cut" },
    { Fault::Restart, "restart" },
} };

struct VirtualSiteSettings {
    std::size_t daemons { 90 };
    std::size_t zones { 5 };
    std::chrono::milliseconds newsWithin { 3'000 }; ///< Deadline for every daemon to act on a store change.
    double beaconLoss { 0.025 };
    std::uint64_t linkBytesPerSecond { 0 }; ///< Bandwidth of each daemon's link, each way; 0 means unlimited.
    std::size_t recordBytes { 100 }; ///< Size of a changed record on the wire.
    std::uint64_t seed { 1 };
};

/// Simulates a site of daemons in virtual time: the production daemon registry, read scheduler, followers and replicas, on a
/// network and store with injected faults. Events stand in for the sockets and timers of StoreControl.
class VirtualSite {
public:
    explicit VirtualSite(VirtualSiteSettings const&);
    ~VirtualSite();

    /// Injects a fault into a daemon from `from` to `to`. Precondition: `from` has not passed.
    void strike(std::size_t daemon, Fault, Time from, Time to);

    /// Schedules a change of a target in the store.
    void change(Time at);

    void run(Time until);

    Time now() const { return m_now; }
    std::size_t storeCalls() const { return m_storeCalls; }
    std::size_t beacons() const { return m_beacons; }
    std::string const& nameOf(std::size_t daemon) const;

    /// A daemon that learned of a change too late although no fault had been injected into it.
    struct Breach {
        std::string daemon;
        Time changedAt;
        std::optional<std::chrono::milliseconds> knownAfter; ///< Empty if it never was.
    };

    /// Returns the daemons that did not learn of a change within `within`, among those without faults for `calmTime` by then.
    std::vector<Breach> breaches(std::chrono::milliseconds within, std::chrono::milliseconds calmTime) const;

    /// Returns by how much a daemon took its copy for younger than it was, at most: it counted as containing a change that it
    /// lacked.
    std::chrono::milliseconds worstAgeError() const { return std::chrono::ceil<std::chrono::milliseconds>(m_worstAgeError); }

    /// Returns the longest time that a message would have waited for a daemon's link to send what was queued before it.
    std::chrono::milliseconds longestLinkQueue() const { return std::chrono::ceil<std::chrono::milliseconds>(m_longestLinkQueue); }

    /// Returns the longest time that a daemon without faults took to learn of a change, among those that learned of it at all.
    std::chrono::milliseconds worstDelay(std::chrono::milliseconds calmTime) const;

private:
    struct Daemon;
    struct Strike {
        std::size_t daemon;
        Fault fault;
        Time from;
        Time to;
    };
    struct Change {
        std::string key;
        Time at;
        std::uint64_t offset;
        std::vector<std::optional<Time>> knownAt; ///< By daemon.
    };
    struct WaitingRead {
        std::uint64_t from;
        Time until;
        std::function<void()> answer;
    };
    struct Event {
        Time at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(Event const& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void at(Time, std::function<void()>);
    void atDaemon(Daemon&, Time, std::function<void()>);
    bool isStruck(std::size_t daemon, Fault, Time) const;
    std::optional<Time> thawTime(std::size_t daemon, Time) const;
    bool isUntouched(std::size_t daemon, Time from, Time to) const;
    void start(Daemon&);
    void look(Daemon&);
    void tick(Daemon&);
    void checkAge(Daemon const&);
    void tellSoon(Daemon&);
    void sendBeacons(Daemon&);
    void sendRegularly(Daemon&);
    void receive(Daemon&, Platform::ListedDaemon const&, std::uint64_t sequence, DaemonState const&);
    DaemonState describe(Daemon const&) const;
    bool isReading(Daemon const&) const;
    void ask(Daemon&, PeerQuery const&);
    void answerQuery(Daemon& asker, Daemon& peer, std::uint64_t question, StoreReplica::Step const&);
    void sendChunks(Daemon&);
    void awaitAnswer(Daemon&, std::uint64_t question);
    void endQuery(Daemon&, std::uint64_t question, std::function<void()> end);
    void read(Daemon&, StoreRead const&);
    void answerRead(Daemon&, StoreRead const&, std::uint64_t call);
    void fail(Daemon&, std::uint64_t call);
    void take(Daemon&, std::vector<Platform::KeyedRecord> const&);
    std::chrono::milliseconds transit();
    Time::duration transmissionTime(std::size_t bytes) const;
    Time send(Daemon&, std::size_t bytes);
    Time arrival(Daemon&, Time sentAt, std::size_t bytes);

    VirtualSiteSettings m_settings;
    std::mt19937_64 m_random;
    Time m_now;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order { 0 };
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<Strike> m_strikes;
    std::vector<Platform::KeyedRecord> m_log;
    std::vector<Change> m_changes;
    std::vector<WaitingRead> m_waiting;
    std::size_t m_storeCalls { 0 };
    std::size_t m_beacons { 0 };
    Time::duration m_longestLinkQueue { 0 };
    Time::duration m_worstAgeError { 0 };
};

}
