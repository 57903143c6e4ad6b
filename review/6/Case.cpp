// Two of three machines are lost for good, and the third is restarted as planned. Asks its directory whom to use.
#include "../standin-2/Site.h"
#include <csignal>
#include <cstdlib>
#include <memory>
#include <unistd.h>

namespace {

using namespace Review;

constexpr int daemons = 3;
constexpr std::int64_t longGoneMs = 8'000; ///< Longer than a caller may keep an answer (`ttl_max_s`), and than the lost machine needs to be missed.
constexpr std::int64_t watchMs = 10'000;
constexpr int lostDaemons = 2;

std::string askDirectory(Daemon const& daemon)
{
    std::optional<Connection> connection = Connection::open(daemon.ip(), daemon.directoryPort(), 1'000);
    if (!connection || !connection->write("GET /currantvale/resolve?name=site.example&region=region-a&zone=zone-a HTTP/1.1\r\nHost: directory\r\n\r\n"))
        return {};
    std::optional<Message> answer = connection->read();
    return answer && answer->status() == 200 ? answer->body : std::string();
}

bool waitUntilReady(std::vector<std::unique_ptr<Daemon>> const& fleet)
{
    for (std::int64_t end = nowMs() + 15'000; nowMs() < end; usleep(50'000)) {
        int ready = 0;
        for (std::unique_ptr<Daemon> const& it : fleet)
            ready += it->isReady() ? 1 : 0;
        if (ready == daemons)
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
    std::uint16_t firstPort = 0;
    for (int n = 0; n < 5; ++n) {
        std::uint16_t port = freePort(ips);
        firstPort = n == 0 ? port : firstPort;
    }
    std::vector<std::unique_ptr<Daemon>> fleet;
    std::map<std::string, std::string> bounds = smallBounds();
    for (int n = 0; n < daemons; ++n) {
        fleet.push_back(std::make_unique<Daemon>("front-" + std::to_string(n + 1), ips[n], firstPort, folder));
        if (!fleet.back()->start(store, bounds))
            return 2;
    }
    bool isUp = waitUntilReady(fleet);
    record.note(isUp ? "all three daemons are ready" : "the daemons are not ready");
    std::int64_t lostAt = nowMs();
    for (int n = 0; isUp && hasTrouble && n < lostDaemons; ++n) {
        fleet[n]->signal(SIGKILL);
        fleet[n]->waitForEnd(2'000);
        record.note(fleet[n]->name() + " at " + fleet[n]->callerAddress() + " is lost for good");
    }
    usleep(longGoneMs * 1000);
    int wrong = 0;
    int answers = 0;
    Daemon& last = *fleet.back();
    last.signal(SIGTERM);
    isUp = isUp && last.waitForEnd(10'000) && last.start(store, bounds);
    record.note(last.name() + " was stopped as planned, and has started again");
    for (std::int64_t end = nowMs() + watchMs; isUp && nowMs() < end; usleep(100'000)) {
        std::string answer = askDirectory(last);
        bool isWrong = hasTrouble && answer.find('"' + fleet[0]->callerAddress() + '"') != std::string::npos;
        answers += answer.empty() ? 0 : 1;
        wrong += isWrong ? 1 : 0;
        if (!answer.empty())
            record.note(last.name() + " answers " + answer + (isWrong ? ": lost machines, off for " + std::to_string(nowMs() - lostAt) + " ms" : ""));
    }
    for (std::unique_ptr<Daemon> const& it : fleet) {
        it->signal(SIGKILL);
        it->waitForEnd(2'000);
    }
    record.note(std::to_string(wrong) + " of " + std::to_string(answers) + " answers name a machine that is long gone");
    if (!isUp || answers == 0)
        return 2;
    return wrong > 0 ? 1 : 0;
}
