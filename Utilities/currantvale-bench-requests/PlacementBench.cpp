#include "Bench.h"
#include <LibDaemon/Dispatcher.h>
#include <LibState/Fold.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <random>

namespace Bench {

namespace {

constexpr std::uint64_t operations = 500;
constexpr std::uint32_t sharesPerPeer = 8;
constexpr std::chrono::seconds peerLifetime { 60 }; // Longer than a run: no peer lapses.

std::shared_ptr<Daemon::FleetSnapshot> fleetOf(std::uint32_t targetCount)
{
    std::shared_ptr<Daemon::FleetSnapshot> fleet = std::make_shared<Daemon::FleetSnapshot>();
    std::vector<State::PlatformTarget> targets;
    for (std::uint32_t n = 0; n < targetCount; ++n) {
        Daemon::FleetTarget target;
        target.id = n;
        target.key = n + 1;
        target.name = "e-" + std::to_string(n);
        target.model = "m";
        target.role = n % 5 == 0 ? Routing::TargetRole::Decode : Routing::TargetRole::Prefill;
        targets.push_back({ target.name, {} });
        fleet->targets.push_back(std::move(target));
    }
    fleet->view = State::TargetView::create(State::Config::create(State::Fold().state()), targets);
    return fleet;
}

double nanosecondsPerPlacement(std::uint32_t targetCount, std::uint32_t peerCount)
{
    Settings::DaemonSettings settings;
    settings.routing.policy = Routing::Policy::PromptHome;
    std::unique_ptr<Daemon::Dispatcher> dispatcher = Daemon::Dispatcher::create(settings, 1).value();
    std::shared_ptr<Daemon::FleetSnapshot> fleet = fleetOf(targetCount);
    dispatcher->setFleet(fleet);
    std::mt19937_64 random(1);
    for (std::uint32_t peer = 0; peer < peerCount; ++peer) {
        std::vector<Routing::TargetShare> shares;
        for (std::uint32_t n = 0; n < sharesPerPeer; ++n)
            shares.push_back({ random() % targetCount + 1, { 0.05, 1, 4'000 } });
        dispatcher->takePeerWork("daemon-" + std::to_string(peer), shares, peerLifetime);
    }
    Daemon::PlacementRequest request;
    request.organisation = "workshop";
    request.work = "m";
    request.shape.phase = Routing::Phase::WholeOrPrefill;
    request.shape.promptTokens = 4'000;
    request.shape.sharedTokens = 3'000;
    request.shape.prefixHash = 7;
    request.fleet = fleet;
    for (std::uint32_t n = 0; n < targetCount; ++n)
        request.allowed.push_back(n);
    request.latestStart = std::chrono::steady_clock::now() + std::chrono::hours(1);
    boost::asio::io_context context;
    return nanosecondsEach(operations, [&] {
        for (std::uint64_t n = 0; n < operations; ++n) {
            std::uint64_t id = dispatcher->nextId();
            boost::asio::co_spawn(
                context, [&dispatcher, request, &context, id]() -> boost::asio::awaitable<void> {
                    co_await dispatcher->place(request, context.get_executor(), id);
                },
                boost::asio::detached);
            context.restart();
            context.poll();
            dispatcher->release(id);
        }
    });
}

}

void runPlacement()
{
    std::printf("us a placement and its release\n%8s %8s %10s\n", "targets", "peers", "us");
    for (std::uint32_t targetCount : { 10U, 240U, 1'000U }) {
        for (std::uint32_t peerCount : { 5U, 300U })
            std::printf("%8u %8u %10.1f\n", targetCount, peerCount, nanosecondsPerPlacement(targetCount, peerCount) / 1'000);
    }
}

}
