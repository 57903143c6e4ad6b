// Machines are restarted in turn as planned, and their operator reloads the settings of all machines meanwhile: SIGHUP reaches a process
// that is just starting. Counts the processes that end by themselves.
#include "../standin-2/Site.h"
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <unistd.h>

namespace {

using namespace Review;

constexpr int daemons = 3;
constexpr int portsOfADaemon = 5;
constexpr int restarted = 2; ///< Machines that are restarted, three times each.
constexpr int rounds = 3;
constexpr std::int64_t signalAfterUs = 3'000; ///< From the process's start to SIGHUP.
constexpr std::int64_t restartDelayUs = 500'000; ///< Of the platform, after a process has ended by itself.

bool waitUntilReady(Daemon const& daemon)
{
    for (std::int64_t end = nowMs() + 15'000; nowMs() < end; usleep(50'000)) {
        if (daemon.isReady())
            return true;
    }
    return false;
}

}

int main()
{
    bool hasTrouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";
    Record record(std::getenv("RECORD") ? std::getenv("RECORD") : "record.txt");
    std::string folder = temporaryFolder();
    Store store;
    if (folder.empty() || !store.start("127.0.0.1"))
        return 2;
    store.put("keyed.op", "config", configuration(3, { "\"name\":\"r1\",\"path_prefix\":\"/a/\",\"kind\":\"safe\",\"timeout_ms\":2000,\"goal_ms\":200,\"priority\":1,\"service\":\"app\",\"max_attempts\":2" }, { "\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":96" }));
    std::vector<std::string> ips { "127.0.61.1", "127.0.61.2", "127.0.61.3" };
    std::uint16_t firstPort = freePorts(ips, portsOfADaemon);
    if (firstPort == 0)
        return 2;
    std::vector<std::unique_ptr<Daemon>> fleet;
    std::map<std::string, std::string> bounds = smallBounds();
    for (int n = 0; n < daemons; ++n) {
        fleet.push_back(std::make_unique<Daemon>("front-" + std::to_string(n + 1), ips[n], firstPort, folder));
        if (!fleet.back()->start(store, bounds))
            return 2;
    }
    bool isUp = true;
    for (std::unique_ptr<Daemon> const& it : fleet)
        isUp = isUp && waitUntilReady(*it);
    int machinesThatFailed = 0;
    for (int n = 0; isUp && n < restarted; ++n) {
        Daemon& daemon = *fleet[n];
        int ends = 0;
        for (int round = 0; isUp && round < rounds; ++round) {
            daemon.signal(SIGTERM);
            isUp = daemon.waitForEnd(10'000) && daemon.start(store, bounds);
            record.note(daemon.name() + " was stopped as planned, and starts again");
            usleep(signalAfterUs);
            for (std::unique_ptr<Daemon> const& it : fleet) {
                if (hasTrouble)
                    it->signal(SIGHUP);
            }
            if (daemon.waitForEnd(1'000)) {
                ++ends;
                record.note(daemon.name() + " has ended by itself, status " + daemon.endedBy());
                usleep(restartDelayUs);
                isUp = isUp && daemon.start(store, bounds);
            }
            isUp = isUp && waitUntilReady(daemon);
        }
        machinesThatFailed += ends >= rounds ? 1 : 0;
    }
    for (std::unique_ptr<Daemon> const& it : fleet) {
        it->signal(SIGKILL);
        it->waitForEnd(2'000);
    }
    record.note("processes ended by themselves three times on " + std::to_string(machinesThatFailed) + " of " + std::to_string(daemons) + " machines");
    std::filesystem::remove_all(folder);
    if (!isUp)
        return 2;
    return machinesThatFailed >= 2 ? 1 : 0;
}
