// A late second answer to an earlier request, sent in chunks, on a kept channel between daemon and runner.

#include "PlainSite.h"

using namespace Standin;

namespace {

constexpr int runnerCount = 3;
constexpr int callersPerDaemon = 12;
constexpr int workMs = 60;
constexpr double garbledShare = 0.02; ///< Of the faulty runner's answers.
constexpr milliseconds troubleLength { 5'000 };
constexpr milliseconds length { 10'000 };

struct Site {
    Store store;
    Runs runs;
    std::atomic<bool> isFaulty { false };
    std::atomic<int> garbled { 0 };
    std::unique_ptr<Record> record;
    std::vector<std::unique_ptr<Listener>> listeners;
    std::vector<std::unique_ptr<Entry>> entries;
};

std::string chunked(Message const& response)
{
    std::string text = "HTTP/1.1 200 OK\r\n";
    for (std::pair<std::string, std::string> const& it : response.fields)
        text += it.first + ": " + it.second + "\r\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx", response.body.size());
    return text + "Transfer-Encoding: chunked\r\n\r\n" + size + "\r\n" + response.body + "\r\n0\r\n\r\n";
}

// Runner 0 is faulty: to one request in fifty on a kept channel it first sends a second answer to the request before, then the right one.
void serve(Site& site, Connection& connection, int number)
{
    std::string name = "app-" + std::to_string(number);
    Message request;
    Message before;
    unsigned seed = static_cast<unsigned>(reinterpret_cast<std::uintptr_t>(&connection) >> 4U);
    while (connection.read(request, false, Clock::now() + milliseconds(30'000))) {
        site.runs.note(request.field("X-Request-Id"), name);
        site.record->line("run: " + request.field("X-Request-Id") + " by " + name);
        std::this_thread::sleep_for(milliseconds(workMs));
        bool isGarbled = number == 0 && site.isFaulty && before.status == 200 && rand_r(&seed) < garbledShare * RAND_MAX;
        if (isGarbled) {
            ++site.garbled;
            site.record->line("runner " + name + " sends a second answer to " + before.field("X-Request-Id") + " in front of that to " + request.field("X-Request-Id"));
            if (!connection.write(chunked(before)))
                return;
        }
        before = soundAnswer(request, name);
        if (!connection.write(encode(before)))
            return;
    }
}

struct Outcomes {
    std::atomic<int> sent { 0 };
    std::atomic<int> served { 0 };
    std::atomic<int> failed { 0 };
    std::atomic<int> lost { 0 }; ///< On a kept channel, passed on to a sound runner, channel closed without an answer.
};

void call(Site& site, Daemon const& daemon, int number, Clock::time_point until, Outcomes& outcomes)
{
    int count = 0;
    while (Clock::now() < until) {
        int handle = Connection::open(daemon.front, milliseconds(1'000));
        if (handle < 0) {
            std::this_thread::sleep_for(milliseconds(100));
            continue;
        }
        Connection connection(handle);
        for (int onChannel = 0; Clock::now() < until; ++onChannel) {
            bool isSafe = count % 2 == 0;
            std::string id = daemon.name() + "-" + std::to_string(number) + "-" + std::to_string(count++);
            ++outcomes.sent;
            Message response;
            site.record->line("sent: " + id + " to " + daemon.name());
            connection.write(encode(callerRequest(isSafe ? "GET" : "POST", isSafe ? "/s/1" : "/c/1", id, 3'000)));
            if (connection.read(response, true, Clock::now() + milliseconds(4'000))) {
                ++(response.status == 200 ? outcomes.served : outcomes.failed);
                site.record->line("answered: " + id + " with " + std::to_string(response.status));
                continue;
            }
            std::vector<std::string> runs = site.runs.of(id);
            bool isSound = !runs.empty() && std::find(runs.begin(), runs.end(), "app-0") == runs.end();
            site.record->line("request " + id + (onChannel > 0 ? " on a kept channel" : " on a new channel") + " gets no answer, its channel is closed; run by " + (runs.empty() ? "nobody" : runs.front()));
            if (onChannel > 0 && isSound && !connection.isTimedOut())
                ++outcomes.lost;
            break;
        }
    }
}

int play(std::string const& folderOfCase)
{
    Site& site = *new Site; // Not deleted, as the listeners, which their threads outlive.
    site.record = std::make_unique<Record>(folderOfCase + "/record.txt");
    Folder folder;
    site.store.put("keyed.op", "config", plainConfig(1));
    for (int n = 0; n < runnerCount; ++n) {
        site.listeners.push_back(std::make_unique<Listener>([&site, n](Connection& connection) { serve(site, connection, n); }));
        site.entries.push_back(std::make_unique<Entry>(site.store, "app-" + std::to_string(n), "\"service\":\"app\",\"zone\":\"zone-a\",\"slots\":6,\"addr\":\"" + site.listeners.back()->address().text() + "\""));
    }
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (int n = 0; n < 2; ++n)
        daemons.push_back(std::make_unique<Daemon>(folder.path(), "entry-" + std::to_string(n), "127.71.0." + std::to_string(n + 1), site.store.address()));
    for (std::unique_ptr<Daemon>& it : daemons)
        it->start();
    for (std::unique_ptr<Daemon>& it : daemons) {
        if (!it->waitUntilReady(milliseconds(15'000))) {
            site.record->line(it->name() + " is not ready in time");
            return 2;
        }
    }
    std::this_thread::sleep_for(milliseconds(4'000)); // Longer than settle_window_ms: the machines are in touch.
    site.isFaulty = hasTrouble();
    Outcomes outcomes;
    Clock::time_point until = Clock::now() + length;
    std::thread([&site] {
        std::this_thread::sleep_for(troubleLength);
        site.isFaulty = false;
    }).detach();
    std::vector<std::thread> callers;
    for (std::unique_ptr<Daemon> const& daemon : daemons) {
        for (int n = 0; n < callersPerDaemon; ++n)
            callers.emplace_back([&site, &daemon, n, until, &outcomes] { call(site, *daemon, n, until, outcomes); });
    }
    int ends = 0;
    while (Clock::now() < until) {
        std::this_thread::sleep_for(milliseconds(50));
        for (std::unique_ptr<Daemon>& it : daemons) {
            if (!it->hasEnded())
                continue;
            ++ends;
            site.record->line(it->name() + ": " + it->endText() + ", though nobody told it to");
            std::this_thread::sleep_for(milliseconds(500));
            it->start(); // As the platform does, after a short delay.
        }
    }
    for (std::thread& it : callers)
        it.join();
    site.record->line("sent " + std::to_string(outcomes.sent) + ", served " + std::to_string(outcomes.served) + ", failed " + std::to_string(outcomes.failed) + ", second answers " + std::to_string(site.garbled) + ", processes that ended by themselves " + std::to_string(ends) + ", LOST " + std::to_string(outcomes.lost));
    if (outcomes.served == 0 || (hasTrouble() && site.garbled == 0))
        return 2;
    return ends > 0 || outcomes.lost > 3 ? 1 : 0;
}

}

int main(int, char** arguments)
{
    std::signal(SIGPIPE, SIG_IGN);
    alarm(110);
    int result = play(arguments[1]);
    std::_Exit(result);
}
