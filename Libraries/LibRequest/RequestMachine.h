#pragma once

#include <LibRequest/RequestAction.h>
#include <LibRequest/RequestEvent.h>
#include <LibRequest/RetryBudget.h>
#include <LibRequest/SendAllowance.h>
#include <LibRequest/Ticket.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Request {

/// How a request may be handled; determined once, from its labels, method and ticket.
struct RequestProfile {
    bool isRepeatable { false }; ///< It may run more than once.
    bool mayContinue { false }; ///< A truncated answer may be continued from the prompt and the text sent.
    bool canResume { false }; ///< Its targets keep streams and resume them.
    bool canCancel { false }; ///< Its targets accept cancels and fence the request's id.
    bool outlivesCaller { false }; ///< It has a ticket: when the caller disconnects, it continues and its answer is stored.
    bool goesToHome { false }; ///< It is forwarded to its ticket's home, which alone may say 'not run'.
    std::uint32_t maxAttempts { 4 }; ///< Over all daemons, or what the daemon that passed the request on has granted.
    bool earnsRetries { true }; ///< False: the daemon that passed the request on has earned for it.
    std::vector<std::string> triedTargets {}; ///< Have failed the request at another daemon.
    bool mayRunWhole { false }; ///< Targets that generate outputs compute prompts too.
    std::uint32_t unsentTries { 0 }; ///< Up to this many attempts that sent nothing count neither as attempts nor as retries.
    std::uint32_t maxResumes { 4 }; ///< Consecutive new connections without a new piece.
    TimePoint deadline;
};

/// Returns whether RFC 9110 (section 9.2.2) calls the method idempotent. Names are case-sensitive. Thread-safe.
bool isIdempotentMethod(std::string_view method);

/// Decides dispatch, cancel, retry, resume, verdict and end of one request; no other code does. A pure function
/// of its events and their times. Not thread-safe: one thread at a time.
///
/// Events of a former attempt, repeated or out-of-order ones and all that come after `Finish` change nothing.
class RequestMachine {
public:
    enum class Phase : std::uint8_t {
        Queued,
        Connecting, ///< A target is being picked or connected to; nothing written.
        AwaitingHead,
        Streaming,
        Resuming,
        Fencing, ///< Waits for the target to confirm that it never saw the attempt.
        Finished,
    };

    /// Precondition: `budget` outlives the machine.
    RequestMachine(RequestProfile, RetryBudget& budget);

    /// Handles one event. Perform the actions in order before passing the next event.
    RequestActions handle(RequestEvent, TimePoint now);

    Phase phase() const { return m_phase; }
    bool isFinished() const { return m_phase == Phase::Finished; }

    /// The current attempt's number; 0 before the first.
    std::uint32_t attempt() const { return m_attempt; }

    /// How many attempts the peer that makes the current one may make; 0 before `WriteRequest`, or if no peer makes it.
    std::uint32_t grantedToPeer() const { return m_granted; }

    /// How many targets may have run the request, as far as known here; a peer that has not reported has used all it was granted.
    std::uint32_t attemptsUsed() const { return m_allowance.used(); }

    /// The targets that have been tried, here or at other daemons.
    std::vector<std::string> const& triedTargets() const { return m_excluded; }

    /// Whether another target may get the request if the current one is lost now, by its kind and its attempts.
    bool maySendElsewhere() const;

    /// How many pieces have been delivered.
    std::uint64_t deliveredPieces() const { return m_delivered; }

    /// The verdict if the request ended with an error now.
    Core::Verdict verdict() const;

    /// When `DeadlineReached` is due.
    TimePoint deadline() const { return m_profile.deadline; }

private:
    void on(Admitted&&, TimePoint);
    void on(Refused&&, TimePoint);
    void on(TargetPicked&&, TimePoint);
    void on(PeerReported&&, TimePoint);
    void on(PromptComputed&&, TimePoint);
    void on(PromptFailed&&, TimePoint);
    void on(PromptOverdue&&, TimePoint);
    void on(NoTarget&&, TimePoint);
    void on(Connected&&, TimePoint);
    void on(ConnectFailed&&, TimePoint);
    void on(TargetRefused&&, TimePoint);
    void on(ResponseHead&&, TimePoint);
    void on(Piece&&, TimePoint);
    void on(StreamEnded&&, TimePoint);
    void on(StreamBroken&&, TimePoint);
    void on(SilentConnection&&, TimePoint);
    void on(ResumeAccepted&&, TimePoint);
    void on(ResumeUnknown&&, TimePoint);
    void on(CancelAcknowledged&&, TimePoint);
    void on(HomeAnswered&&, TimePoint);
    void on(CallerGone&&, TimePoint);
    void on(DeadlineReached&&, TimePoint);
    void on(ShutdownForced&&, TimePoint);

    template <typename Action>
    void act(Action);
    bool isCurrent(Leg const&) const;
    bool isAnswering() const;
    bool mayContinue() const;
    void connectionLost(TimePoint);
    void resume();
    void attemptLost(TimePoint);
    bool startAttempt(TimePoint, bool isWhole = false);
    bool repeatPrompt(PromptEnd, TimePoint);
    void retryOrFinish(TimePoint, Core::ErrorCode, std::string_view message);
    bool mayRetry(TimePoint);
    std::uint32_t repeatedPrompts() const { return m_hasComputedPrompt && !m_keepsPrompt ? 1 : 0; }
    void deliverHeadOnce();
    void cancelAttempt(bool needsOutcome);
    void finishWhole();
    void finishWith(Core::ErrorCode, std::string_view message, std::chrono::milliseconds retryAfter = {});

    RequestProfile m_profile;
    RetryBudget* m_budget;
    RequestActions* m_actions { nullptr }; ///< Output of `handle`; null outside it.
    Phase m_phase { Phase::Queued };
    bool m_wasWritten { false }; ///< The current attempt has been written and not been proven not run.
    bool m_mayHaveRunBefore { false }; ///< An earlier attempt, or an earlier send of the ticket, may have run.
    bool m_headDelivered { false };
    bool m_hasComputedPrompt { false }; ///< Recomputing it counts as an extra send.
    bool m_hasSparePrompt { false }; ///< The first prompt that a target took failed, which is no attempt, and was counted as one.
    bool m_keepsPrompt { false }; ///< The next attempt resumes from the computed part.
    bool m_endsEvent { true }; ///< The delivered pieces end at an event boundary.
    std::uint32_t m_attempt { 0 };
    std::uint32_t m_unsent { 0 }; ///< Attempts that do not count.
    SendAllowance m_allowance;
    bool m_isAtPeer { false }; ///< A peer makes the current attempt.
    bool m_hasPeerSent { false }; ///< That peer has sent the request to a target, which counts also where the target refused it.
    std::uint32_t m_granted { 0 };
    std::uint32_t m_connection { 0 };
    std::uint32_t m_resumes { 0 };
    int m_status { 0 }; ///< Of the current attempt's head; 0 before it.
    std::uint64_t m_base { 0 }; ///< Pieces delivered before the current attempt.
    std::uint64_t m_delivered { 0 };
    std::string m_target;
    std::string m_targetIncarnation; ///< Of the current attempt; empty: unknown.
    std::vector<std::string> m_excluded;
};

}
