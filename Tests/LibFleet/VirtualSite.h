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

/// What is done to a daemon from outside for some time.
enum class Fault : std::uint8_t {
    Freeze, ///< It stands still; what is sent to it waits.
    StoreCut, ///< Nothing passes between it and the store; calls hang.
    PeerCut, ///< Nothing passes between it and the other daemons.
    Restart, ///< It is killed, and starts anew at the end.
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
    std::chrono::milliseconds newsWithin { 3'000 }; ///< How soon after a change in the store every daemon is to act on it.
    double beaconLoss { 0.025 };
    std::uint64_t seed { 1 };
};

/// A site of daemons in virtual time: the product's own book, turns, followers and replicas, over a network and a store that
/// the test disturbs. What StoreControl does with sockets and timers is done here with events.
class VirtualSite {
public:
    explicit VirtualSite(VirtualSiteSettings const&);
    ~VirtualSite();

    /// Has a fault strike a daemon from `from` to `to`. Precondition: `from` has not passed.
    void strike(std::size_t daemon, Fault, Time from, Time to);

    /// Has the store take the change of a target at a moment.
    void change(Time at);

    void run(Time until);

    Time now() const { return m_now; }
    std::size_t storeCalls() const { return m_storeCalls; }
    std::size_t beacons() const { return m_beacons; }
    std::string const& nameOf(std::size_t daemon) const;

    /// A daemon that did not know of a change in time although nothing had been done to it.
    struct Breach {
        std::string daemon;
        Time changedAt;
        std::optional<std::chrono::milliseconds> knownAfter; ///< Nothing: it never was.
    };

    /// Returns who did not know a change within `within`, of those daemons that no fault had touched for `calmTime` by then.
    std::vector<Breach> breaches(std::chrono::milliseconds within, std::chrono::milliseconds calmTime) const;

    /// Returns the longest time that a daemon which was not touched took to know of a change, among those that knew of it at all.
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
    std::optional<Time> thawOf(std::size_t daemon, Time) const;
    bool isUntouched(std::size_t daemon, Time from, Time to) const;
    void start(Daemon&);
    void look(Daemon&);
    void tick(Daemon&);
    void tellSoon(Daemon&);
    void sendBeacons(Daemon&);
    void sendRegularly(Daemon&);
    void receive(Daemon&, Platform::ListedDaemon const&, std::uint64_t sequence, DaemonState const&);
    DaemonState describe(Daemon const&) const;
    bool isReading(Daemon const&) const;
    void ask(Daemon&, PeerQuestion const&);
    void read(Daemon&, StoreRead const&);
    void answerRead(Daemon&, StoreRead const&, std::uint64_t call);
    void fail(Daemon&, std::uint64_t call);
    void take(Daemon&, std::vector<Platform::KeyedRecord> const&);
    std::chrono::milliseconds transit();

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
};

}
