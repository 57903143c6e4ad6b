#include <LibCore/UncaughtException.h>
#include <LibHttp/CloseWatch.h>
#include <LibHttp/RequestReader.h>
#include <LibHttp/ServerConnection.h>
#include <LibHttp/SocketQueue.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace Http {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;
using Tcp = Asio::ip::tcp;

constexpr unsigned httpVersion11 = 11;
constexpr std::size_t readSize = 4 * 1024;
// A caller that has connected, or got a list of servers, just before the server stops may still be about to send.
constexpr std::chrono::milliseconds lastRequestWait { 1'000 };
constexpr std::chrono::milliseconds lingerTime { 2'000 };
constexpr std::size_t lingerLimit = 16 * 1024 * 1024;

/// What a connection does for its caller. Only an idle one may be closed without a word.
enum class ConnectionState : std::uint8_t {
    Idle, ///< No byte of a request has been taken from the kernel.
    Reading,
    Serving, ///< The handler has a whole request.
    Ending, ///< No more requests are taken.
};

Beast::http::response_header<> makeHead(std::uint16_t status, Fields const& fields, unsigned version)
{
    Beast::http::response_header<> head;
    head.version(version);
    head.result(status);
    for (Fields::Entry const& entry : fields.entries()) {
        // A field that no message can hold must not keep the caller from the answer.
        if (isFieldValue(entry.second))
            head.insert(entry.first, entry.second);
    }
    return head;
}

class Connection final : public ServedConnection, public ResponseWriter, public std::enable_shared_from_this<Connection> {
public:
    Connection(std::shared_ptr<ServerShared> shared, Tcp::socket socket, Admission admission)
        : m_shared(std::move(shared))
        , m_stream(std::move(socket))
        , m_idleTimer(m_stream.get_executor())
        , m_reader(m_stream, m_buffer, m_shared->settings)
        , m_closeWatch(CloseWatch::create(m_stream.socket()))
        , m_admission(admission)
    {
        ++openCount();
        boost::system::error_code ec; // A socket that fails here fails at its first use.
        m_stream.socket().non_blocking(true, ec);
    }

    ~Connection() override
    {
        --openCount();
        noteEnd(ConnectionEndReason::ThreadEnded);
        if (m_shared->onConnectionEnd)
            m_shared->onConnectionEnd(m_end);
    }

    void watchSilence()
    {
        SilenceHooks hooks;
        hooks.onSilent = [this](Silence) {
            m_isLastRequest = true;
            noteEnd(ConnectionEndReason::CallerSilent);
            breakOff(m_stream.socket());
        };
        m_silenceWatch = watchLiveness(m_stream.socket(), m_shared->settings.liveness, std::move(hooks));
    }

    void limitMemory()
    {
        if (!m_shared->memory)
            return;
        m_reader.limitMemory(m_shared->memory, [weak = weak_from_this(), executor = m_stream.get_executor()] {
            Asio::post(executor, [weak] {
                if (std::shared_ptr<Connection> self = weak.lock())
                    self->m_reader.checkRevoked();
            });
        });
    }

    Asio::awaitable<void> run()
    {
        // A co_await as the condition of a loop makes g++ 12 lose the frame's `this`.
        bool isOpen = true;
        while (isOpen)
            isOpen = co_await serveOne();
        m_state = ConnectionState::Ending;
        noteEnd(ConnectionEndReason::LastAnswer);
        bool isAnswered = m_end.reason == ConnectionEndReason::LastAnswer || m_end.reason == ConnectionEndReason::Rejected;
        if (isAnswered)
            co_await linger();
        // A caller that does not read must not occupy the kernel's memory for long.
        if (kernelTimes() == KernelTimes::Told && m_stream.socket().is_open())
            limitUnacknowledged(m_stream.socket(), m_shared->settings.writeTimeout);
    }

    void endWhenIdle() override
    {
        if (m_state == ConnectionState::Idle)
            limitIdleTime();
    }

    void closeUnlessServing() override
    {
        if (m_state == ConnectionState::Serving)
            return;
        noteEnd(ConnectionEndReason::ServerStopped);
        abort();
    }

    bool drop() override
    {
        if (m_state == ConnectionState::Serving || !m_stream.socket().is_open())
            return false;
        noteEnd(ConnectionEndReason::ConnectionLimit);
        abort();
        return true;
    }

    Asio::awaitable<Core::Result<void>> send(Response response) override
    {
        m_hasBegun = true;
        Beast::http::response<Beast::http::string_body> message(makeHead(response.status, response.fields, m_version));
        message.body() = std::move(response.body);
        message.keep_alive(keepsAlive());
        if (response.status != static_cast<std::uint16_t>(Status::NoContent))
            message.content_length(message.body().size());
        if (m_isHeadMethod)
            message.body().clear();
        m_isEnded = true;
        co_return co_await sendMessage(message);
    }

    Asio::awaitable<Core::Result<void>> begin(ResponseHead head) override
    {
        m_hasBegun = true;
        Beast::http::response<Beast::http::empty_body> message(makeHead(head.status, head.fields, m_version));
        boost::system::error_code ec;
        if (m_version >= httpVersion11) {
            message.chunked(true);
        } else {
            // HTTP/1.0 knows no chunks: the end of the connection ends the body, and until then whatever closes it must reset it.
            m_isLastRequest = true;
            m_stream.socket().set_option(Asio::socket_base::linger(true, 0), ec);
        }
        message.keep_alive(keepsAlive());
        Beast::http::response_serializer<Beast::http::empty_body> serializer(message);
        beginWrite();
        co_await Beast::http::async_write_header(m_stream, serializer, Asio::redirect_error(Asio::use_awaitable, ec));
        endWrite();
        co_return outcomeOf(ec);
    }

    Asio::awaitable<Core::Result<void>> write(std::string_view piece) override
    {
        if (piece.empty() || m_isHeadMethod)
            co_return Core::ok();
        boost::system::error_code ec;
        beginWrite();
        if (m_version < httpVersion11)
            co_await Asio::async_write(m_stream, Asio::buffer(piece), Asio::redirect_error(Asio::use_awaitable, ec));
        else
            co_await Asio::async_write(m_stream, Beast::http::make_chunk(Asio::buffer(piece)), Asio::redirect_error(Asio::use_awaitable, ec));
        endWrite();
        co_return outcomeOf(ec);
    }

    Asio::awaitable<Core::Result<void>> finish() override
    {
        m_isEnded = true;
        if (m_version < httpVersion11) {
            boost::system::error_code ec;
            m_stream.socket().set_option(Asio::socket_base::linger(false, 0), ec);
        }
        if (m_version < httpVersion11 || m_isHeadMethod)
            co_return Core::ok();
        boost::system::error_code ec;
        beginWrite();
        co_await Asio::async_write(m_stream, Beast::http::make_chunk_last(), Asio::redirect_error(Asio::use_awaitable, ec));
        endWrite();
        co_return outcomeOf(ec);
    }

    void abort() override
    {
        m_isLastRequest = true;
        boost::system::error_code ec;
        // The end of the connection may not look like that of the body, nor wait for a caller that does not read.
        bool isReset = m_state == ConnectionState::Serving && m_isWriting;
        if (isReset)
            m_stream.socket().set_option(Asio::socket_base::linger(true, 0), ec);
        m_stream.socket().close(ec);
    }

    void onCallerGone(std::function<void()> hook) override
    {
        if (hook)
            m_closeWatch->start(std::move(hook));
        else
            m_closeWatch->stop();
    }

    bool isCallerGone() const override { return m_closeWatch->isClosed(); }

    bool hasBegun() const override { return m_hasBegun; }

private:
    std::size_t& openCount() { return m_admission == Admission::Refused ? m_shared->refusedConnections : m_shared->connections; }

    // The first reason counts: what follows comes of it.
    void noteEnd(ConnectionEndReason reason, boost::system::error_code error = {})
    {
        if (std::exchange(m_hasEnd, true))
            return;
        m_end.reason = reason;
        m_end.error = error;
        if (!m_stream.socket().is_open())
            return;
        m_end.unreadBytes = m_buffer.size() + unreadBytes(m_stream.socket());
        m_end.unsentBytes = unacknowledgedBytes(m_stream.socket());
        m_end.transmit = transmitStateOf(m_stream.socket());
    }

    // While draining, each connection ends with the answer to all that its caller has sent on it.
    bool keepsAlive()
    {
        m_isLastRequest = m_isLastRequest || !m_callerKeepsAlive || (m_shared->isDraining && !hasNextRequest());
        return !m_isLastRequest;
    }

    bool hasNextRequest() const { return m_buffer.size() > 0 || unreadBytes(m_stream.socket()) > 0; }

    void beginWrite()
    {
        m_stream.expires_after(m_shared->settings.writeTimeout);
        m_isWriting = true;
        if (m_silenceWatch)
            m_silenceWatch->beginWrite();
    }

    void endWrite()
    {
        m_isWriting = false;
        if (m_silenceWatch)
            m_silenceWatch->endWrite();
    }

    template <typename Message>
    Asio::awaitable<Core::Result<void>> sendMessage(Message& message)
    {
        boost::system::error_code ec;
        beginWrite();
        co_await Beast::http::async_write(m_stream, message, Asio::redirect_error(Asio::use_awaitable, ec));
        endWrite();
        co_return outcomeOf(ec);
    }

    Core::Result<void> outcomeOf(boost::system::error_code ec)
    {
        if (!ec)
            return Core::ok();
        m_isLastRequest = true;
        noteEnd(ConnectionEndReason::WriteFailed, ec);
        return Core::fail(Core::ErrorCode::Canceled, "the caller's connection failed: " + ec.message());
    }

    void endWatch()
    {
        m_closeWatch->stop();
        if (m_closeWatch->isWaiting()) {
            boost::system::error_code ec;
            m_stream.socket().cancel(ec);
        }
    }

    Asio::awaitable<bool> serveOne()
    {
        m_hasBegun = false;
        m_isEnded = false;
        std::optional<Request> request = co_await readRequest();
        if (!request)
            co_return false;
        m_state = ConnectionState::Serving;
        if (m_silenceWatch)
            m_silenceWatch->beginWait();
        ++m_end.requests;
        ++m_shared->activeRequests;
        // A handler that fails must not leave its request among the active ones.
        try {
            co_await m_shared->handler(*request, *this);
        } catch (...) {
            Core::logUncaughtException(std::current_exception());
        }
        --m_shared->activeRequests;
        if (m_silenceWatch)
            m_silenceWatch->endWait();
        endWatch();
        if (m_isEnded && !m_hasEnd)
            ++m_end.answers;
        if (!m_isEnded)
            noteEnd(ConnectionEndReason::NoAnswer, m_closeWatch->error());
        if (!m_isEnded)
            abort(); // A handler that gave up in mid-answer must not look like one that ended it.
        co_return !m_isLastRequest;
    }

    // Returns nothing if the connection is to end; whatever could be answered then has its answer.
    Asio::awaitable<std::optional<Request>> readRequest()
    {
        bool hasBytes = co_await waitForRequest();
        if (!hasBytes)
            co_return std::nullopt;
        m_state = ConnectionState::Reading;
        RequestRead read = co_await m_reader.read();
        if (read.isWithoutRoom)
            noteMemoryRefusal();
        if (read.problem != Status::Ok) {
            co_await sendRejection(read.problem, read.message);
            co_return std::nullopt;
        }
        if (!read.request) {
            noteEnd(ConnectionEndReason::ReadFailed);
            co_return std::nullopt;
        }
        std::optional<TransmitState> state = kernelTimes() != KernelTimes::Missing ? transmitStateOf(m_stream.socket()) : std::nullopt;
        if (state)
            read.request->waited = state->sinceReceived;
        m_version = read.version;
        m_callerKeepsAlive = read.keepsAlive;
        m_isHeadMethod = read.request->method == "HEAD";
        if (m_admission == Admission::Refused) {
            co_await sendRejection(Status::ServiceUnavailable, "this listener has as many connections as it may");
            co_return std::nullopt;
        }
        co_return read.request;
    }

    void noteMemoryRefusal()
    {
        if (!m_shared->onMemoryRefused)
            return;
        boost::system::error_code ec; // The address is for a log alone.
        m_shared->onMemoryRefused({ m_stream.socket().remote_endpoint(ec), m_shared->memory->usage() });
    }

    // Waits until the buffer holds the first bytes of a request. Nothing is read before the wait is over, whatever ends it:
    // what the kernel has received by then is served, however late the event loop comes to it.
    Asio::awaitable<bool> waitForRequest()
    {
        skipEmptyLines();
        m_state = ConnectionState::Idle;
        m_isIdleTimeOver = false;
        limitIdleTime();
        while (m_buffer.size() == 0) {
            boost::system::error_code ec;
            // Behind the idle time no timer ends a wait: what has been received is all that counts.
            if (!m_isIdleTimeOver)
                co_await m_stream.socket().async_wait(Tcp::socket::wait_read, Asio::redirect_error(Asio::use_awaitable, ec));
            if (!m_stream.socket().is_open())
                co_return false;
            std::size_t n = m_stream.socket().read_some(m_buffer.prepare(readSize), ec);
            if (!ec) {
                m_buffer.commit(n);
                skipEmptyLines();
                continue;
            }
            bool hasNothing = ec == Asio::error::would_block || ec == Asio::error::try_again;
            if (hasNothing && !m_isIdleTimeOver)
                continue;
            ConnectionEndReason timeOver = m_shared->isStopped ? ConnectionEndReason::ServerStopped : ConnectionEndReason::IdleTimeout;
            noteEnd(hasNothing ? timeOver : ConnectionEndReason::CallerClosed, hasNothing ? boost::system::error_code() : ec);
            break;
        }
        m_idleTimer.cancel();
        co_return m_buffer.size() > 0;
    }

    // RFC 9112, section 2.2: empty lines in front of a request line are ignored.
    void skipEmptyLines()
    {
        constexpr std::string_view lineEnd = "\r\n";
        while (std::string_view(static_cast<char const*>(m_buffer.data().data()), m_buffer.size()).starts_with(lineEnd))
            m_buffer.consume(lineEnd.size());
    }

    void limitIdleTime()
    {
        std::chrono::milliseconds time = m_shared->settings.idleTimeout;
        if (m_shared->isStopped || m_admission == Admission::Refused)
            time = std::min(time, lastRequestWait);
        m_idleTimer.start(time, [this] {
            m_isIdleTimeOver = true;
            boost::system::error_code ec;
            m_stream.socket().cancel(ec);
        });
    }

    Asio::awaitable<void> sendRejection(Status status, std::string_view message)
    {
        m_isLastRequest = true;
        if (!m_stream.socket().is_open())
            co_return;
        Core::Result<void> sent = co_await send(m_shared->rejection(status, message));
        if (sent.has_error())
            co_return;
        m_buffer.clear();
        noteEnd(ConnectionEndReason::Rejected);
    }

    // RFC 9112, section 9.6: a close while unread bytes wait resets the connection and destroys what the caller has not
    // received yet of the last answer.
    Asio::awaitable<void> linger()
    {
        boost::system::error_code ec;
        m_stream.socket().shutdown(Tcp::socket::shutdown_send, ec);
        m_stream.expires_after(lingerTime);
        // The bytes are discarded, so that all connections of a thread share one buffer.
        thread_local std::array<char, 16 * 1024> waste;
        for (std::size_t total = 0; !ec && total < lingerLimit;)
            total += co_await m_stream.async_read_some(Asio::buffer(waste), Asio::redirect_error(Asio::use_awaitable, ec));
    }

    std::shared_ptr<ServerShared> m_shared;
    Beast::tcp_stream m_stream;
    Beast::flat_buffer m_buffer;
    CancelableTimer m_idleTimer;
    RequestReader m_reader;
    std::shared_ptr<CloseWatch> m_closeWatch;
    std::shared_ptr<SilenceWatch> m_silenceWatch; ///< Empty if no limit is set.
    Admission m_admission;
    ConnectionState m_state { ConnectionState::Idle };
    unsigned m_version { httpVersion11 };
    bool m_callerKeepsAlive { true };
    bool m_isHeadMethod { false };
    bool m_isIdleTimeOver { false };
    bool m_isLastRequest { false };
    bool m_hasBegun { false };
    bool m_isEnded { false };
    bool m_isWriting { false };
    bool m_hasEnd { false };
    ConnectionEnd m_end;
};

}

std::weak_ptr<ServedConnection> serveConnection(std::shared_ptr<ServerShared> shared, Tcp::socket socket, Admission admission)
{
    Asio::any_io_executor executor = socket.get_executor();
    std::shared_ptr<Connection> connection = std::make_shared<Connection>(std::move(shared), std::move(socket), admission);
    connection->watchSilence();
    connection->limitMemory();
    Asio::co_spawn(
        executor, [connection]() -> Asio::awaitable<void> { co_await connection->run(); }, Core::logUncaughtException);
    return connection;
}

}
