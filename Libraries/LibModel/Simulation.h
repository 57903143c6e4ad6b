#pragma once

#include <LibModel/Engine.h>
#include <LibModel/Entry.h>
#include <LibModel/Figures.h>
#include <LibModel/Gate.h>
#include <LibModel/Scenario.h>
#include <LibRoles/FleetView.h>
#include <LibRouting/Settings.h>
#include <functional>
#include <span>

namespace Model {

/// What a run is made of beside its scenario.
struct RunSettings {
    Routing::Settings routing;
    std::vector<Routing::TargetRole> roles; ///< At the start, one for each engine.

    /// Called once a second of virtual time: the role planner of the daemon, or an oracle. Empty: roles are fixed.
    std::function<std::vector<Roles::RoleChange>(Roles::FleetView const&, double seconds)> plan;

    /// Asked on arrival with the estimated seconds until the first token: false sheds the request.
    std::function<bool(Job const&, double waitSeconds, Time now)> admit;

    /// Entries tell each other every 0.2 s what they sent; of so many prompt tokens and more, at once. 0: never.
    std::uint32_t tellAtOnceTokens { 1000 };

    /// Entries let requests in by the daemon's admission: limits per organisation, and a fair queue in which
    /// requests whose wait would be too long spend a short time. Otherwise those are shed at once.
    bool isFair { false };
    Gate::Settings gate;

    double retryShare { 0.1 }; ///< Retries after a crash, at most this share of the requests accepted.
    std::uint64_t seed { 1 };
};

/// Runs one scenario in virtual time: entries with the daemon's own routing code before a few engines.
/// The same settings give the same figures.
class Simulation {
public:
    Simulation(Scenario const&, RunSettings);

    Figures run();

private:
    enum class Kind : std::uint8_t {
        Arrival,
        IterationEnd,
        Transferred,
        ReportTaken,
        ReportDelivered,
        CacheEvent,
        PeerCounts,
        PeerTold,
        Plan,
        Changed,
        EngineLost,
        ZoneLost,
        GatesPoked,
    };

    struct Event {
        Time time;
        std::uint64_t order;
        Kind kind;
        std::uint32_t index;
        std::uint32_t version;
        bool operator>(Event const& other) const { return std::pair(time, order) > std::pair(other.time, other.order); }
    };

    struct Slot {
        Engine engine;
        Roles::EngineState state { Roles::EngineState::Serving };
        Routing::TargetRole nextRole { Routing::TargetRole::Mixed };
        std::uint32_t version { 0 }; ///< Raised by a crash: its iteration never ends.
        Routing::LoadReport lastReport {};
    };

    struct CacheNote {
        std::uint32_t engine;
        std::uint64_t hash;
        bool isStored;
    };

    struct PeerNote {
        std::size_t from;
        std::uint32_t engine;
        Routing::LoadCounts counts;
    };

    void schedule(Time, Kind, std::uint32_t index = 0, std::uint32_t version = 0);
    void handle(Event const&);
    void arrive(Job&);
    void enterGate(Job&);
    bool isInTime(Job const&, Entry&, Routing::Decision const&);
    std::optional<std::uint32_t> placeFor(Job const&, Entry&);
    void accept(Job&, std::uint32_t engine);
    Gate::Hooks makeHooks(std::uint32_t entry);
    std::uint32_t indexOf(Job const& job) const { return static_cast<std::uint32_t>(&job - m_jobs.data()); }
    void dispatch(Job&, Entry&, std::uint32_t engine, bool hasPrompt);
    void placeOutput(Job&);
    void wake(std::uint32_t engine);
    void endIteration(std::uint32_t engine);
    void finish(Job&);
    void close(Job&, Outcome);
    void takeReports();
    void deliverReports();
    void exchangeCounts();
    void deliverNote();
    void makePlan();
    void startChange(Roles::RoleChange const&);
    void continueChange(std::uint32_t engine);
    void loseEngine(std::uint32_t engine);
    void loseZone();
    void noteInterval();
    Routing::Phase startingPhase() const;
    Entry& entryOf(Job const&);
    bool isCounted(Job const&) const;

    Scenario m_scenario;
    RunSettings m_settings;
    Routing::Router m_router;
    std::vector<Job> m_jobs;
    std::vector<Slot> m_slots;
    std::vector<EngineFacts> m_facts;
    std::vector<Entry> m_entries;
    std::vector<Gate> m_gates;
    std::vector<bool> m_isEntryLost;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_order { 0 };
    Time m_now;
    std::size_t m_open { 0 };
    std::uint64_t m_accepted { 0 };
    std::mt19937_64 m_rng;
    std::deque<std::vector<Routing::LoadReport>> m_reports;
    std::deque<CacheNote> m_cacheNotes;
    std::deque<PeerNote> m_peerNotes;
    std::vector<Engine::Event> m_happenings;
    Roles::MixCounts m_counts;
    Figures m_figures;
};

/// What every scenario's requests are held to. The first token: 0.89 s, and for the prompt the time that
/// an idle engine without cache needs.
double firstTokenLimitSeconds(Job const&, EngineSettings const&);

}
