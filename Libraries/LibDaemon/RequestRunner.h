#pragma once

#include <LibCore/BootClock.h>
#include <LibDaemon/AnswerSink.h>
#include <LibDaemon/Signal.h>
#include <LibDaemon/TrafficContext.h>
#include <LibDaemon/UpstreamLeg.h>
#include <LibDaemon/Work.h>
#include <LibRequest/RequestMachine.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>

namespace Daemon {

/// Performs the I/O for a `Request::RequestMachine`, which makes all decisions about a request. Each I/O operation runs
/// in its own coroutine and posts events; the runner passes them to the machine one at a time.
/// Use from the traffic thread only.
class RequestRunner : public std::enable_shared_from_this<RequestRunner> {
public:
    /// Precondition: the context outlives the runner. `allowed` holds indices into the fleet's targets.
    RequestRunner(TrafficContext&, Work, FleetPointer, std::vector<std::uint32_t> allowed, std::shared_ptr<AnswerSink>);

    ~RequestRunner();
    RequestRunner(RequestRunner const&) = delete;
    RequestRunner& operator=(RequestRunner const&) = delete;

    /// Runs the request until its final response is delivered.
    boost::asio::awaitable<void> run();

    /// Ends all work for the request at once, unless it outlives its caller. Call when the caller has closed the connection.
    void callerLeft();

    /// Ends the request with the answer that holds now, because the process is about to end.
    void endNow();

    Work const& work() const { return m_work; }

private:
    /// A connection that broke before the response showed whether the request had run.
    struct LostAnswer {
        std::uint64_t target { 0 };
        Core::BootClock::time_point at;
    };

    static constexpr std::size_t bufferedBodyLimit = 256U * 1024; ///< Of a refusal, a prefill response or a buffered body.
    /// Added to connection timeouts, so that the machine's deadline fires first: missing it is no fault of the target.
    static constexpr std::chrono::milliseconds deadlineSlack { 200 };

    using LegPointer = std::shared_ptr<UpstreamLeg>;

    static constexpr std::uint16_t noStatus = 0; ///< Of a leg whose response has not begun.

    static Request::RequestProfile profileOf(Work const&, TargetProtocol const&, std::chrono::steady_clock::time_point deadline);

    void post(Request::RequestEvent);
    bool maySend();
    boost::asio::awaitable<void> perform(Request::RequestAction);
    void startAttempt(Request::Dispatch);
    void startResume(Request::Resume const&);
    void startCancel(Request::CancelAtTarget const&);
    void abandonLeg();
    void releasePlacement();
    void cleanUp();
    void chooseMixPool();

    boost::asio::awaitable<void> runAttempt(LegPointer, Request::Dispatch);
    boost::asio::awaitable<void> runResume(LegPointer, Request::Resume);
    boost::asio::awaitable<void> runCancel(Request::CancelAtTarget, boost::asio::ip::tcp::endpoint);
    boost::asio::awaitable<PlacementOutcome> place(std::vector<std::string> excluded, Routing::Phase);
    boost::asio::awaitable<bool> placeAttempt(LegPointer, Request::Dispatch);
    boost::asio::awaitable<Core::Result<std::string>> prefill(LegPointer, std::optional<Request::PromptEnd>&);
    boost::asio::awaitable<void> releaseKv(boost::asio::ip::tcp::endpoint, std::string kvSource);
    void dropKv();
    bool keepPrompt();
    void watchPrompt(LegPointer const&, std::chrono::steady_clock::time_point sentAt);
    void giveUpPrompt(LegPointer const&, std::chrono::steady_clock::duration waited, std::chrono::milliseconds limit);
    void notePrefillBroken(Core::Error const&);
    void postPrefillFailure(LegPointer const&, std::optional<Request::PromptEnd>, Core::Error const&);
    std::vector<std::string> triedTargets() const;
    std::optional<RelayPeer> beginRelay(std::uint32_t attempt, std::vector<std::string> const& excluded);
    boost::asio::awaitable<void> runAtPeer(LegPointer, RelayPeer);
    boost::asio::awaitable<void> readPeerAnswer(LegPointer, bool isContinued);
    void logRelayFailure(Core::Error const&) const;
    void watchAcknowledgement(LegPointer const&, FleetTarget const&);
    boost::asio::awaitable<void> probePath(LegPointer, FleetTarget);
    boost::asio::awaitable<bool> connect(LegPointer, FleetTarget const&);
    void setOnSilence(UpstreamLeg&) const;
    boost::asio::awaitable<Core::Result<void>> sendAndReadHead(LegPointer, Http::Request, TargetSend);
    boost::asio::awaitable<void> readAnswer(LegPointer, TargetSend);
    boost::asio::awaitable<void> readEvents(LegPointer, std::uint64_t firstIndex, bool isContinued);
    void breakOffEvents(LegPointer const&, std::string_view problem);
    boost::asio::awaitable<void> readBody(LegPointer, TargetSend);
    void logRefusal() const;
    boost::asio::awaitable<void> wait(std::chrono::milliseconds);
    boost::asio::awaitable<void> postWithBackpressure(Request::RequestEvent);
    void noteQueued(std::size_t bytes);

    void postFailure(LegPointer const&, Core::Error const&);
    static bool isEventStream(Http::ResponseHead const&);
    static std::string partsText(std::vector<std::uint64_t> const&);
    std::optional<Core::Error> sendingError() const;
    std::optional<Core::Error> quarantineError() const;
    bool finishIfNotSendable(LegPointer const&);
    void excludeOtherSuspects(std::vector<std::string>& excluded) const;
    /// What a target that has been sent the request is to do.
    enum class RunStep : std::uint8_t { Prompt,
        Answer };

    void beginRun(FleetTarget const&, RunStep);
    void noteAnswerBegun();
    void finishRun();
    void noteAnswerEnd(Http::ResponseHead const&, bool isWhole);
    void breakOffRun();
    boost::asio::awaitable<void> probeTarget(FleetTarget);
    boost::asio::awaitable<bool> reachesAnother(FleetTarget);
    void noteEnded(FleetTarget const&, std::string_view sign);
    TargetSend sendOf(std::uint32_t attempt) const;
    std::chrono::steady_clock::time_point now() const;
    std::chrono::milliseconds timeLeft() const;
    std::chrono::milliseconds retryAfterOf(Routing::Reason) const;
    void noteOutcome(Routing::TargetOutcome) const;
    void noteBegun();
    void noteLostAnswer();
    void countLostAnswer();
    bool noteHead(FleetTarget const&, Http::ResponseHead const&, TargetSend const&, Core::BootClock::time_point sentAt) const;
    void noteNotice(FleetTarget const&, Http::ResponseHead const&, Core::BootClock::time_point sentAt) const;
    std::string attemptId(std::uint32_t attempt) const;
    FleetTarget const* targetOf(std::string const& name) const;
    void logDecision(std::uint32_t attempt, PlacementOutcome const&) const;
    std::string fleetAge() const;
    std::string listAge() const;
    bool goesOn() const;
    std::string const& streamId() const;
    StreamPlacement streamPlacement() const;
    boost::asio::awaitable<void> findOrigin(LegPointer);
    boost::asio::awaitable<OriginAnswer> askForOrigin(OriginQuestion const&);
    std::optional<StreamRefusal> whyStreamCannotGoOn() const;
    bool finishIfStreamCannotGoOn(LegPointer const&);
    void noteStreamBegun();
    void noteContinued() const;
    void noteCallerLeft() const;
    void logFinish(Request::Finish const&) const;

    TrafficContext& m_context;
    // These two outlive the runner, the context may not.
    std::set<RequestRunner*>& m_runners;
    Dispatcher& m_dispatcher;
    Work m_work;
    FleetPointer m_fleet;
    std::vector<std::uint32_t> m_allowed;
    std::shared_ptr<AnswerSink> m_sink;
    std::chrono::steady_clock::time_point m_startedAt; ///< When the request had arrived.
    Core::BootClock::time_point m_startedAtBoot;
    Request::RequestMachine m_machine;
    std::deque<Request::RequestEvent> m_events;
    std::size_t m_queuedBytes { 0 }; ///< Of the answer, in the events.
    Signal m_eventSignal;
    Signal m_queueSpaceSignal;
    boost::asio::steady_timer m_deadlineTimer;
    LegPointer m_leg;
    std::uint64_t m_placement { 0 }; ///< 0 if none.
    std::vector<Quarantine::WorkKey> m_parts; ///< The parts of the prompt that other requests may have too, in the order of the work's.
    std::vector<Quarantine::RunTable::Id> m_partRuns; ///< Of the parts at the attempt's target, while its answer has not begun.
    Quarantine::RunTable::Id m_run { 0 }; ///< Run at the attempt's target; 0 if none.
    bool m_hasEvent { false }; ///< The first event of the current attempt's answer has come.
    bool m_isAtPeer { false }; ///< A peer serves the current attempt, and counts its usage.
    std::uint32_t m_peerRefusals { 0 };
    bool m_hasCallerLeft { false }; ///< No further attempt starts and nothing more is sent.
    Routing::Reason m_reason { Routing::Reason::NoCandidate }; ///< Reason of the last placement.
    std::string m_target; ///< Name of the attempt's target, for logs.
    std::string m_mixPool; ///< The pool whose workload mix counts the request.
    std::string m_kvSource; ///< Where the decode target fetches the prompt's KV cache; empty if nowhere.
    boost::asio::ip::tcp::endpoint m_kvHolder; ///< The target that holds the KV cache.
    std::string m_kvZone; ///< Availability zone of `m_kvHolder`.
    bool m_hasBegun { false }; ///< A response has shown that a target began to run the request.
    std::optional<LostAnswer> m_lostAnswer; ///< The first one, while the request is not known to have begun.
    bool m_keepsPrompt { false }; ///< The next attempt reuses the KV cache that this one did not fetch.
    bool m_hasReusedPrompt { false }; ///< A target has already refused a decode that had a KV cache to fetch.
    int m_urgency { 5 }; ///< Of the current send.
    std::optional<Streams::StreamOrigin> m_origin; ///< Of the events that the caller holds; empty: there are none, or it is not found.
    OriginSource m_originSource { OriginSource::Answer };
    Core::BootClock::time_point m_originNotedAt; ///< When the stream was last noted here.
    bool m_isOriginRead { false }; ///< The store has answered the last question for the origin.
    std::string m_peerRelease; ///< Of the stream that a peer has begun, as it says; empty: it does not.
    std::string m_streamTarget; ///< Name of the target or peer that the last delivered piece is from; empty: none was delivered.
    std::string m_lastEventId; ///< Of the last event that was delivered; empty if none had an id.
    std::chrono::steady_clock::time_point m_firstPieceAt;
    std::chrono::steady_clock::time_point m_lastPieceAt;
    std::chrono::steady_clock::duration m_longestPause { 0 }; ///< Between two delivered pieces.
};

}
