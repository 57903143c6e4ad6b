// Hosts of targets and callers that are silent for a while, or lose some of their packets, while requests wait: none is lost by it.

#include "KeyedSite.h"
#include "RawCaller.h"
#include "RawTarget.h"

#include <array>
#include <atomic>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace {

using namespace Processes;
using namespace std::chrono_literals;

constexpr std::chrono::seconds patience { 16 };
constexpr std::chrono::milliseconds untilSilent { 500 };

std::string idOf(Http::Request const& request)
{
    return std::string(request.fields.find("X-Request-Id").value_or(""));
}

/// Targets of a plain service in this process, which work for as long as a request's path says: /c/MS whole, /t/MS between two events.
class WorkingTargets {
public:
    explicit WorkingTargets(KeyedSite& site)
        : m_site(site)
    {
        for (std::size_t n = 0; n < m_targets.size(); ++n)
            m_targets[n] = std::make_unique<RawTarget>([this](Http::Request const& request, std::size_t) { return respond(request); });
        m_heartbeats = std::thread([this] {
            while (!m_isOver) {
                for (std::size_t n = 0; n < m_targets.size(); ++n)
                    m_site.writeEntry("i-raw-" + std::to_string(n), m_targets[n]->entry("app"));
                std::this_thread::sleep_for(200ms);
            }
        });
    }

    ~WorkingTargets()
    {
        m_isOver = true;
        m_heartbeats.join();
    }

    void setLoss(double share)
    {
        for (std::unique_ptr<RawTarget> const& it : m_targets)
            it->setLoss(share);
    }

    std::size_t runs(std::string const& id)
    {
        std::lock_guard lock(m_mutex);
        return m_runs[id];
    }

private:
    RawTarget::Answer respond(Http::Request const& request)
    {
        {
            std::lock_guard lock(m_mutex);
            ++m_runs[idOf(request)];
        }
        std::chrono::milliseconds work(std::stoi(request.target.substr(3)));
        RawTarget::Answer answer;
        if (request.target.starts_with("/t/")) {
            answer.bytes = RawTarget::chunkedHead(idOf(request), "text/event-stream") + RawTarget::chunkOf("id: 1\ndata: first\n\n");
            answer.lateBy = work;
            answer.late = RawTarget::chunkOf("id: 2\ndata: last\n\n") + RawTarget::chunkOf("");
            return answer;
        }
        std::this_thread::sleep_for(work);
        answer.bytes = RawTarget::soundAnswer(request, "whole");
        return answer;
    }

    KeyedSite& m_site;
    std::array<std::unique_ptr<RawTarget>, 2> m_targets;
    std::mutex m_mutex;
    std::map<std::string, std::size_t> m_runs; ///< By request.
    std::atomic<bool> m_isOver { false };
    std::thread m_heartbeats;
};

class SilentHosts : public testing::Test {
protected:
    void SetUp() override
    {
        ASSERT_TRUE(m_site.waitUntilServing());
        for (char const* name : { "app-0", "app-1" })
            m_site.process(name).kill();
        m_site.removeEntries("app");
        m_targets.emplace(m_site);
        m_site.writeConfiguration(R"({"version":2,"routes":[)"
                                  R"({"name":"confirm","host":"a.example","path_prefix":"/c/","kind":"unsafe","timeout_ms":15000,"goal_ms":300,"priority":2,"service":"app","max_attempts":2},)"
                                  R"({"name":"texts","host":"a.example","path_prefix":"/t/","kind":"stream","timeout_ms":15000,"goal_ms":300,"priority":2,"service":"app","max_attempts":2,"resumable":false,"gap_target_ms":150}],)"
                                  R"("services":[{"name":"app"}]})");
        ASSERT_TRUE(waitFor([&] { return m_site.ask(0, "POST", "/t/1", "warm-up-" + std::to_string(m_warmUps++)).status == 200; }));
    }

    static bool isWhole(std::string const& path, std::string const& answer)
    {
        return answer.ends_with(path.starts_with("/t/") ? "0\r\n\r\n" : "whole");
    }

    /// Sends a request on a connection of its own, which stays open, and returns what comes of the answer. `meanwhile` runs once the request is written.
    std::string ask(std::string const& path, std::string const& id, std::function<void(RawCaller&)> const& meanwhile = {}, double loss = 0)
    {
        RawCaller caller(m_site.front(0));
        caller.setLoss(loss);
        Http::Request request = KeyedSite::request("POST", path, id);
        request.fields.set("X-Deadline-Ms", "15000");
        caller.write(RawCaller::bytesOf(request));
        if (meanwhile)
            meanwhile(caller);
        std::string answer = caller.read(1, patience);
        while (answer.starts_with("HTTP/1.1 200") && !isWhole(path, answer)) {
            std::string bytes = caller.read(1, patience);
            if (bytes.empty())
                break;
            answer += bytes;
        }
        return answer;
    }

    /// Whether a request may be refused as not run: its target may not have been reached.
    enum class Refusal : std::uint8_t {
        Unexpected,
        Allowed,
    };

    /// Sends requests of both kinds at once. Expects that all are answered whole and ran once, or are refused and never run.
    void expectAllAnswered(std::string const& name, std::size_t count, std::chrono::milliseconds work, std::function<void(RawCaller&)> const& meanwhile = {}, Refusal refusal = Refusal::Unexpected, double loss = 0)
    {
        std::atomic<std::size_t> served { 0 };
        std::vector<std::thread> threads;
        for (std::size_t n = 0; n < count; ++n) {
            threads.emplace_back([&, n] {
                std::string id = name + "-" + std::to_string(n);
                std::string path = (n % 2 == 1 ? "/t/" : "/c/") + std::to_string(work.count());
                std::string answer = ask(path, id, meanwhile, loss);
                if (refusal == Refusal::Allowed && answer.starts_with("HTTP/1.1 503")) {
                    EXPECT_EQ(m_targets->runs(id), 0U) << id;
                    return;
                }
                ++served;
                EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << id << " got " << answer.substr(0, 200);
                EXPECT_TRUE(isWhole(path, answer)) << id << " got " << answer.size() << " bytes";
                EXPECT_EQ(m_targets->runs(id), 1U) << id;
            });
        }
        for (std::thread& it : threads)
            it.join();
        EXPECT_GT(served, count / 2);
    }

    KeyedSite m_site;
    std::optional<WorkingTargets> m_targets;
    std::size_t m_warmUps { 0 };
};

}

// Guards against requests that fail, and streams that are cut, because the hosts of their targets were silent for a second.
TEST_F(SilentHosts, RequestsAtTargetsWhoseHostsWereSilentAreAnswered)
{
    for (std::chrono::milliseconds silence : { 700ms, 1'300ms }) {
        std::thread targets([&] {
            std::this_thread::sleep_for(untilSilent);
            m_targets->setLoss(1);
            std::this_thread::sleep_for(silence);
            m_targets->setLoss(0);
        });
        expectAllAnswered("silent-" + std::to_string(silence.count()), 24, 3'500ms);
        targets.join();
    }
}

// Guards against answers that never come because their callers' hosts were silent while they waited, or when the answer was written.
TEST_F(SilentHosts, CallersWhoseHostsWereSilentAreAnswered)
{
    struct Case {
        std::string name;
        std::chrono::milliseconds work;
        std::chrono::milliseconds untilSilent;
        std::chrono::milliseconds silence;
    };
    // Callers' connections are probed every two seconds.
    for (Case const& it : { Case { "waits", 5'000ms, 1'500ms, 1'300ms }, Case { "is-answered", 1'000ms, 500ms, 5'000ms } }) {
        expectAllAnswered(it.name, 24, it.work, [&it](RawCaller& caller) {
            std::this_thread::sleep_for(it.untilSilent);
            caller.setLoss(1);
            std::this_thread::sleep_for(it.silence);
            caller.setLoss(0);
        });
    }
}

// Guards against requests that fail because a single packet was lost while they waited.
TEST_F(SilentHosts, LostPacketsEndNoRequest)
{
    constexpr double loss = 0.05;
    constexpr std::size_t callers = 60;
    m_targets->setLoss(loss);
    expectAllAnswered("lossy", callers, 6'500ms, {}, Refusal::Allowed, loss);
    m_targets->setLoss(0);
}
