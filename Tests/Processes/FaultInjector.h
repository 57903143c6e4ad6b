#pragma once

#include "KeyedSite.h"
#include "SentSignal.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Processes {

/// A span in which a process stood still, was gone without having been asked to stop or was made to fail, or in which a forwarder did
/// not pass all on at once.
struct Impairment {
    std::string process;
    std::chrono::steady_clock::time_point from;
    std::chrono::steady_clock::time_point until;
};

/// Does one thing after the other to the processes of a site and to their connections, and undoes each later. What is done,
/// to whom and when follows from the seed. Not thread-safe.
class FaultInjector {
public:
    static constexpr std::chrono::seconds stopWithin { 5 }; ///< What the daemons are told: they are killed after this.

    /// What it injects.
    enum class Faults : std::uint8_t {
        All,
        Planned, ///< Stops and configurations only.
    };

    /// Precondition: the site has forwarders and outlives the object.
    FaultInjector(KeyedSite&, std::uint64_t seed, Faults = Faults::All);

    /// Lets daemons also read their settings anew (SIGHUP), now and then.
    void setReloads(bool hasReloads) { m_hasReloads = hasReloads; }

    /// Injects faults for this long and then undoes what is left. Errors: std::runtime_error when a process cannot be started.
    void run(std::chrono::milliseconds duration);

    /// Returns a line for each fault, with its moment.
    std::vector<std::string> const& done() const { return m_done; }

    /// Returns the spans in which processes were impaired. Precondition: `run` has returned.
    std::vector<Impairment> const& impairments() const { return m_impairments; }

    /// Returns what daemons and targets were sent, in the order of time.
    std::vector<SentSignal> const& signals() const { return m_signals; }

    /// Returns a line for each daemon that ended though nobody had asked it to, or with an error. Precondition: `run` has returned.
    std::vector<std::string> const& ownEnds() const { return m_ownEnds; }

    /// Returns the version of the last configuration that was written.
    std::uint64_t version() const { return m_version; }

private:
    using Clock = std::chrono::steady_clock;
    using Milliseconds = std::chrono::milliseconds;
    using Action = std::function<void()>;

    Milliseconds between(int least, int most);
    std::size_t below(std::size_t n) { return m_rng() % n; }
    std::string anyTarget();
    std::string anyLink();
    void note(std::string text);
    void send(std::string const& name, int signal);
    void undoLater(Milliseconds after, Action undo);
    void undoUntil(Clock::time_point until);

    /// One fault at a time for each process and each link; different ones overlap.
    bool claim(std::string const& name) { return m_busy.insert(name).second; }

    void inject();
    void injectPlanned();
    void pause(std::string const& name);
    void restartDaemon(std::size_t n, int signal);
    void restartTarget(std::string const& name);
    void holdUp(std::string const& link);
    void slowDown();
    void cut(std::string const& link);
    void spoil();
    void reload();
    void checkAlive(std::string const& name);
    void configure();

    KeyedSite& m_site;
    Faults m_faults { Faults::All };
    bool m_hasReloads { false };
    std::mt19937_64 m_rng;
    std::mt19937_64 m_rateRng; ///< Of its own, so that the other faults of a seed are what they were before links had rates.
    Clock::time_point m_start;
    std::multimap<Clock::time_point, Action> m_undo;
    std::set<std::string> m_busy;
    std::vector<std::string> m_done;
    std::vector<Impairment> m_impairments;
    std::vector<SentSignal> m_signals;
    std::vector<std::string> m_ownEnds;
    std::uint64_t m_version { 1 };
};

}
