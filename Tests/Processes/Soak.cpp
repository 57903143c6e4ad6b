#include "Soak.h"

#include "FaultInjector.h"
#include "KeyedSite.h"
#include "StreamEvents.h"
#include "TimedAnswer.h"
#include "UnansweredReport.h"

#include <LibCore/EnumNames.h>
#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <future>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace Processes {

namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

constexpr std::chrono::seconds callerPatience { 8 }; // Longer than any route's time.
constexpr std::chrono::seconds recoveryBound { 20 }; // The users ask for 12 s; a busy machine needs time to start processes.
// The users' bounds: for a connection that ends without an answer although its request was not passed on, and behind a route's time.
constexpr Milliseconds unansweredBound { 200 };
constexpr Milliseconds lateBound { 500 };
constexpr std::size_t leastLate = 8;
constexpr std::size_t lateShare = 4;
// The users' bounds for streams at a stop: how late after the signal one may be sent, and when it may be broken off.
constexpr std::chrono::seconds sentAfterStopBound { 3 };
constexpr Milliseconds lastSixthOfStop = Milliseconds(FaultInjector::stopWithin) * 5 / 6;
constexpr Milliseconds arrivalSlack { 20 }; // The kernel tells a request's arrival to some milliseconds.
constexpr Milliseconds settleTime { 3'500 }; // Longer than the longest fault, so that what it held up has come to its end.

/// What callers ask for.
enum class Kind : std::uint8_t {
    Stream, ///< May go on at another target.
    Unsafe, ///< May run once at most.
    Safe,
};

inline constexpr Core::EnumNames<Kind, 3> kindNames { {
    { Kind::Stream, "stream" },
    { Kind::Unsafe, "unsafe" },
    { Kind::Safe, "safe" },
} };

/// A request and what its caller got.
struct Asked {
    std::string id;
    Kind kind { Kind::Safe };
    std::size_t daemon { 0 };
    TimedAnswer answer;
    std::string streamId {}; ///< Id of the request that brought the stream's first event.
    std::string heldEvents {}; ///< That earlier requests for the same stream brought.

    /// Returns 0 if there was no whole answer.
    std::uint16_t status() const { return answer.response ? answer.response->status : 0; }
};

std::string pathOf(Kind kind)
{
    return kind == Kind::Stream ? "/h/1" : kind == Kind::Unsafe ? "/c/1"
                                                                : "/s/1";
}

// What the routes and the requests of KeyedSite allow.
Milliseconds timeoutOf(Kind kind)
{
    return kind == Kind::Stream ? Milliseconds(5'000) : Milliseconds(3'000);
}

std::string methodOf(Kind kind)
{
    return kind == Kind::Safe ? "GET" : "POST";
}

// 408, 421, 429 and 503 promise that a request has not run and never will.
bool isPromise(std::uint16_t status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// One thread that asks all the time, over connections that it keeps.
class Caller {
public:
    /// `hasOwnWork`: no two streams ask for the same work. One that many targets were killed with would be quarantined.
    /// `resumesStreams`: its next request resumes a stream that broke off. `pause`: a daemon that is down refuses connections at once,
    /// and is not to be asked thousands of times a second.
    Caller(KeyedSite const& site, std::uint64_t seed, std::string name, bool hasOwnWork, bool resumesStreams, Milliseconds pause)
        : m_site(site)
        , m_rng(seed)
        , m_name(std::move(name))
        , m_hasOwnWork(hasOwnWork)
        , m_resumesStreams(resumesStreams)
        , m_pause(pause)
    {
    }

    void run(std::atomic<bool> const& isStopped)
    {
        boost::asio::io_context context(1);
        Http::ClientSettings settings;
        settings.headTimeout = settings.pieceTimeout = callerPatience;
        std::unique_ptr<Http::Client> client = Http::Client::create(context, settings);
        boost::asio::co_spawn(
            context, [&]() -> boost::asio::awaitable<void> {
                while (!isStopped)
                    co_await askOnce(*client);
                context.stop();
            },
            boost::asio::detached);
        context.run();
    }

    std::vector<Asked> const& asked() const { return m_asked; }

private:
    boost::asio::awaitable<void> askOnce(Http::Client& client)
    {
        Asked asked;
        asked.id = m_name + "-" + std::to_string(m_asked.size());
        asked.kind = kindNames[m_rng() % kindNames.size()].first;
        asked.daemon = m_rng() % KeyedSite::daemonCount();
        asked.streamId = asked.id;
        if (m_broken) {
            asked.kind = Kind::Stream;
            asked.streamId = m_broken->streamId;
            asked.heldEvents = std::move(m_broken->heldEvents);
            m_broken.reset();
        }
        std::string query = m_hasOwnWork && asked.kind == Kind::Stream ? "?work=" + asked.streamId : "";
        Http::Request request = KeyedSite::request(methodOf(asked.kind), pathOf(asked.kind) + query, asked.id);
        if (!asked.heldEvents.empty()) {
            request.fields.set("Resumes", asked.streamId);
            request.fields.set("Last-Event-Id", std::to_string(eventIds(asked.heldEvents).back()));
        }
        asked.answer = co_await askTimed(client, m_site.front(asked.daemon), std::move(request));
        noteBroken(asked);
        m_asked.push_back(std::move(asked));
        boost::asio::steady_timer pause(co_await boost::asio::this_coro::executor, m_pause);
        boost::system::error_code ec;
        co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }

    void noteBroken(Asked const& asked)
    {
        std::string events = eventsIn(asked.answer.partialBody);
        bool isBroken = m_resumesStreams && asked.kind == Kind::Stream && !asked.answer.response && !(asked.heldEvents + events).empty();
        if (!isBroken || asked.answer.receivedBytes == 0)
            return;
        m_broken = Asked();
        m_broken->streamId = asked.streamId;
        m_broken->heldEvents = asked.heldEvents + events;
    }

    KeyedSite const& m_site;
    std::mt19937_64 m_rng;
    std::optional<Asked> m_broken; ///< The stream that the next request resumes.
    std::string m_name;
    bool m_hasOwnWork { false };
    bool m_resumesStreams { false };
    Milliseconds m_pause { 0 };
    std::vector<Asked> m_asked;
};

/// Callers that ask on threads of their own until `stop`, or until this object ends.
class Callers {
public:
    Callers(KeyedSite const& site, SoakSettings const& settings)
    {
        for (std::size_t n = 0; n < settings.callers; ++n) {
            m_callers.push_back(std::make_unique<Caller>(site, settings.seed * 1'000 + n, "soak-" + std::to_string(n), settings.isUneven, settings.hasTwoReleases, settings.pause));
            m_threads.emplace_back([this, caller = m_callers.back().get()] { caller->run(m_isStopped); });
        }
    }

    ~Callers() { stop(); }
    Callers(Callers const&) = delete;
    Callers& operator=(Callers const&) = delete;

    /// Waits for the requests that are under way.
    void stop()
    {
        m_isStopped = true;
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    /// Precondition: stopped.
    std::vector<std::unique_ptr<Caller>> const& all() const { return m_callers; }

private:
    std::atomic<bool> m_isStopped { false };
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::vector<std::thread> m_threads;
};

/// The promises, checked when all is over.
class Judge {
public:
    /// Precondition: the injector has run, and outlives the object.
    Judge(KeyedSite const& site, FaultInjector const& injector, SoakReport& report)
        : m_impairments(injector.impairments())
        , m_signals(injector.signals())
        , m_report(report)
        , m_pieces(site.pieces())
    {
        for (std::string const& name : site.targetNames()) {
            collect(site.target(name), m_runsAt[name]);
            for (std::pair<std::string const, std::uint64_t> const& it : m_runsAt[name])
                m_runs[it.first] += it.second;
        }
    }

    void judge(Asked const& asked)
    {
        ++m_report.requests;
        std::uint16_t status = asked.status();
        m_report.served += status == 200 ? 1 : 0;
        std::uint64_t runs = runsOf(asked);
        if (asked.kind == Kind::Unsafe && runs > 1)
            blame(asked, "ran " + std::to_string(runs) + " times");
        if (isPromise(status) && runs > 0)
            blame(asked, "was said not to have run and ran");
        if (status == 200)
            judgeAnswer(asked);
        if (asked.kind == Kind::Stream)
            judgeEvents(asked);
        bool isDenied = status >= 400 && status < 500 && !isPromise(status);
        if (isDenied)
            blame(asked, "was denied");
        if (!isImpaired(asked)) {
            judgeEnd(asked, runs);
            judgeTime(asked);
            judgeStreamAtStop(asked);
        }
    }

    /// Judges what only all requests together show.
    void judgeAll()
    {
        if (m_late >= leastLate && m_late > m_long / lateShare)
            m_report.violations.push_back(std::to_string(m_late) + " of " + std::to_string(m_long) + " requests that took longer than their time had no answer half a second behind it");
    }

    /// Returns how often a request ran, as far as targets remember.
    std::uint64_t runsOf(Asked const& asked) const
    {
        std::map<std::string, std::uint64_t>::const_iterator it = m_runs.find(asked.id);
        return it != m_runs.end() ? it->second : 0;
    }

private:
    static void collect(Endpoint const& target, std::map<std::string, std::uint64_t>& counts)
    {
        boost::json::object body = getObject(target, "/admin/runs");
        if (boost::json::value const* runs = body.if_contains("runs")) {
            for (boost::json::key_value_pair const& it : runs->get_object())
                counts[std::string(it.key())] += it.value().to_number<std::uint64_t>();
        }
    }

    // Whether the daemon stood still or was gone at any time while the request was under way.
    bool isImpaired(Asked const& asked) const { return isImpaired(asked, KeyedSite::daemonName(asked.daemon)); }

    bool isImpaired(Asked const& asked, std::string const& process) const
    {
        return std::any_of(m_impairments.begin(), m_impairments.end(), [&](Impairment const& it) {
            return it.process == process && it.from <= asked.answer.endedAt && it.until >= asked.answer.sentAt;
        });
    }

    // A stream that has begun may break off with its target; any other request that a daemon has taken gets an answer.
    void judgeEnd(Asked const& asked, std::uint64_t runs)
    {
        bool isBrokenStream = asked.kind == Kind::Stream && asked.answer.hasBegun;
        if (asked.answer.response || !asked.answer.wasSent || isBrokenStream)
            return;
        if (runs > 0)
            blame(asked, "ran and got no answer: " + asked.answer.error);
        else if (asked.answer.sinceSent() > unansweredBound)
            blame(asked, "got no answer after " + std::to_string(asked.answer.sinceSent().count()) + " ms: " + asked.answer.error);
    }

    // Whether a target that may have run it, or the way to that target, was impaired meanwhile. One that was killed since has forgotten.
    bool isTargetImpaired(Asked const& asked) const
    {
        return std::any_of(m_runsAt.begin(), m_runsAt.end(), [&](std::pair<std::string const, std::map<std::string, std::uint64_t>> const& it) {
            bool hasForgotten = std::any_of(m_signals.begin(), m_signals.end(), [&](SentSignal const& signal) {
                return signal.process == it.first && signal.number == SIGKILL && signal.at >= asked.answer.sentAt;
            });
            return (hasForgotten || it.second.contains(asked.id)) && (isImpaired(asked, it.first) || isImpaired(asked, KeyedSite::targetForwarder(it.first)));
        });
    }

    // RULES.md, LOST. Precondition: the daemon was not impaired meanwhile.
    void judgeStreamAtStop(Asked const& asked)
    {
        TimedAnswer const& answer = asked.answer;
        bool isAtStop = std::any_of(m_signals.begin(), m_signals.end(), [&](SentSignal const& it) {
            return it.process == KeyedSite::daemonName(asked.daemon) && it.number == SIGTERM && answer.sentAt <= it.at + sentAfterStopBound && answer.endedAt >= it.at && answer.endedAt < it.at + lastSixthOfStop;
        });
        if (!isAtStop || asked.kind != Kind::Stream || !answer.hasBegun || answer.sinceSent() >= timeoutOf(asked.kind) - arrivalSlack || isTargetImpaired(asked))
            return;
        ++m_report.streamsAtStops;
        if (!answer.response)
            blame(asked, "was broken off at a stop, " + std::to_string(answer.sinceSent().count()) + " ms after it was sent: " + answer.error);
    }

    void judgeTime(Asked const& asked)
    {
        m_long += asked.answer.sinceSent() > timeoutOf(asked.kind) ? 1 : 0;
        m_late += asked.answer.sinceSent() > timeoutOf(asked.kind) + lateBound ? 1 : 0;
    }

    void judgeAnswer(Asked const& asked)
    {
        std::string answerId(asked.answer.response->fields.find("X-Request-Id").value_or(""));
        std::string const& body = asked.answer.response->body;
        if (answerId != asked.id)
            blame(asked, "got the answer of \"" + answerId + "\"");
        std::set<std::string> releases = releasesIn(asked.heldEvents + body);
        std::string stream = KeyedSite::wholeStream(m_pieces, releases.empty() ? std::string() : *releases.begin());
        std::string expected = asked.kind == Kind::Stream ? stream : methodOf(asked.kind) + " " + pathOf(asked.kind) + " " + (asked.kind == Kind::Safe ? "" : "body");
        if (asked.heldEvents + body != expected)
            blame(asked, "got \"" + body + "\" as a whole answer");
    }

    // RULES.md, ORDER: also over a caller's requests, and of daemons in any state.
    void judgeEvents(Asked const& asked)
    {
        std::string events = asked.heldEvents + eventsIn(asked.answer.response ? asked.answer.response->body : asked.answer.partialBody);
        m_report.resumptions += asked.heldEvents.empty() ? 0 : 1;
        m_report.resumed += !asked.heldEvents.empty() && asked.answer.receivedBytes > 0 && asked.answer.hasBegun && events.size() > asked.heldEvents.size() ? 1 : 0;
        if (!isOneStream(events))
            blame(asked, "holds events that are no one stream: " + events);
    }

    void blame(Asked const& asked, std::string const& what)
    {
        m_report.violations.push_back(asked.id + " (" + std::string(Core::nameOf(kindNames, asked.kind)) + " at " + KeyedSite::daemonName(asked.daemon) + ", status " + std::to_string(asked.status()) + ") " + what);
    }

    std::vector<Impairment> const& m_impairments;
    std::vector<SentSignal> const& m_signals;
    SoakReport& m_report;
    std::uint32_t m_pieces { 0 }; ///< Of a whole stream.
    std::size_t m_long { 0 }; ///< Requests that took longer than their time.
    std::size_t m_late { 0 }; ///< Of these, those that had no answer a while later.
    std::map<std::string, std::map<std::string, std::uint64_t>> m_runsAt; ///< Of each target, by request.
    std::map<std::string, std::uint64_t> m_runs; ///< Of all targets.
};

std::vector<std::string> violationsAfterFaults(KeyedSite const& site, std::size_t daemon)
{
    std::vector<std::string> violations;
    int attempt = 0;
    for (std::pair<Kind, std::string_view> const& it : kindNames) {
        bool isServed = waitFor([&] { return site.ask(daemon, methodOf(it.first), pathOf(it.first), "recovery-" + std::to_string(daemon) + "-" + std::to_string(attempt++)).status == 200; }, recoveryBound);
        if (!isServed)
            violations.push_back(KeyedSite::daemonName(daemon) + " does not serve again: " + std::string(it.second));
    }
    return violations;
}

// All kinds are served by all daemons again, and what is configured last is in force.
void checkRecovery(KeyedSite& site, std::uint64_t version, SoakReport& report)
{
    // At the same time: streams may be long.
    std::vector<std::future<std::vector<std::string>>> daemons;
    for (std::size_t n = 0; n < KeyedSite::daemonCount(); ++n)
        daemons.push_back(std::async(std::launch::async, [&site, n] { return violationsAfterFaults(site, n); }));
    for (std::future<std::vector<std::string>>& daemon : daemons) {
        std::vector<std::string> violations = daemon.get();
        report.violations.insert(report.violations.end(), violations.begin(), violations.end());
    }
    int attempt = 0;
    site.configure(version + 1, "none");
    for (std::size_t n = 0; n < KeyedSite::daemonCount(); ++n) {
        bool isInForce = waitFor([&] { return site.ask(n, "POST", "/c/1", "newest-" + std::to_string(attempt++)).status == 503; }, recoveryBound);
        if (!isInForce)
            report.violations.push_back(KeyedSite::daemonName(n) + " does not take the newest configuration");
    }
}

}

SoakReport runSoak(SoakSettings const& settings)
{
    KeyedSiteSettings siteSettings;
    siteSettings.hasForwarders = true;
    siteSettings.stopWithinSeconds = static_cast<int>(FaultInjector::stopWithin.count());
    siteSettings.leaveHoldMs = 1'000;
    siteSettings.hasLongStreams = settings.hasLongStreams;
    siteSettings.isUneven = settings.isUneven;
    siteSettings.processorShare = settings.processorShare;
    // Whoever goes on with a stream at the other release shows in its events.
    if (settings.hasTwoReleases)
        siteSettings.engines = { { "prefill", "v1" }, { "decode", "v1" }, { "decode", "v1" }, { "prefill", "v2" }, { "decode", "v2" }, { "decode", "v2" } };
    KeyedSite site(siteSettings);
    SoakReport report;
    if (!site.waitUntilServing()) {
        report.violations.emplace_back("the site does not come to serve");
        return report;
    }
    Callers callers(site, settings);
    FaultInjector injector(site, settings.seed, settings.hasOnlyPlannedFaults ? FaultInjector::Faults::Planned : FaultInjector::Faults::All);
    injector.setReloads(settings.hasReloads);
    injector.run(settings.duration);
    callers.stop();
    report.faults = injector.done();
    report.violations = injector.ownEnds();
    for (std::size_t n = 0; n < KeyedSite::daemonCount(); ++n)
        report.divisions += site.logLines(KeyedSite::daemonName(n), "places-divided").size();
    checkRecovery(site, injector.version(), report);
    std::this_thread::sleep_for(settleTime);
    Judge judge(site, injector, report);
    UnansweredReport unanswered(site, injector.signals());
    for (std::unique_ptr<Caller> const& caller : callers.all()) {
        for (Asked const& asked : caller->asked()) {
            judge.judge(asked);
            if (asked.answer.wasSent && !asked.answer.response)
                report.unanswered.push_back(std::string(Core::nameOf(kindNames, asked.kind)) + " " + unanswered.text({ asked.id, asked.daemon, asked.answer }, judge.runsOf(asked)));
        }
    }
    judge.judgeAll();
    return report;
}

}
