#pragma once

#include "FakeEngine.h"
#include <LibAuthority/ClosedEngines.h>
#include <LibAuthority/LeaseFold.h>
#include <LibAuthority/PoolOrders.h>
#include <deque>
#include <string>
#include <vector>

namespace Authority {

/// Daemons with one pool of two engines, one that checks numbers and one that doesn't, and a log between them.
/// Everything happens when a test says so: the clock is moved by hand, appends and writes wait until delivered.
struct World {
    static constexpr std::size_t engineCount = 2;

    struct Write {
        std::size_t engine { 0 };
        EngineAction action;
    };

    /// One process, from its start to its end.
    struct Daemon {
        Holder self;
        PoolOrders pool;
        LeaseFold fold;
        ClosedEngines closed;
        std::deque<Write> held; ///< Writes that were checked and not yet made.
        bool isPaused { false };
    };

    Time now;
    std::vector<std::string> log;
    bool isLogDown { false };
    std::vector<std::string> appends; ///< On their way.
    std::vector<FakeEngine> engines { engineCount };
    std::vector<Daemon> daemons;
    std::uint64_t started { 0 };
    EngineWish wish { State::Role::Decode, std::nullopt, std::nullopt, std::nullopt };

    explicit World(std::size_t daemonCount)
    {
        engines[0].checksFencing = true;
        for (std::size_t n = 0; n < daemonCount; ++n)
            daemons.push_back(start(n));
    }

    static PoolSettings settings()
    {
        PoolSettings settings;
        settings.changesAtOnce = engineCount;
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

    /// The process is killed, and another one takes its place.
    void restart(std::size_t n) { daemons[n] = start(n); }

    void read(std::size_t n, std::size_t records = 1000)
    {
        Daemon& daemon = daemons[n];
        while (!daemon.isPaused && !isLogDown && records-- > 0 && daemon.fold.nextOffset() < log.size()) {
            static_cast<void>(daemon.fold.apply(daemon.fold.nextOffset(), log[daemon.fold.nextOffset()]));
            daemon.pool.observeLease(daemon.fold.find("p"), now);
        }
    }

    /// The daemon's control thread runs once: it reads at once, and holds its appends and writes.
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
            daemon.pool.setWish(std::to_string(k), wish);
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
            daemon.held.push_back({ k, command.action });
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

    /// The oldest held write is made, with no check before it: that was done when it was given.
    void write(std::size_t n, bool losesReply = false)
    {
        Daemon& daemon = daemons[n];
        if (daemon.isPaused || daemon.held.empty())
            return;
        Write write = daemon.held.front();
        daemon.held.pop_front();
        OrderAnswer answer = engines[write.engine].write(write.action);
        daemon.pool.answerOrder(std::to_string(write.engine), write.action.orderId, losesReply ? OrderAnswer::Unknown : answer, now);
    }

    /// The oldest append takes effect.
    void deliver(std::size_t n = 0)
    {
        if (isLogDown || n >= appends.size())
            return;
        log.push_back(appends[n]);
        appends.erase(appends.begin() + static_cast<std::ptrdiff_t>(n));
    }

    /// Everything goes on for `seconds` seconds, for those that are not paused.
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

    /// Whether all engines are as wanted.
    bool isAsWanted() const
    {
        bool all = true;
        for (FakeEngine const& engine : engines)
            all = all && engine.phase == EnginePhase::Serving && isMet(wish, engine.read(now));
        return all;
    }
};

}
