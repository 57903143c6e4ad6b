#pragma once

#include "FakeEngine.h"
#include <LibAuthority/ClosedEngines.h>
#include <LibAuthority/EvidenceFinder.h>
#include <LibAuthority/LeaseFold.h>
#include <LibAuthority/LeaseKeeper.h>
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
        LeaseKeeper keeper;
        LeaseFold fold;
        std::vector<EngineOrders> orders;
        ClosedEngines closed;
        EvidenceFinder finder { std::chrono::seconds(30) };
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
    TokenBucket weights { 600, 10, Time() };

    explicit World(std::size_t daemonCount)
    {
        engines[0].checksFencing = true;
        for (std::size_t n = 0; n < daemonCount; ++n)
            daemons.push_back(start(n));
    }

    Daemon start(std::size_t n)
    {
        std::string name = "entry-" + std::to_string(n);
        Holder self { name, name + ":1", std::to_string(++started) };
        Daemon daemon { self, LeaseKeeper(LeaseSettings(), "p", self, started), LeaseFold(),
            std::vector<EngineOrders>(engineCount, EngineOrders(OrderSettings())), ClosedEngines(), EvidenceFinder(std::chrono::seconds(30)), {}, false };
        daemon.keeper.setCandidate(true, static_cast<std::uint32_t>(n));
        daemon.keeper.observe(nullptr, now);
        return daemon;
    }

    /// The process is killed, and another one takes its place.
    void restart(std::size_t n) { daemons[n] = start(n); }

    void read(std::size_t n, std::size_t records = 1000)
    {
        Daemon& daemon = daemons[n];
        while (!daemon.isPaused && !isLogDown && records-- > 0 && daemon.fold.nextOffset() < log.size()) {
            static_cast<void>(daemon.fold.apply(daemon.fold.nextOffset(), log[daemon.fold.nextOffset()]));
            daemon.keeper.observe(daemon.fold.find("p"), now);
            takeAuthority(daemon);
        }
    }

    void takeAuthority(Daemon& daemon)
    {
        for (std::size_t n = 0; n < engineCount; ++n) {
            if (daemon.keeper.fencing())
                daemon.orders[n].gainAuthority(*daemon.keeper.fencing(), engines[n].checksFencing, daemon.fold.find("p")->unsettled);
            else
                daemon.orders[n].loseAuthority();
        }
    }

    /// The daemon's control thread runs once: it appends and reads at once, and holds its writes.
    void poll(std::size_t n)
    {
        Daemon& daemon = daemons[n];
        if (daemon.isPaused)
            return;
        bool hasUnanswered = daemon.orders[0].hasUnansweredOrder() || daemon.orders[1].hasUnansweredOrder();
        if (std::optional<LeaseRecord> record = daemon.keeper.poll(now, hasUnanswered))
            appends.push_back(encode(*record));
        appendEvidence(daemon);
        for (std::size_t k = 0; k < engineCount; ++k)
            pollOrders(daemon, k);
    }

    void pollOrders(Daemon& daemon, std::size_t k)
    {
        EngineOrders& orders = daemon.orders[k];
        orders.setWish(wish);
        orders.setRouters(routers());
        std::optional<EngineAction> action = orders.poll(now, daemon.keeper.mayOrder(now), true, weights);
        if (!action)
            return;
        if (action->kind == EngineActionKind::Read)
            orders.observe(engines[k].read(now), now);
        else if (action->kind == EngineActionKind::Close)
            close(orders, k, *action);
        else if (action->kind != EngineActionKind::Open)
            daemon.held.push_back({ k, *action });
    }

    std::vector<Router> routers() const
    {
        std::vector<Router> all;
        for (Daemon const& daemon : daemons)
            all.push_back({ daemon.self.daemon, daemon.self.incarnation });
        return all;
    }

    void close(EngineOrders& orders, std::size_t k, EngineAction const& action)
    {
        for (Daemon& daemon : daemons) {
            if (!daemon.isPaused && daemon.closed.close(std::to_string(k), action.fencing, action.round, now, action.timeToLive))
                orders.acknowledgeClose({ daemon.self.daemon, daemon.self.incarnation }, action.round, now);
        }
    }

    /// The holder asks at the addresses of former holders who is there now.
    void appendEvidence(Daemon& daemon)
    {
        Lease const* lease = daemon.fold.find("p");
        if (!lease || !daemon.keeper.fencing())
            return;
        daemon.finder.observeUnsettled(lease->unsettled, now);
        for (Daemon const& other : daemons) {
            if (!other.isPaused)
                daemon.finder.observeAnswer(other.self.address, other.self.incarnation, now);
        }
        for (Finding const& finding : daemon.finder.findings())
            appends.push_back(encode(Settlement { "p", lease->fencing, finding.formerFencing, finding.evidence }));
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
        daemon.orders[write.engine].answerOrder(write.action.orderId, losesReply ? OrderAnswer::Unknown : answer, now);
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

    std::size_t holders() const
    {
        std::size_t n = 0;
        for (Daemon const& daemon : daemons)
            n += daemon.keeper.mayOrder(now) ? 1 : 0;
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
