#include "TimedAnswer.h"

namespace Processes {

using Clock = std::chrono::steady_clock;

boost::asio::awaitable<TimedAnswer> askTimed(Http::Client& client, boost::asio::ip::tcp::endpoint endpoint, Http::Request request)
{
    constexpr std::size_t bodyLimit = 1024 * 1024;
    TimedAnswer answer;
    Core::Result<std::unique_ptr<Http::Exchange>> connected = co_await client.connect(endpoint, Http::ConnectionChoice::Kept);
    answer.sentAt = answer.endedAt = Clock::now();
    if (connected.has_error()) {
        answer.error = connected.error().message;
        co_return answer;
    }
    Http::Exchange& exchange = *connected.value();
    Core::Result<void> started = co_await exchange.start(request);
    if (started.has_error()) {
        answer.endedAt = Clock::now();
        answer.wasSent = started.error().verdict != Core::Verdict::NotRun;
        answer.error = started.error().message;
        co_return answer;
    }
    answer.wasSent = answer.hasBegun = true;
    Core::Result<Http::Response> response = co_await Http::readWhole(exchange, bodyLimit);
    answer.endedAt = Clock::now();
    if (response.has_value())
        answer.response = std::move(response.value());
    else
        answer.error = response.error().message;
    co_return answer;
}

}
