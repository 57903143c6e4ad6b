#include <LibPeer/Call.h>
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>

namespace Peer {

namespace {

/// What the stream's hooks and the waiting coroutine share.
struct Collection {
    explicit Collection(boost::asio::any_io_executor const& executor)
        : timer(executor)
        , heardAt(std::chrono::steady_clock::now())
    {
    }

    boost::asio::steady_timer timer;
    Reply reply;
    std::optional<Core::Result<void>> end;
    bool isTooLarge { false };
    bool isOver() const { return isTooLarge || end.has_value(); }
    std::chrono::steady_clock::time_point heardAt; ///< When the last part of the answer arrived.
};

StreamHooks makeHooks(std::shared_ptr<Collection> const& collection, std::size_t maxBytes)
{
    StreamHooks hooks;
    hooks.onHead = [collection](int status) {
        collection->reply.status = status;
        collection->heardAt = std::chrono::steady_clock::now();
    };
    hooks.onData = [collection, maxBytes](std::string_view bytes) {
        collection->heardAt = std::chrono::steady_clock::now();
        if (collection->reply.body.size() + bytes.size() <= maxBytes) {
            collection->reply.body += bytes;
            return;
        }
        collection->isTooLarge = true;
        collection->timer.cancel();
    };
    hooks.onEnd = [collection](Core::Result<void> result) {
        collection->end = std::move(result);
        collection->timer.cancel();
    };
    return hooks;
}

}

boost::asio::awaitable<Core::Result<Reply>> call(Client& client, std::string path, std::string body, CallTimeouts timeouts)
{
    boost::asio::any_io_executor const executor = co_await boost::asio::this_coro::executor;
    std::shared_ptr<Collection> const collection = std::make_shared<Collection>(executor);
    std::chrono::steady_clock::time_point const last = collection->heardAt + timeouts.total;
    std::shared_ptr<ClientStream> const stream = client.open(std::move(path), std::move(body), makeHooks(collection, client.settings().maxReplyBytes));
    // What arrives while the timer runs only moves the end of the silence.
    for (std::chrono::steady_clock::time_point until = std::min(last, collection->heardAt + timeouts.silence); !collection->isOver() && std::chrono::steady_clock::now() < until; until = std::min(last, collection->heardAt + timeouts.silence)) {
        collection->timer.expires_at(until);
        boost::system::error_code ec;
        co_await collection->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
    if (!collection->isTooLarge && collection->end) {
        if (collection->end->has_error())
            co_return collection->end->error();
        co_return std::move(collection->reply);
    }
    Core::Verdict const verdict = stream->cancel();
    if (collection->isTooLarge)
        co_return Core::Error { Core::ErrorCode::Unavailable, "The answer is larger than maxReplyBytes.", verdict };
    co_return Core::Error { Core::ErrorCode::Timeout, "The other daemon did not answer in time.", verdict };
}

boost::asio::awaitable<Core::Result<Reply>> call(Client& client, std::string path, std::string body, std::chrono::milliseconds timeout)
{
    CallTimeouts timeouts { timeout, timeout };
    return call(client, std::move(path), std::move(body), timeouts);
}

}
