// Measures the membership protocol in virtual time: bench-membership [seconds]
#include "Network.h"
#include <algorithm>
#include <cstdio>
#include <malloc.h>

using MembershipTest::Network;
using namespace std::chrono_literals;

namespace {

template <typename Value>
Value quantile(std::vector<Value>& values, double share)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? Value {} : values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

void runWithLoads(Network& network, int seconds)
{
    for (int i = 0; i < seconds; ++i) {
        for (std::size_t node = 0; node < network.size(); ++node)
            network[node].protocol->setLoad({ 100, 20, 50'000, 5'000 }, network.now());
        network.run(1s);
    }
}

void measureSteady(std::size_t count, int seconds)
{
    std::size_t const before = mallinfo2().uordblks;
    Network network(1);
    MembershipTest::build(network, count);
    network.startSettled();
    runWithLoads(network, 60);
    std::size_t const heap = (mallinfo2().uordblks - before) / count;
    network.clearBytes();
    std::chrono::steady_clock::time_point const start = std::chrono::steady_clock::now();
    runWithLoads(network, seconds);
    double const micros = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
    std::pair<double, double> const rate = network.bytesPerSecond(std::chrono::seconds(seconds));
    std::printf("%zu daemons: %.0f bytes/s each, sent and received (most %.0f); %.1f us of processor time a second each, "
                "the test network included; %zu bytes of heap each\n",
        count, rate.first, rate.second, micros / seconds / static_cast<double>(count), heap);
}

void measureDetection(std::size_t count, int trials)
{
    std::vector<std::int64_t> first;
    std::vector<std::int64_t> all;
    std::size_t wrong = 0;
    Network network(2);
    MembershipTest::build(network, count);
    network.startSettled();
    for (int i = 0; i < trials; ++i) {
        std::size_t const victim = network.random()() % count;
        network.kill(victim);
        auto const isSuspectedByAny = [&] {
            for (std::size_t by = 0; by < count; ++by) {
                if (by != victim && network.statusOf(victim, by) != Membership::Status::Alive)
                    return true;
            }
            return false;
        };
        std::optional<std::chrono::milliseconds> const suspected = network.runUntil(isSuspectedByAny, 60s);
        std::optional<std::chrono::milliseconds> const dead = network.runUntil([&] { return network.allSee(victim, Membership::Status::Dead); }, 60s);
        if (suspected && dead) {
            first.push_back(suspected->count());
            all.push_back((*suspected + *dead).count());
        }
        wrong += network.takeFalseDeaths();
        network.start(victim);
        network.run(20s);
    }
    std::printf("%zu daemons, %d lost VMs: first suspicion p50 %lld ms, most %lld ms; dead for all p50 %lld ms, most %lld ms; wrong deaths %zu\n", count, trials,
        static_cast<long long>(quantile(first, 0.5)), static_cast<long long>(quantile(first, 1)), static_cast<long long>(quantile(all, 0.5)),
        static_cast<long long>(quantile(all, 1)), wrong);
}

void measureLoadAges(std::size_t count)
{
    Network network(3);
    MembershipTest::build(network, count);
    network.startSettled();
    runWithLoads(network, 200);
    std::vector<std::int64_t> members;
    std::vector<std::int64_t> zones;
    for (std::size_t by = 0; by < count; ++by) {
        for (std::size_t of = 0; of < count; ++of) {
            Membership::LoadTable const& loads = network[by].protocol->loads();
            if (std::optional<Membership::MemberLoad> const load = loads.memberLoad(Membership::memberIdOf(network[of].profile.name), network.now()))
                members.push_back(load->age.count());
            if (std::optional<Membership::ZoneLoad> const load = loads.zoneLoad(Membership::zoneIdOf(network[of].profile.availabilityZone), network.now()))
                zones.push_back(load->age.count());
        }
    }
    std::printf("%zu daemons: age of a load in the zone p50 %lld ms, p99 %lld ms; of a zone's sum p50 %lld ms, p99 %lld ms\n", count,
        static_cast<long long>(quantile(members, 0.5)), static_cast<long long>(quantile(members, 0.99)),
        static_cast<long long>(quantile(zones, 0.5)), static_cast<long long>(quantile(zones, 0.99)));
}

void measureFalsePositives(double loss)
{
    Network network(4);
    MembershipTest::build(network, 410);
    network.startSettled();
    network.loss = loss;
    network.run(120s);
    std::printf("410 daemons, %.0f%% of messages lost, 120 s: wrong deaths %zu\n", loss * 100, network.takeFalseDeaths());
}

}

int main(int argc, char** argv)
{
    int const seconds = argc > 1 ? std::atoi(argv[1]) : 120;
    for (std::size_t const count : { 8, 50, 100, 205, 410 })
        measureSteady(count, seconds);
    measureDetection(8, 40);
    measureDetection(410, 40);
    measureLoadAges(8);
    measureLoadAges(410);
    for (double const loss : { 0.01, 0.05, 0.1 })
        measureFalsePositives(loss);
}
