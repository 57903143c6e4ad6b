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
    Http::Response response { exchange.head().status, exchange.head().fields, {} };
    while (answer.receivedBytes <= bodyLimit) {
        Core::Result<std::optional<std::string>> piece = co_await exchange.read();
        answer.endedAt = Clock::now();
        if (piece.has_error()) {
            answer.partialBody = std::move(response.body);
            answer.error = piece.error().message;
            co_return answer;
        }
        if (!piece.value()) {
            answer.response = std::move(response);
            co_return answer;
        }
        response.body += *piece.value();
        answer.receivedBytes = response.body.size();
    }
    answer.error = "the response is larger than " + std::to_string(bodyLimit) + " bytes";
    co_return answer;
}

}
