#include <LibDaemon/HomeForwarder.h>
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>

namespace Daemon {

namespace {

using Clock = std::chrono::steady_clock;

// A home that is paused for some seconds still answers; one that is gone for good is not waited for longer.
constexpr std::chrono::seconds patience { 10 };
constexpr std::chrono::milliseconds firstDelay { 100 };
constexpr std::chrono::milliseconds longestDelay { 1'600 };

}

/// What has come on the present stream and waits for delivery.
struct HomeForwarder::Incoming {
    FrameReader reader;
    std::deque<AnswerFrame> frames;
    std::size_t bytes { 0 }; ///< Received and not given back to the flow control window.
    std::optional<Core::Result<void>> end;
};

HomeForwarder::HomeForwarder(boost::asio::io_context& context, Peer::Clients& clients, boost::asio::ip::tcp::endpoint home, Clock::time_point deadline)
    : m_context(context)
    , m_clients(clients)
    , m_home(std::move(home))
    , m_deadline(deadline)
    , m_signal(std::make_shared<Signal>(context.get_executor()))
    , m_lastError(Core::makeUncertainError(Core::ErrorCode::Unavailable, "the ticket's home cannot be reached"))
{
}

void HomeForwarder::cancel()
{
    m_isCanceled = true;
    m_signal->notify();
}

boost::asio::awaitable<void> HomeForwarder::wait(std::chrono::milliseconds duration)
{
    boost::asio::steady_timer timer(m_context, duration);
    boost::system::error_code ec;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

boost::asio::awaitable<void> HomeForwarder::run(ForwardedRequest request, AnswerSink& sink)
{
    Clock::time_point limit = std::min(m_deadline, Clock::now() + patience);
    for (std::chrono::milliseconds delay { 0 }; !m_isCanceled && Clock::now() + delay < limit; delay = std::clamp(delay * 2, firstDelay, longestDelay)) {
        if (delay.count() > 0)
            co_await wait(delay);
        if (m_deliveredBytes > 0)
            request.from = Request::AnswerOffset { Request::AnswerOffset::Unit::Bytes, m_deliveredBytes };
        if (co_await runOnce(request, sink))
            co_return;
    }
    if (m_isCanceled)
        co_return;
    // An earlier send of the ticket may have reached its home, so even a try that sent nothing proves nothing.
    Request::Finish finish;
    finish.verdict = Core::Verdict::MayHaveRun;
    finish.error = Core::makeUncertainError(m_lastError.code, "the ticket's home cannot be reached: " + m_lastError.message);
    co_await sink.finish(std::move(finish));
}

// Opens one stream and delivers what comes. Returns whether the answer's end was delivered.
boost::asio::awaitable<bool> HomeForwarder::runOnce(ForwardedRequest const& request, AnswerSink& sink)
{
    std::shared_ptr<Incoming> incoming = std::make_shared<Incoming>();
    Peer::StreamHooks hooks;
    hooks.isConsumedByHand = true;
    hooks.onData = [incoming, signal = m_signal](std::string_view bytes) {
        incoming->bytes += bytes.size();
        Core::Result<std::vector<AnswerFrame>> frames = incoming->reader.add(bytes);
        if (frames.has_error()) {
            incoming->end = Core::Result<void>(frames.error());
        } else {
            for (AnswerFrame& frame : frames.value())
                incoming->frames.push_back(std::move(frame));
        }
        signal->notify();
    };
    hooks.onEnd = [incoming, signal = m_signal](Core::Result<void> end) {
        if (!incoming->end)
            incoming->end = std::move(end);
        signal->notify();
    };
    std::shared_ptr<Peer::ClientStream> stream = m_clients.get(m_home)->open("/v1/forward", encode(request), std::move(hooks));
    boost::asio::steady_timer timer(m_context, m_deadline);
    timer.async_wait([signal = m_signal](boost::system::error_code ec) {
        if (!ec)
            signal->notify();
    });
    bool isDelivered = false;
    while (!isDelivered && !m_isCanceled) {
        if (!incoming->frames.empty()) {
            AnswerFrame frame = std::move(incoming->frames.front());
            incoming->frames.pop_front();
            isDelivered = co_await deliver(std::move(frame), sink);
            continue;
        }
        stream->consume(std::exchange(incoming->bytes, 0));
        if (incoming->end || Clock::now() >= m_deadline)
            break;
        co_await m_signal->wait();
    }
    stream->cancel();
    if (incoming->end && incoming->end->has_error())
        m_lastError = incoming->end->error();
    co_return isDelivered;
}

// Hands one frame to the sink. Returns whether it was the end of the answer.
boost::asio::awaitable<bool> HomeForwarder::deliver(AnswerFrame frame, AnswerSink& sink)
{
    if (Http::ResponseHead* head = std::get_if<Http::ResponseHead>(&frame)) {
        if (!std::exchange(m_isHeadDelivered, true))
            co_await sink.head(std::move(*head));
    } else if (ForwardedPiece* piece = std::get_if<ForwardedPiece>(&frame)) {
        m_deliveredBytes = piece->position;
        co_await sink.piece(piece->position, std::move(piece->bytes));
    } else if (Request::Finish* finish = std::get_if<Request::Finish>(&frame)) {
        co_await sink.finish(std::move(*finish));
        co_return true;
    }
    co_return false;
}

}
