#pragma once

#include "FakeEngine.h"
#include <LibAuthority/ClosedEngines.h>
#include <LibAuthority/LeaseFold.h>
#include <LibAuthority/PoolOrders.h>
#include <deque>
#include <string>
#include <vector>

namespace Authority {

/// Simulates daemons with a shared log and one pool of two engines, of which the first checks fencing tokens. The test
/// controls every step: it advances the clock, and appends and writes wait until it delivers them.
struct PoolSimulation {
    static constexpr std::size_t engineCount = 2;

    struct Write {
        std::size_t engine { 0 };
        EngineAction action;
    };

    /// One daemon process.
    struct Daemon {
        Holder self;
        PoolOrders pool;
        LeaseFold fold;
        ClosedEngines closed;
        std::deque<Write> pendingWrites; ///< Writes that passed their lease check and were not sent yet.
        bool isPaused { false };
    };

    Time now;
    std::vector<std::string> log;
    bool isLogDown { false };
    std::vector<std::string> appends; ///< In flight.
    std::vector<FakeEngine> engines { engineCount };
    std::vector<Daemon> daemons;
    std::uint64_t started { 0 };
    DesiredEngineState desired { State::Role::Decode, std::nullopt, std::nullopt, std::nullopt };

    explicit PoolSimulation(std::size_t daemonCount)
    {
        engines[0].checksFencing = true;
        for (std::size_t n = 0; n < daemonCount; ++n)
            daemons.push_back(start(n));
    }

    static PoolSettings settings()
    {
        PoolSettings settings;
        settings.maximumConcurrentChanges = engineCount;
        settings.loadsPerMinute = 600;
        return settings;
    }

    Daemon start(std::size_t n)
    {
        std::string name = "entry-" + std::to_string(n);
        Holder self { name, name + ":1", std::to_string(++started) };
        Daemon daemon { self, PoolOrders(settings(), "p", self, started, now), LeaseFold(), ClosedEngines(), {}, false };
        daemon.pool.setCandidate(true, static_cast<std::uint32_t>(n));
        daemon.pool.setEngines({ { "0", engines[0].checksFencing }, { "1", engines[1].checksFencing } });
        daemon.pool.observeLease(nullptr, now);
        return daemon;
    }

    /// Kills the daemon's process and starts another in its place.
    void restart(std::size_t n) { daemons[n] = start(n); }

    void read(std::size_t n, std::size_t records = 1000)
    {
        Daemon& daemon = daemons[n];
        while (!daemon.isPaused && !isLogDown && records-- > 0 && daemon.fold.nextOffset() < log.size()) {
            static_cast<void>(daemon.fold.apply(daemon.fold.nextOffset(), log[daemon.fold.nextOffset()]));
            daemon.pool.observeLease(daemon.fold.find("p"), now);
        }
    }

    /// Runs the daemon's control thread once: reads are done at once, appends and writes are queued.
    void poll(std::size_t n)
    {
        Daemon& daemon = daemons[n];
        if (daemon.isPaused)
            return;
        daemon.pool.setRouters(routers());
        for (Daemon const& other : daemons) {
            if (daemon.pool.needsEvidence() && !other.isPaused)
                daemon.pool.observeAnswer(other.self.address, other.self.incarnation, now);
        }
        for (std::size_t k = 0; k < engineCount; ++k)
            daemon.pool.setDesiredState(std::to_string(k), desired);
        for (PoolAction const& action : daemon.pool.poll(now)) {
            if (LeaseRecord const* record = std::get_if<LeaseRecord>(&action))
                appends.push_back(encode(*record));
            else
                perform(daemon, std::get<EngineCommand>(action));
        }
    }

    void perform(Daemon& daemon, EngineCommand const& command)
    {
        std::size_t k = std::stoul(command.engine);
        if (command.action.kind == EngineActionKind::Read)
            daemon.pool.observeEngine(command.engine, engines[k].read(now), now);
        else if (command.action.kind == EngineActionKind::Close)
            close(daemon, command);
        else if (command.action.kind != EngineActionKind::Open)
            daemon.pendingWrites.push_back({ k, command.action });
    }

    std::vector<Router> routers() const
    {
        std::vector<Router> all;
        for (Daemon const& daemon : daemons)
            all.push_back({ daemon.self.daemon, daemon.self.incarnation });
        return all;
    }

    void close(Daemon& holder, EngineCommand const& command)
    {
        EngineAction const& action = command.action;
        for (Daemon& daemon : daemons) {
            if (!daemon.isPaused && daemon.closed.close(command.engine, action.fencing, action.round, now, action.timeToLive))
                holder.pool.acknowledgeClose(command.engine, { daemon.self.daemon, daemon.self.incarnation }, action.round, now);
        }
    }

    /// Sends the oldest pending write without another lease check: it was checked when it was queued.
    void write(std::size_t n, bool isReplyLost = false)
    {
        Daemon& daemon = daemons[n];
        if (daemon.isPaused || daemon.pendingWrites.empty())
            return;
        Write write = daemon.pendingWrites.front();
        daemon.pendingWrites.pop_front();
        OrderOutcome outcome = engines[write.engine].write(write.action);
        daemon.pool.recordOrderOutcome(std::to_string(write.engine), write.action.orderId, isReplyLost ? OrderOutcome::Unknown : outcome, now);
    }

    /// Adds the append at index `n` of those in flight to the log.
    void deliver(std::size_t n = 0)
    {
        if (isLogDown || n >= appends.size())
            return;
        log.push_back(appends[n]);
        appends.erase(appends.begin() + static_cast<std::ptrdiff_t>(n));
    }

    /// Runs all daemons that are not paused, the log and the engines for `seconds` seconds.
    void run(int seconds)
    {
        while (seconds-- > 0) {
            now += std::chrono::seconds(1);
            for (std::size_t n = 0; n < daemons.size(); ++n) {
                for (int k = 0; k < 3; ++k) {
                    poll(n);
                    write(n);
                    write(n);
                }
            }
            while (!isLogDown && !appends.empty())
                deliver();
            for (std::size_t n = 0; n < daemons.size(); ++n)
                read(n);
            for (FakeEngine& engine : engines)
                engine.finish();
        }
    }

    LeaseKeeper const& keeper(std::size_t n) const { return daemons[n].pool.keeper(); }
    EngineOrders const& orders(std::size_t n, std::size_t engine) const { return *daemons[n].pool.find(std::to_string(engine)); }

    std::size_t holders() const
    {
        std::size_t n = 0;
        for (Daemon const& daemon : daemons)
            n += daemon.pool.keeper().mayOrder(now) ? 1 : 0;
        return n;
    }

    /// Returns whether all engines are in the desired state.
    bool isConverged() const
    {
        bool all = true;
        for (FakeEngine const& engine : engines)
            all = all && engine.phase == EnginePhase::Serving && isSatisfied(desired, engine.read(now));
        return all;
    }
};

}
