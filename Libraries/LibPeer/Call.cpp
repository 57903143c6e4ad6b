#include <LibPeer/Call.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>

namespace Peer {

namespace {

/// What the stream's hooks and the waiting coroutine share.
struct Collection {
    Collection(boost::asio::any_io_executor const& executor, std::chrono::milliseconds timeout)
        : timer(executor, timeout)
    {
    }

    boost::asio::steady_timer timer;
    Reply reply;
    std::optional<Core::Result<void>> end;
    bool isTooLarge { false };
};

StreamHooks makeHooks(std::shared_ptr<Collection> const& collection, std::size_t maxBytes)
{
    StreamHooks hooks;
    hooks.onHead = [collection](int status) { collection->reply.status = status; };
    hooks.onData = [collection, maxBytes](std::string_view bytes) {
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

boost::asio::awaitable<Core::Result<Reply>> call(Client& client, std::string path, std::string body, std::chrono::milliseconds timeout)
{
    boost::asio::any_io_executor const executor = co_await boost::asio::this_coro::executor;
    std::shared_ptr<Collection> const collection = std::make_shared<Collection>(executor, timeout);
    std::shared_ptr<ClientStream> const stream = client.open(std::move(path), std::move(body), makeHooks(collection, client.settings().maxReplyBytes));
    boost::system::error_code ec;
    co_await collection->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
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

}
