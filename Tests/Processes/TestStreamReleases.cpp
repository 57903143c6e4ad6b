// Streams at targets of two software releases, whose events name the release that wrote them.

#include "KeyedSite.h"
#include "RawCaller.h"
#include "StreamEvents.h"

#include <LibDaemon/RelayHeaders.h>
#include <array>
#include <csignal>
#include <gtest/gtest.h>
#include <thread>

namespace {

using namespace Processes;
using namespace std::chrono_literals;

constexpr std::size_t streamCount = 12;

/// What the caller of a stream holds.
struct HeldStream {
    std::string id; ///< Of the request that brought its first event.
    std::string events;
    bool isWhole { false };
};

KeyedSiteSettings twoReleases()
{
    KeyedSiteSettings settings;
    settings.engines = { { "prefill", "v1" }, { "prefill", "v2" }, { "decode", "v1" }, { "decode", "v1" }, { "decode", "v2" }, { "decode", "v2" } };
    settings.hasFixedRoles = true;
    return settings;
}

class StreamReleases : public testing::Test, protected KeyedSite {
protected:
    explicit StreamReleases(KeyedSiteSettings const& settings = twoReleases())
        : KeyedSite(settings)
    {
    }

    void SetUp() override { ASSERT_TRUE(waitUntilServing()); }

    /// One engine, which makes outputs, breaks its next stream off after so many events; 0: none.
    void cutStreamAfter(int events) { post(target("engine-2"), "/admin/faults", R"({"cut_after_events":)" + std::to_string(events) + "}"); }

    /// Begins a stream, and closes the connection once some of its events have come. `relayedBy`: as this daemon would.
    HeldStream begin(std::size_t daemon, std::string const& id, std::string const& relayedBy = {})
    {
        constexpr std::size_t someBytes = 400; // The head and some events.
        RawCaller caller(front(daemon));
        Http::Request first = request("POST", "/h/1", id);
        if (!relayedBy.empty())
            first.fields.set(std::string(Daemon::relayHeader), relayedBy);
        caller.write(RawCaller::bytesOf(first));
        HeldStream stream { id, eventsIn(caller.read(someBytes, 5s)) };
        caller.close(RawCaller::Closing::Reset);
        EXPECT_FALSE(stream.events.empty()) << id << " does not begin";
        return stream;
    }

    static Http::Request resumption(HeldStream const& stream, std::string const& id)
    {
        Http::Request resumed = request("POST", "/h/1", id);
        resumed.fields.set("Resumes", stream.id);
        resumed.fields.set("Last-Event-Id", std::to_string(eventIds(stream.events).back()));
        return resumed;
    }

    /// Resumes a stream as its caller, and adds what comes to what the caller holds. Returns the status.
    std::uint16_t resume(std::size_t daemon, HeldStream& stream, std::string const& id)
    {
        Http::Response response = fetch(front(daemon), resumption(stream, id));
        if (response.status != 200)
            return response.status;
        stream.events += eventsIn(response.body);
        stream.isWhole = eventIds(stream.events).size() == pieces();
        return response.status;
    }

    /// Expects that each stream holds events of one release, and that so many of them have come to their end.
    static void expectUnjoined(std::vector<HeldStream> const& streams, std::size_t leastWhole)
    {
        std::size_t whole = 0;
        for (HeldStream const& stream : streams) {
            EXPECT_TRUE(isOneStream(stream.events)) << stream.id << " holds\n"
                                                    << stream.events;
            EXPECT_TRUE(stream.events.empty() || !releasesIn(stream.events).empty()) << stream.id;
            whole += stream.isWhole ? 1 : 0;
        }
        EXPECT_GE(whole, leastWhole) << "of " << streams.size();
    }

    std::vector<HeldStream> beginAll(std::string const& prefix)
    {
        std::vector<HeldStream> streams;
        for (std::size_t n = 0; n < streamCount; ++n)
            streams.push_back(begin(n % daemonCount(), prefix + "-" + std::to_string(n)));
        return streams;
    }

    /// Resumes each stream at the daemon that is so many further than the one where it began.
    void resumeAll(std::vector<HeldStream>& streams, std::size_t further)
    {
        for (std::size_t n = 0; n < streams.size(); ++n)
            std::ignore = resume((n + further) % daemonCount(), streams[n], streams[n].id + "-again");
    }

    void kill(std::size_t daemon)
    {
        process(daemonName(daemon)).send(SIGKILL);
        ASSERT_TRUE(waitFor([&] { return process(daemonName(daemon)).status().has_value(); }));
    }

    void killAllDaemons()
    {
        for (std::size_t n = 0; n < daemonCount(); ++n)
            process(daemonName(n)).send(SIGKILL);
        for (std::size_t n = 0; n < daemonCount(); ++n)
            kill(n);
    }

    void startAllDaemons()
    {
        for (std::size_t n = 0; n < daemonCount(); ++n)
            startDaemon(n);
        for (std::size_t n = 0; n < daemonCount(); ++n)
            ASSERT_TRUE(waitFor([&] { return isReady(n); }));
    }
};

/// Serves with engines of one release; those of another one join while a daemon is out of step.
class JoiningRelease : public StreamReleases {
protected:
    JoiningRelease()
        : StreamReleases(settings())
    {
    }

    void SetUp() override
    {
        StreamReleases::SetUp();
        for (std::string_view name : newer)
            process(std::string(name)).kill();
        removeEntries("llm");
        for (std::size_t n = 0; n < daemonCount(); ++n)
            ASSERT_TRUE(waitFor([&] { return releasesIn(eventsIn(ask(n, "POST", "/h/1", "older-" + std::to_string(m_asked++)).body)).contains("v1"); }));
    }

    /// Starts the engines of the newer release. Returns streams that have begun there, at the first two daemons.
    std::vector<HeldStream> joinAndBegin(std::string const& prefix)
    {
        for (std::string_view name : newer)
            startTarget(std::string(name));
        std::vector<HeldStream> streams;
        std::ignore = waitFor([&] {
            HeldStream stream = begin(m_asked % 2, prefix + "-" + std::to_string(m_asked), {});
            ++m_asked;
            if (releasesIn(stream.events).contains("v2"))
                streams.push_back(std::move(stream));
            return streams.size() == streamCount;
        },
            5s);
        EXPECT_FALSE(streams.empty()) << "no stream begins at the newer release";
        return streams;
    }

    /// All at the same time: those of the first moment count.
    void resumeAllAtOnce(std::vector<HeldStream>& streams, std::size_t daemon)
    {
        std::vector<std::thread> threads;
        for (HeldStream& stream : streams)
            threads.emplace_back([this, &stream, daemon] { std::ignore = resume(daemon, stream, stream.id + "-again"); });
        for (std::thread& it : threads)
            it.join();
    }

    static KeyedSiteSettings settings()
    {
        KeyedSiteSettings settings = twoReleases();
        settings.hasForwarders = true;
        return settings;
    }

    static constexpr std::array<std::string_view, 3> newer { "engine-1", "engine-4", "engine-5" };
    std::size_t m_asked { 0 };
};

/// Starts with engines of one release; another one replaces it while no daemon lives.
class ReplacedRelease : public StreamReleases {
protected:
    ReplacedRelease()
        : StreamReleases(settings())
    {
    }

    void replaceEngines(std::string const& release)
    {
        std::vector<std::string> names = targetNames();
        std::erase_if(names, [](std::string const& name) { return !name.starts_with("engine-"); });
        for (std::string const& name : names) {
            process(name).send(SIGKILL);
            ASSERT_TRUE(waitFor([&] { return process(name).status().has_value(); }));
        }
        removeEntries("llm");
        for (std::string const& name : names) {
            setRelease(name, release);
            startTarget(name);
        }
    }

    static KeyedSiteSettings settings()
    {
        KeyedSiteSettings settings = twoReleases();
        settings.engines = { { "prefill", "v1" }, { "decode", "v1" }, { "decode", "v1" } };
        return settings;
    }
};

}

// Guards against a stream whose target is lost and that goes on, in the same answer, at a target of another release.
TEST_F(StreamReleases, AnAnswerWhoseTargetIsLostHoldsEventsOfOneRelease)
{
    std::vector<HeldStream> streams;
    double continued = 0;
    for (std::size_t n = 0; n < 2 * streamCount; ++n) {
        cutStreamAfter(3);
        std::string id = "one-answer-" + std::to_string(n);
        Http::Response response = ask(n % daemonCount(), "POST", "/h/1", id);
        std::string events = eventsIn(response.body);
        streams.push_back({ id, events, eventIds(events).size() == pieces() });
    }
    for (std::size_t n = 0; n < daemonCount(); ++n)
        continued += metric(n, R"(currantvale_streams_continued_total{in="same_answer"})").value_or(0);
    EXPECT_GT(continued, 0);
    expectUnjoined(streams, streamCount);
}

// Guards against a stream that its caller resumes at the daemon where it began, and that goes on at a target of another release.
TEST_F(StreamReleases, AStreamResumedAtItsDaemonHoldsEventsOfOneRelease)
{
    std::vector<HeldStream> streams = beginAll("same-daemon");
    resumeAll(streams, 0);
    expectUnjoined(streams, streamCount);
}

// Guards against a stream that its caller resumes at another daemon, and that goes on at a target of another release.
TEST_F(StreamReleases, AStreamResumedAtAnotherDaemonHoldsEventsOfOneRelease)
{
    std::vector<HeldStream> streams = beginAll("another-daemon");
    resumeAll(streams, 1);
    expectUnjoined(streams, streamCount);
}

// Guards against a stream that its caller resumes while the daemon where it began is paused or gone, and that goes on at another release.
TEST_F(StreamReleases, AStreamWhoseDaemonIsPausedOrGoneHoldsEventsOfOneRelease)
{
    std::vector<HeldStream> streams;
    for (std::size_t n = 0; n < streamCount; ++n)
        streams.push_back(begin(n % 2, "gone-daemon-" + std::to_string(n)));
    std::this_thread::sleep_for(500ms);
    process(daemonName(0)).send(SIGSTOP);
    kill(1);
    for (HeldStream& stream : streams)
        std::ignore = resume(2, stream, stream.id + "-again");
    process(daemonName(0)).send(SIGCONT);
    expectUnjoined(streams, streamCount / 2);
}

// Guards against joined releases in a chain: the answer to a resumption loses its target, too, and is resumed under the first request's id.
TEST_F(StreamReleases, AChainOfResumptionsHoldsEventsOfOneRelease)
{
    std::vector<HeldStream> streams = beginAll("chain");
    for (std::size_t n = 0; n < streams.size(); ++n) {
        cutStreamAfter(1);
        RawCaller caller(front((n + 1) % daemonCount()));
        caller.write(RawCaller::bytesOf(resumption(streams[n], streams[n].id + "-second")));
        streams[n].events += eventsIn(caller.read(300, 300ms));
        caller.close(RawCaller::Closing::Reset);
        cutStreamAfter(0);
        std::ignore = resume((n + 2) % daemonCount(), streams[n], streams[n].id + "-third");
    }
    expectUnjoined(streams, streamCount / 2);
}

// Guards against resumptions that are a guess because all daemons that knew of the streams were killed at once.
TEST_F(StreamReleases, StreamsResumedAfterAllDaemonsWereKilledHoldEventsOfOneRelease)
{
    std::vector<HeldStream> streams = beginAll("all-killed");
    std::this_thread::sleep_for(500ms);
    killAllDaemons();
    startAllDaemons();
    resumeAll(streams, 1);
    expectUnjoined(streams, streamCount / 2);
}

// Guards against a release that goes on with streams of the former one because it is the only one that is listed.
TEST_F(ReplacedRelease, DoesNotGoOnWithStreamsOfTheFormerOne)
{
    std::vector<HeldStream> streams = beginAll("replaced");
    std::this_thread::sleep_for(500ms);
    killAllDaemons();
    replaceEngines("v2");
    startAllDaemons();
    resumeAll(streams, 1);
    expectUnjoined(streams, 0);
    for (HeldStream const& stream : streams) {
        EXPECT_FALSE(stream.isWhole) << stream.id;
        EXPECT_EQ(runs(engines(), stream.id + "-again"), 0U) << stream.id;
    }
    EXPECT_EQ(ask(0, "POST", "/h/1", "new").status, 200);
}

// Guards against a stream of a release that joined while a daemon stood still, and that goes on there at a target of another release.
TEST_F(JoiningRelease, AStreamResumedAtADaemonThatStoodStillHoldsEventsOfOneRelease)
{
    process(daemonName(2)).send(SIGSTOP);
    std::vector<HeldStream> streams = joinAndBegin("stood-still");
    process(daemonName(2)).send(SIGCONT);
    resumeAllAtOnce(streams, 2);
    expectUnjoined(streams, 0);
}

// Guards against the same where the daemon is cut off from the store.
TEST_F(JoiningRelease, AStreamResumedAtADaemonWithoutTheStoreHoldsEventsOfOneRelease)
{
    post(forwarderAdmin(storeForwarder(2)), "/pause", R"({"direction":"both"})");
    std::vector<HeldStream> streams = joinAndBegin("without-store");
    resumeAllAtOnce(streams, 2);
    post(forwarderAdmin(storeForwarder(2)), "/resume", "{}");
    expectUnjoined(streams, 0);
}

// Guards against a stream that a daemon began for a peer, whose caller got it from another release, and that goes on at that daemon.
TEST_F(StreamReleases, AStreamThatAPeerHasBegunAgainHoldsEventsOfOneRelease)
{
    std::vector<HeldStream> streams;
    for (std::size_t n = 0; n < 2 * streamCount; ++n) {
        std::string id = "begun-twice-" + std::to_string(n);
        std::ignore = begin(1, id, daemonName(0));
        streams.push_back(begin(0, id));
        std::ignore = resume(1, streams.back(), id + "-again");
    }
    expectUnjoined(streams, 0);
}

// Guards against a guess where nothing says which release began a stream.
TEST_F(StreamReleases, AStreamThatNobodyKnowsIsRefusedAsNotRun)
{
    for (std::string const& streamId : { std::string("nobody-knows"), std::string() }) {
        HeldStream stream { streamId, "id: 4\ndata: piece 4 by v1\n\n" };
        std::string id = "resumes-" + streamId;
        EXPECT_EQ(resume(0, stream, id), 503);
        EXPECT_EQ(runs(engines(), id), 0U);
    }
}

// Guards against streams of services without engines that nobody may begin, since only releases of engines are recorded.
TEST_F(StreamReleases, AStreamOfAPlainServiceBegins)
{
    EXPECT_EQ(ask(0, "POST", "/t/1", "plain").status, 200);
}
