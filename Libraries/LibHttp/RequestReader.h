#pragma once

#include <LibHttp/CancelableTimer.h>
#include <LibHttp/ClaimedBody.h>
#include <LibHttp/Message.h>
#include <LibHttp/Server.h>
#include <LibHttp/Status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Http {

/// What came of reading a request: the request, or the reason why it is rejected, or neither if the connection failed first.
struct RequestRead {
    std::optional<Request> request;
    unsigned version { 11 }; ///< As in HTTP/1.1.
    bool keepsAlive { true }; ///< The caller lets the connection go on behind the answer.
    Status problem { Status::Ok };
    bool isWithoutRoom { false }; ///< The problem is that there is no memory for it.
    std::string message; ///< Of the problem, for the caller.
};

/// Reads the requests of a connection one after the other, each within the limits and timeouts in force when its parts are
/// awaited. Use from the connection's thread only.
class RequestReader {
public:
    /// Precondition: all three outlive the reader.
    RequestReader(boost::beast::tcp_stream&, boost::beast::flat_buffer&, ServerSettings const&);

    /// Claims the memory of further requests from `budget`. `onRevoked` is called by any thread when the request that is being read has to
    /// make room, also when the reader has ended: have `checkRevoked` called on the connection's thread.
    void limitMemory(std::shared_ptr<Core::MemoryBudget> budget, std::function<void()> onRevoked);

    /// Reads a request to its end, from what the buffer holds and then from the stream.
    boost::asio::awaitable<RequestRead> read();

    /// Ends the request that is being read, if its memory has been taken back.
    void checkRevoked();

private:
    using Parser = boost::beast::http::request_parser<ClaimedBody>;

    boost::asio::awaitable<RequestRead> readWithTimeouts();
    boost::asio::awaitable<Status> receiveHead(boost::system::error_code&);
    boost::asio::awaitable<RequestRead> readBehindHead();
    boost::asio::awaitable<boost::system::error_code> readBody(Parser&);
    void limitTime(std::chrono::milliseconds);
    RequestRead failed(boost::system::error_code) const;
    static RequestRead withoutRoom();
    void releaseBuffer();

    boost::beast::tcp_stream& m_stream;
    boost::beast::flat_buffer& m_buffer;
    ServerSettings const& m_settings;
    std::shared_ptr<Core::MemoryBudget> m_budget;
    std::function<void()> m_onRevoked;
    CancelableTimer m_timer;
    std::optional<RequestMemory> m_memory; ///< Of the request that is being read.
    bool m_isTimedOut { false };
};

}
