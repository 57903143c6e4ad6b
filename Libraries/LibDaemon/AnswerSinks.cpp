#include <LibCore/EventLog.h>
#include <LibDaemon/AnswerSinks.h>
#include <LibDaemon/HttpErrors.h>
#include <boost/asio/post.hpp>
#include <tuple>

namespace Daemon {

namespace {

constexpr std::size_t heldLimit = 256U * 1024;

}

CallerSink::CallerSink(Http::ResponseWriter& writer, CallerProtocol const& protocol, std::string requestId, bool isRepeatable, bool isRelayed)
    : m_writer(writer)
    , m_protocol(protocol)
    , m_requestId(std::move(requestId))
    , m_isRepeatable(isRepeatable)
    , m_isRelayed(isRelayed)
{
}

void CallerSink::limitBy(AnswerRoom& room, boost::asio::any_io_executor executor, std::function<void()> onCut)
{
    m_onCut = std::move(onCut);
    m_self = std::make_shared<CallerSink*>(this);
    m_share = room.add([executor, weak = std::weak_ptr<CallerSink*>(m_self)](std::uint64_t heldBytes) {
        boost::asio::post(executor, [weak, heldBytes] {
            if (std::shared_ptr<CallerSink*> self = weak.lock())
                (*self)->cutOff(heldBytes);
        });
    });
}

void CallerSink::limitNoMore()
{
    m_self.reset();
    m_share.reset();
}

void CallerSink::cutOff(std::uint64_t heldBytes)
{
    std::chrono::milliseconds waited = std::chrono::duration_cast<std::chrono::milliseconds>(Core::BootClock::now() - m_waitingSince);
    Core::logEvent(Core::Severity::Warning, Core::Event::SlowReaderCut, { { "request", m_requestId }, { "held_bytes", std::to_string(heldBytes) }, { "waited_ms", std::to_string(waited.count()) } });
    m_writer.abort();
    m_onCut();
}

void CallerSink::noteHeld()
{
    if (m_share)
        m_share->hold(m_held.size() + m_queuedBytes + m_writingBytes, m_writingBytes > 0 ? m_waitingSince : Core::BootClock::time_point());
}

void CallerSink::noteQueued(std::size_t bytes)
{
    m_queuedBytes = bytes;
    noteHeld();
}

void CallerSink::beginWait(std::size_t bytes)
{
    m_writingBytes = bytes;
    m_waitingSince = Core::BootClock::now();
    noteHeld();
}

void CallerSink::endWait()
{
    m_writingBytes = 0;
    noteHeld();
}

boost::asio::awaitable<void> CallerSink::write(std::string_view bytes)
{
    beginWait(bytes.size());
    std::ignore = co_await m_writer.write(bytes);
    endWait();
}

Http::Response CallerSink::errorResponse(CallerProtocol const& protocol, Core::Error const& error, Request::HttpErrorContext const& context, std::optional<RelayAttempts> const& relayed)
{
    Http::Response response = protocol.error(error, context);
    if (relayed) {
        response.fields.set(std::string(relayVerdictHeader), std::string(Core::toString(error.verdict)));
        writeRelayAttempts(response.fields, *relayed);
    }
    return response;
}

boost::asio::awaitable<void> CallerSink::head(Http::ResponseHead head)
{
    m_isEventStream = head.fields.find("Content-Type").value_or("").starts_with("text/event-stream");
    m_head = Http::ResponseHead { head.status, Http::withoutHopByHop(head.fields) };
    m_head->fields.remove("Content-Length");
    // Only a daemon may vouch that a request has not run here.
    m_head->fields.remove(relayVerdictHeader);
    m_head->fields.set(std::string(requestIdHeader), m_requestId);
    if (m_isEventStream)
        co_await beginStream(Core::Verdict::MayHaveRun);
}

// The verdict in a stream's head is what is certain when it is sent.
boost::asio::awaitable<void> CallerSink::beginStream(Core::Verdict verdict)
{
    m_isBegun = true;
    addVerdict(m_head->fields, verdict);
    // A failed write is reported by the writer's caller-gone hook; the machine decides what follows.
    std::ignore = co_await m_writer.begin(*m_head);
}

void CallerSink::addVerdict(Http::Fields& fields, Core::Verdict verdict) const
{
    if (m_protocol.addsVerdict)
        fields.set(std::string(Request::verdictHeader), std::string(Core::toString(verdict)));
}

boost::asio::awaitable<void> CallerSink::piece(std::uint64_t, std::string bytes)
{
    if (!m_isBegun && m_held.size() + bytes.size() <= heldLimit) {
        m_held += bytes;
        noteHeld();
        co_return;
    }
    if (!m_isBegun) {
        co_await beginStream(Core::Verdict::MayHaveRun);
        std::string held = std::exchange(m_held, std::string());
        co_await write(held);
    }
    co_await write(bytes);
}

boost::asio::awaitable<void> CallerSink::finish(Request::Finish finish)
{
    if (!finish.error) {
        co_await finishWhole(finish.verdict);
        co_return;
    }
    Core::Error error = *finish.error;
    error.verdict = finish.verdict;
    if (m_isBegun) {
        co_await finishBroken(std::move(error));
        co_return;
    }
    Request::HttpErrorContext context;
    context.requestId = m_requestId;
    context.isRepeatable = m_isRepeatable;
    context.retryAfter = finish.retryAfter;
    std::optional<RelayAttempts> relayed;
    if (m_isRelayed)
        relayed = RelayAttempts { finish.attempts, std::move(finish.triedTargets) };
    std::ignore = co_await m_writer.send(errorResponse(m_protocol, error, context, relayed));
}

boost::asio::awaitable<void> CallerSink::finishWhole(Core::Verdict verdict)
{
    if (m_isBegun) {
        std::ignore = co_await m_writer.finish();
        co_return;
    }
    Http::Response response;
    if (m_head) {
        response.status = m_head->status;
        response.fields = std::move(m_head->fields);
    }
    addVerdict(response.fields, verdict);
    response.body = std::exchange(m_held, std::string());
    beginWait(response.body.size());
    std::ignore = co_await m_writer.send(std::move(response));
    endWait();
}

// A stream that can't be made whole ends with an explicit error event; any other body by a broken connection.
boost::asio::awaitable<void> CallerSink::finishBroken(Core::Error error)
{
    if (!m_isEventStream || !m_protocol.endsBrokenStreamsWithEvent) {
        m_writer.abort();
        co_return;
    }
    std::string event = Request::streamErrorEvent(error, m_requestId);
    std::ignore = co_await m_writer.write(event);
    std::ignore = co_await m_writer.finish();
}

KeeperSink::KeeperSink(AnswerKeeper& keeper, Request::TicketNonce const& nonce)
    : m_keeper(keeper)
    , m_nonce(nonce)
{
}

boost::asio::awaitable<void> KeeperSink::head(Http::ResponseHead head)
{
    head.fields = Http::withoutHopByHop(head.fields);
    m_keeper.head(m_nonce, std::move(head));
    co_return;
}

boost::asio::awaitable<void> KeeperSink::piece(std::uint64_t position, std::string bytes)
{
    m_keeper.append(m_nonce, position, bytes);
    co_return;
}

boost::asio::awaitable<void> KeeperSink::finish(Request::Finish finish)
{
    m_keeper.finish(m_nonce, Request::AnswerEnd { finish.verdict, std::move(finish.error) });
    co_return;
}

}
