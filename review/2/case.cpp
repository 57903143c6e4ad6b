// A full runner refuses a request; the daemon sends it to that runner again, on the same channel, and takes the runner's late second
// copy of the refusal for the answer, while the runner runs the request.

#include "PlainSite.h"

using namespace Standin;

namespace {

constexpr int daemonCount = 3;
constexpr int runnerCount = 2;
constexpr int callersPerDaemon = 8;
constexpr int slots = 6;
constexpr int queuePlaces = 2; ///< "The runner processes `slots` requests concurrently and queues a few more."
constexpr milliseconds workTime { 8 };
constexpr double garbledShare = 0.03; ///< Of the faulty runner's refusals.
constexpr milliseconds troubleLength { 5'000 };
constexpr milliseconds troublePause { 500 };
constexpr int troubles = 12;
constexpr milliseconds pauseAfterRefusal { 20 };
constexpr int deadlineMs = 3'000;

struct Runner {
    std::string name;
    bool isFaulty { false };
    std::mutex mutex;
    std::condition_variable freed;
    int running { 0 };
    int waiting { 0 };
};

struct Site {
    Store store;
    Runs runs;
    std::atomic<bool> isInTrouble { false };
    std::atomic<int> refusals { 0 };
    std::atomic<int> copies { 0 };
    std::atomic<int> copiesToSameRequest { 0 };
    std::unique_ptr<Record> record;
    std::vector<std::unique_ptr<Runner>> runners;
    std::vector<std::unique_ptr<Listener>> listeners;
    std::vector<std::unique_ptr<Entry>> entries;
};

// Takes a slot, or returns false: the runner is full.
bool takeSlot(Runner& runner)
{
    std::unique_lock lock(runner.mutex);
    if (runner.running >= slots && runner.waiting >= queuePlaces)
        return false;
    ++runner.waiting;
    runner.freed.wait(lock, [&runner] { return runner.running < slots; });
    --runner.waiting;
    ++runner.running;
    return true;
}

void freeSlot(Runner& runner)
{
    {
        std::lock_guard lock(runner.mutex);
        --runner.running;
    }
    runner.freed.notify_one();
}

// The faulty runner sends a refusal a second time now and then: late, where the next answer on the channel is expected. Both copies
// bear the id of the request that was refused.
void serve(Site& site, Runner& runner, Connection& connection)
{
    Message request;
    std::string lateCopy;
    std::string lateId;
    unsigned seed = static_cast<unsigned>(reinterpret_cast<std::uintptr_t>(&connection) >> 4U);
    while (connection.read(request, false, Clock::now() + milliseconds(30'000))) {
        std::string id = request.field("X-Request-Id");
        if (!lateCopy.empty()) {
            ++site.copies;
            site.copiesToSameRequest += lateId == id ? 1 : 0;
            site.record->line("second copy: " + runner.name + " repeats its refusal of " + lateId + " in front of its answer to " + id);
            if (!connection.write(std::exchange(lateCopy, std::string())))
                return;
        }
        if (!takeSlot(runner)) {
            ++site.refusals;
            site.record->line("refused: " + id + " by " + runner.name);
            Message refusal;
            refusal.status = 503;
            refusal.fields = { { "X-Request-Id", id }, { "X-Not-Executed", "1" }, { "X-Instance-Id", runner.name } };
            if (!connection.write(encode(refusal)))
                return;
            if (runner.isFaulty && site.isInTrouble && rand_r(&seed) < garbledShare * RAND_MAX) {
                lateCopy = encode(refusal);
                lateId = id;
            }
            continue;
        }
        site.runs.note(id, runner.name);
        site.record->line("run: " + id + " by " + runner.name);
        std::this_thread::sleep_for(workTime);
        freeSlot(runner);
        if (!connection.write(encode(soundAnswer(request, runner.name))))
            return;
    }
}

struct Outcomes {
    std::atomic<int> sent { 0 };
    std::atomic<int> served { 0 };
    std::atomic<int> failed { 0 };
    std::mutex mutex;
    std::vector<std::string> refused; ///< Ids of requests that were answered 503.
};

void call(Site& site, Daemon const& daemon, int number, std::atomic<bool> const& isOver, Outcomes& outcomes)
{
    int count = 0;
    while (!isOver) {
        int handle = Connection::open(daemon.front, milliseconds(1'000));
        if (handle < 0) {
            std::this_thread::sleep_for(milliseconds(100));
            continue;
        }
        Connection connection(handle);
        while (!isOver) {
            std::string id = daemon.name() + "-" + std::to_string(number) + "-" + std::to_string(count++);
            ++outcomes.sent;
            site.record->line("sent: " + id);
            Message response;
            connection.write(encode(callerRequest("POST", "/c/1", id, deadlineMs)));
            if (!connection.read(response, true, Clock::now() + milliseconds(deadlineMs + 1'000))) {
                ++outcomes.failed;
                break;
            }
            site.record->line("answered: " + id + " with " + std::to_string(response.status));
            if (response.status == 503) {
                std::lock_guard lock(outcomes.mutex);
                outcomes.refused.push_back(id);
            } else {
                ++(response.status == 200 ? outcomes.served : outcomes.failed);
                continue;
            }
            std::this_thread::sleep_for(pauseAfterRefusal);
        }
    }
}

int play(std::string const& folderOfCase)
{
    Site& site = *new Site; // Not deleted, as the listeners, which their threads outlive.
    site.record = std::make_unique<Record>(folderOfCase + "/record.txt");
    Folder folder;
    std::string config = plainConfig(1);
    replaceAll(config, "\"max_attempts\":2", "\"max_attempts\":3");
    site.store.put("keyed.op", "config", config);
    for (int n = 0; n < runnerCount; ++n) {
        site.runners.push_back(std::make_unique<Runner>());
        Runner& runner = *site.runners.back();
        runner.name = "app-" + std::to_string(n);
        runner.isFaulty = n == 0;
        site.listeners.push_back(std::make_unique<Listener>([&site, &runner](Connection& connection) { serve(site, runner, connection); }));
        site.entries.push_back(std::make_unique<Entry>(site.store, runner.name, "\"service\":\"app\",\"zone\":\"zone-a\",\"slots\":" + std::to_string(slots) + ",\"addr\":\"" + site.listeners.back()->address().text() + "\""));
    }
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (int n = 0; n < daemonCount; ++n)
        daemons.push_back(std::make_unique<Daemon>(folder.path(), "entry-" + std::to_string(n), "127.71.1." + std::to_string(n + 1), site.store.address()));
    for (std::unique_ptr<Daemon>& it : daemons)
        it->start();
    for (std::unique_ptr<Daemon>& it : daemons) {
        if (!it->waitUntilReady(milliseconds(15'000))) {
            site.record->line(it->name() + " is not ready in time");
            return 2;
        }
    }
    std::this_thread::sleep_for(milliseconds(4'000)); // Longer than settle_window_ms: the machines are in touch.
    Outcomes outcomes;
    std::atomic<bool> isOver { false };
    std::vector<std::thread> callers;
    for (std::unique_ptr<Daemon> const& daemon : daemons) {
        for (int n = 0; n < callersPerDaemon; ++n)
            callers.emplace_back([&site, &daemon, n, &isOver, &outcomes] { call(site, *daemon, n, isOver, outcomes); });
    }
    for (int n = 0; n < troubles; ++n) {
        site.isInTrouble = hasTrouble();
        std::this_thread::sleep_for(troubleLength);
        site.isInTrouble = false;
        std::this_thread::sleep_for(troublePause);
    }
    isOver = true;
    for (std::thread& it : callers)
        it.join();
    std::this_thread::sleep_for(milliseconds(1'000)); // What was passed on last has run by now.
    int broken = 0;
    for (std::string const& id : outcomes.refused) {
        std::vector<std::string> runs = site.runs.of(id);
        if (runs.empty())
            continue;
        ++broken;
        site.record->line("REFUSED: " + id + " was answered 503 and was run by " + runs.front());
    }
    site.record->line("sent " + std::to_string(outcomes.sent) + ", served " + std::to_string(outcomes.served) + ", answered 503 " + std::to_string(outcomes.refused.size()) + ", failed " + std::to_string(outcomes.failed) + ", refusals by runners " + std::to_string(site.refusals) + ", second copies " + std::to_string(site.copies) + ", of these in front of the answer to the same request " + std::to_string(site.copiesToSameRequest) + ", REFUSED " + std::to_string(broken));
    if (outcomes.served == 0 || site.refusals == 0)
        return 2;
    return broken > 0 ? 1 : 0;
}

}

int main(int, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    alarm(115);
    int result = play(arguments[1]);
    std::_Exit(result);
}
