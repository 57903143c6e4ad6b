// Targets that answer with bytes that no sound target sends: no daemon ends, and other callers are served.

#include "ConnectionLoad.h"
#include "KeyedSite.h"
#include "RawTarget.h"

#include <atomic>
#include <gtest/gtest.h>
#include <thread>

namespace {

using namespace Processes;
using namespace std::chrono_literals;

constexpr std::string_view lastChunk = "0\r\n\r\n";
constexpr std::string_view idleReport = R"({"stage":"prefill","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":2,"queued":0,"running":0,"kv_used":0,"kv_total":90000,"kv_handles":0})";
constexpr std::string_view soundBody = "sound";
constexpr std::size_t oversized = 70'000; ///< More than a field of a message holds.

/// Spoils the head of a sound answer in one of several ways.
using Spoil = std::function<std::string(std::string)>;

std::string withFields(std::string answer, std::string const& lines)
{
    return answer.insert(answer.find("\r\n") + 2, lines);
}

std::string withStatus(std::string answer, std::string const& status)
{
    return answer.replace(answer.find("200"), status.size(), status);
}

std::vector<Spoil> spoils()
{
    return {
        [](std::string answer) { return withStatus(std::move(answer), "000"); },
        [](std::string answer) { return withStatus(std::move(answer), "099"); },
        [](std::string answer) { return withStatus(std::move(answer), "700"); },
        [](std::string answer) { return withFields(std::move(answer), "X A: 1\r\n"); },
        [](std::string answer) { return withFields(std::move(answer), "X-\x01: 1\r\n"); },
        [](std::string answer) { return withFields(std::move(answer), "X-A: 1\r\n 2\r\n"); },
        [](std::string answer) { return withFields(std::move(answer), "Transfer-Encoding: gzip\r\n"); },
    };
}

class FaultyTargets : public testing::Test {
protected:
    FaultyTargets()
        : m_site(settings())
    {
        EXPECT_TRUE(m_site.waitUntilServing());
    }

    static KeyedSiteSettings settings()
    {
        KeyedSiteSettings settings;
        settings.engines = { { "prefill" }, { "decode" }, { "decode" } };
        settings.hasFixedRoles = true;
        return settings;
    }

    /// Calls below /c/ go to this target alone from now on, which answers them with `soundBody`. Returns whether they do at daemon 0.
    bool serveCallsBy(RawTarget const& target)
    {
        m_site.configure(2, "none");
        return waitFor([&] {
            m_site.writeEntry("i-raw", target.entry("none"));
            // Until the configuration is in force, other targets answer.
            return m_site.ask(0, "POST", "/c/1", newId()).body == soundBody;
        });
    }

    /// Leaves the work of these to the faulty target.
    void end(std::vector<std::string> const& targets)
    {
        for (std::string const& name : targets)
            m_site.process(name).kill();
    }

    std::string newId() { return "faulty-" + std::to_string(m_ids++); }

    /// Asks daemon 0 until the target has got `count` requests. Returns whether it has.
    bool askUntilReached(RawTarget const& target, std::string const& entry, std::string const& path, std::size_t count)
    {
        return waitFor([&] {
            m_site.writeEntry("i-raw", entry);
            std::ignore = m_site.ask(0, "POST", path, newId());
            return target.requests() >= count;
        });
    }

    void expectAllAlive()
    {
        for (std::size_t n = 0; n < KeyedSite::daemonCount(); ++n)
            EXPECT_FALSE(m_site.process(KeyedSite::daemonName(n)).status()) << "daemon " << n << " has ended by itself";
    }

    KeyedSite m_site;
    int m_ids { 0 };
};

}

// Guards against a daemon that ends, with all its requests, because a late second answer to an earlier request comes in chunks.
TEST_F(FaultyTargets, ALateSecondAnswerInChunksEndsNoDaemon)
{
    RawTarget target([](Http::Request const& request, std::size_t number) {
        std::string foreign = RawTarget::chunkedHead("an-earlier-one") + RawTarget::chunkOf("earlier") + std::string(lastChunk);
        return RawTarget::Answer { (number > 0 ? foreign : "") + RawTarget::soundAnswer(request, std::string(soundBody)) };
    });
    ASSERT_TRUE(serveCallsBy(target));
    for (int n = 0; n < 20; ++n) {
        Http::Response response = m_site.ask(0, "POST", "/c/1", newId());
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, soundBody);
    }
    expectAllAlive();
}

// Guards against requests of other callers that are lost with their daemon when late second answers cross the next request.
TEST_F(FaultyTargets, LateSecondAnswersLoseNoRequestOfTheLoad)
{
    constexpr std::size_t perLateAnswer = 20; // So many have none.
    RawTarget target([](Http::Request const& request, std::size_t number) {
        RawTarget::Answer answer { RawTarget::soundAnswer(request, "sound") };
        if (number % perLateAnswer == perLateAnswer - 1) {
            answer.late = RawTarget::chunkedHead(std::string(*request.fields.find("X-Request-Id"))) + RawTarget::chunkOf("again") + std::string(lastChunk);
            answer.lateBy = 2ms;
        }
        return answer;
    });
    m_site.writeEntry("i-raw", target.entry("app"));
    ConnectionLoad load(m_site, { 100, 4, 50ms, 1 });
    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + 6s;
    while (std::chrono::steady_clock::now() < end) {
        m_site.writeEntry("i-raw", target.entry("app"));
        std::this_thread::sleep_for(500ms);
    }
    load.stop();
    EXPECT_GT(target.requests(), 1'000U);
    EXPECT_GT(load.sent(), 5'000U);
    std::vector<Unanswered> unanswered = load.unanswered();
    EXPECT_EQ(unanswered.size(), 0U) << "of " << load.sent();
    expectAllAlive();
}

// Guards against a prompt that is computed again because a late second answer to an earlier request came in front of its own.
TEST_F(FaultyTargets, ALateSecondAnswerInFrontOfAPromptsIsSkipped)
{
    RawTarget target([](Http::Request const& request, std::size_t number) {
        if (request.target == "/currantvale/report")
            return RawTarget::Answer { RawTarget::soundAnswer(request, std::string(idleReport)) };
        std::string foreign = RawTarget::chunkedHead("an-earlier-one") + RawTarget::chunkOf("earlier") + std::string(lastChunk);
        return RawTarget::Answer { (number > 0 ? foreign : "") + RawTarget::soundAnswer(request, R"({"handle":"h","tokens":100,"version":1})") };
    });
    end({ "engine-0" });
    EXPECT_TRUE(waitFor([&] {
        m_site.writeEntry("i-raw", target.entry("llm", "prefill"));
        std::ignore = m_site.ask(0, "POST", "/h/1", newId());
        return target.requests() > 20;
    }));
    EXPECT_TRUE(m_site.logLines(KeyedSite::daemonName(0), "target=i-raw step=prefill").empty());
}

// Guards against requests that wait until their time is over because the handle of a prompt fits no header field.
TEST_F(FaultyTargets, AHandleThatNoFieldHoldsIsNoAnswerToAPrompt)
{
    RawTarget target([](Http::Request const& request, std::size_t) {
        if (request.target == "/currantvale/report")
            return RawTarget::Answer { RawTarget::soundAnswer(request, std::string(idleReport)) };
        return RawTarget::Answer { RawTarget::soundAnswer(request, R"({"handle":")" + std::string(oversized, 'x') + R"(","tokens":100,"version":1})") };
    });
    end({ "engine-0" });
    EXPECT_TRUE(waitFor([&] {
        m_site.writeEntry("i-raw", target.entry("llm", "prefill"));
        std::ignore = m_site.ask(0, "POST", "/h/1", newId());
        return !m_site.logLines(KeyedSite::daemonName(0), "target=i-raw step=prefill").empty() || m_site.process(KeyedSite::daemonName(0)).status();
    }));
    expectAllAlive();
    m_site.startTarget("engine-0");
    EXPECT_TRUE(waitFor([&] { return m_site.ask(0, "POST", "/h/1", newId()).status == 200; }));
}

// Guards against a stream that hangs until its time is over because the id of its last event fits no header field.
TEST_F(FaultyTargets, AStreamEndsInFrontOfAnEventIdThatNoFieldHolds)
{
    RawTarget target([](Http::Request const& request, std::size_t) {
        std::string events = "id: 0\ndata: a\n\nid: " + std::string(oversized, 'x') + "\ndata: b\n\n";
        return RawTarget::Answer { RawTarget::chunkedHead(std::string(*request.fields.find("X-Request-Id")), "text/event-stream") + RawTarget::chunkOf(events), RawTarget::Then::Reset };
    });
    end({ "app-0", "app-1" });
    // The stream goes on at the other entry of the same release.
    m_site.writeEntry("i-other", target.entry("app", {}, "v1"));
    EXPECT_TRUE(askUntilReached(target, target.entry("app", {}, "v1"), "/t/1", 5));
    EXPECT_TRUE(m_site.logLines(KeyedSite::daemonName(0), "The deadline passed").empty());
    expectAllAlive();
}

// Guards against a daemon that is ended by its memory because the bytes of one stream end no event.
TEST_F(FaultyTargets, AStreamWhoseBytesEndNoEventIsBrokenOff)
{
    // Of one stream; the kernel holds some of it for both sides.
    constexpr std::size_t mostBytes = 32 * 1024 * 1024;
    RawTarget target([](Http::Request const& request, std::size_t) {
        RawTarget::Answer answer { RawTarget::chunkedHead(std::string(*request.fields.find("X-Request-Id")), "text/event-stream") + RawTarget::chunkOf("id: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: ") };
        answer.endless = RawTarget::chunkOf(std::string(64 * 1024, 'x'));
        return answer;
    });
    end({ "app-0", "app-1" });
    EXPECT_TRUE(askUntilReached(target, target.entry("app"), "/t/1", 3));
    // Peers serve some of the requests, since the sound targets cannot be connected to.
    EXPECT_TRUE(waitFor([&] {
        double brokenOff = 0;
        for (std::size_t n = 0; n < KeyedSite::daemonCount(); ++n)
            brokenOff += m_site.metric(n, "currantvale_malformed_events_total").value_or(0);
        return brokenOff >= 3;
    }));
    EXPECT_LT(target.endlessBytes(), target.requests() * mostBytes);
    expectAllAlive();
    for (int n = 0; n < 5; ++n)
        EXPECT_EQ(m_site.ask(0, "POST", "/h/1", newId()).body, KeyedSite::wholeStream(m_site.pieces()));
}

// Guards against spoiled heads that callers of calls which may not be repeated get as answers, get no answer for, or that have them repeated.
TEST_F(FaultyTargets, SpoiledHeadsOfCallsAreNoAnswers)
{
    constexpr std::string_view spoiledPath = "/c/spoiled-";
    std::vector<Spoil> const ways = spoils();
    std::atomic<std::size_t> spoiled { 0 };
    RawTarget target([&](Http::Request const& request, std::size_t) {
        std::string sound = RawTarget::soundAnswer(request, std::string(soundBody));
        if (!request.target.starts_with(spoiledPath))
            return RawTarget::Answer { sound };
        ++spoiled;
        return RawTarget::Answer { ways.at(std::stoul(request.target.substr(spoiledPath.size())))(sound) };
    });
    ASSERT_TRUE(serveCallsBy(target));
    for (std::size_t n = 0; n < ways.size(); ++n) {
        // The target may have been closed for its last answer.
        ASSERT_TRUE(waitFor([&] {
            m_site.writeEntry("i-raw", target.entry("none"));
            return m_site.ask(0, "POST", "/c/1", newId()).body == soundBody;
        }));
        Http::Response response = m_site.ask(0, "POST", std::string(spoiledPath) + std::to_string(n), newId());
        EXPECT_EQ(response.status, 502) << "way " << n << ": " << response.body;
        EXPECT_EQ(spoiled, n + 1);
    }
    expectAllAlive();
}
