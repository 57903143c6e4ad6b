#pragma once

#include <LibDaemon/AnswerKeeper.h>
#include <LibDaemon/AnswerRoom.h>
#include <LibDaemon/AnswerSink.h>
#include <LibDaemon/CallerProtocol.h>
#include <LibDaemon/Work.h>
#include <LibHttp/ResponseWriter.h>
#include <boost/asio/any_io_executor.hpp>

namespace Daemon {

/// Writes an answer to its caller's connection. Use from the traffic thread only.
class CallerSink final : public AnswerSink {
public:
    /// Precondition: writer and protocol outlive the sink.
    CallerSink(Http::ResponseWriter&, CallerProtocol const&, std::string requestId, bool isRepeatable, bool isRelayed = false);

    /// Has what the answer holds counted, and its connection reset if it is the slowest reader's when there is no room left.
    /// `onCut` is called then, on the executor. Preconditions: the room outlives the sink; the executor is the traffic thread's.
    void limitBy(AnswerRoom&, boost::asio::any_io_executor, std::function<void()> onCut);

    /// Ends that: the connection may serve another request from now on.
    void limitNoMore();

    boost::asio::awaitable<void> head(Http::ResponseHead) override;
    boost::asio::awaitable<void> piece(std::uint64_t position, std::string bytes) override;
    boost::asio::awaitable<void> finish(Request::Finish) override;
    void noteQueued(std::size_t bytes) override;
    bool isAbandoned() const override { return m_writer.isCallerGone(); }

    /// The response to an error. For a peer that has passed the request on, it carries the verdict and the attempts made.
    static Http::Response errorResponse(CallerProtocol const&, Core::Error const&, Request::HttpErrorContext const&, std::optional<RelayAttempts> const&);

private:
    boost::asio::awaitable<void> beginStream(Core::Verdict);
    boost::asio::awaitable<void> finishWhole(Core::Verdict);
    boost::asio::awaitable<void> finishBroken(Core::Error);
    boost::asio::awaitable<void> write(std::string_view);
    void beginWait(std::size_t bytes);
    void endWait();
    void noteHeld();
    void cutOff(std::uint64_t heldBytes);

    void addVerdict(Http::Fields&, Core::Verdict) const;

    Http::ResponseWriter& m_writer;
    CallerProtocol const& m_protocol;
    std::string m_requestId;
    bool m_isRepeatable;
    bool m_isRelayed;
    std::optional<Http::ResponseHead> m_head;
    std::string m_held; ///< A body that is not streamed, until its end is known.
    bool m_isBegun { false };
    bool m_isEventStream { false };
    std::size_t m_queuedBytes { 0 };
    std::size_t m_writingBytes { 0 };
    Core::BootClock::time_point m_waitingSince; ///< When the present write began.
    std::function<void()> m_onCut;
    std::shared_ptr<CallerSink*> m_self; ///< Ends with the sink: what is posted may come later.
    std::unique_ptr<AnswerRoom::Share> m_share; ///< Null: nothing is counted.
};

/// Keeps an answer for collection by ticket. Use from the traffic thread only.
class KeeperSink final : public AnswerSink {
public:
    /// Precondition: the keeper outlives the sink.
    KeeperSink(AnswerKeeper&, Request::TicketNonce const&);

    boost::asio::awaitable<void> head(Http::ResponseHead) override;
    boost::asio::awaitable<void> piece(std::uint64_t position, std::string bytes) override;
    boost::asio::awaitable<void> finish(Request::Finish) override;

private:
    AnswerKeeper& m_keeper;
    Request::TicketNonce m_nonce;
};

}
