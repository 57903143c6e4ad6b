#include <LibCore/UncaughtException.h>
#include <LibHttp/Exchange.h>
#include <LibHttp/HeadLines.h>
#include <LibHttp/SocketQueue.h>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <limits>

namespace Http {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;

constexpr std::size_t pieceSize = 16 * 1024;
constexpr std::size_t headReadSize = 4 * 1024;
constexpr unsigned httpVersion11 = 11;
constexpr std::uint32_t headLimit = 8 * 1024; // The parser's own default.
// RFC 9110, section 15.2, sets no limit; servers send one or two.
constexpr int mostInterimResponses = 16;
constexpr std::uint16_t firstFinalStatus = 200;
// Of the time that a server says it keeps an idle connection: it and the network need the rest to cross our request.
constexpr int keepShareInTenths = 7;

// Reads `Keep-Alive: timeout=N`, in seconds (RFC 2068, section 19.7.1.1).
std::optional<std::chrono::milliseconds> keepAliveTimeout(Fields const& fields)
{
    constexpr std::string_view parameter = "timeout=";
    std::string_view text = fields.find("Keep-Alive").value_or("");
    std::size_t at = text.find(parameter);
    if (at == std::string_view::npos)
        return std::nullopt;
    std::string_view digits = text.substr(at + parameter.size());
    std::uint32_t seconds = 0;
    std::from_chars_result parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

// What an HTTP message cannot hold would end the message early, or throw.
std::string problemOf(Request const& request)
{
    if (!isFieldValue(request.target) || request.target.find(' ') != std::string::npos)
        return "the request's target cannot be sent";
    for (Fields::Entry const& entry : request.fields.entries()) {
        if (!isFieldValue(entry.second))
            return "the request's field " + entry.first + " cannot be sent";
    }
    return {};
}

}

/// A request on its way to the server. Shared with the coroutine that writes it, which may outlive the exchange.
struct ConnectionExchange::Writing {
    explicit Writing(Asio::any_io_executor const& executor)
        : ended(executor, Asio::steady_timer::time_point::max())
    {
    }

    bool hasEnded() const { return isDone || ec; }

    Beast::http::request<Beast::http::span_body<char const>> message;
    Body body; ///< That the message refers to.
    bool hasWritten { false }; ///< The kernel took at least one byte.
    bool isDone { false };
    boost::system::error_code ec;
    Asio::steady_timer ended; ///< Canceled once the writer has ended.
};

ConnectionExchange::ConnectionExchange(std::shared_ptr<ClientConnection> connection, ClientSettings const& settings, ConnectionReturn giveBack)
    : m_connection(std::move(connection))
    , m_settings(settings)
    , m_return(std::move(giveBack))
    , m_isOnKeptConnection(m_connection->keepUntil != Core::BootClock::time_point())
{
}

ConnectionExchange::~ConnectionExchange()
{
    // The writer's coroutine may still hold the connection.
    if (m_connection && m_writing && !m_writing->isDone)
        cancel();
}

void ConnectionExchange::renewParser()
{
    m_parser.emplace();
    m_parser->header_limit(headLimit);
    m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    m_parser->skip(m_isHeadMethod);
}

Asio::awaitable<Core::Result<void>> ConnectionExchange::start(Request const& request)
{
    if (std::string problem = problemOf(request); !problem.empty())
        co_return Core::fail(Core::ErrorCode::BadInput, problem);
    beginWriting(request);
    co_return co_await readHead();
}

// RFC 9112, section 9.5: a server may answer before it has read the request, so the response is read meanwhile.
void ConnectionExchange::beginWriting(Request const& request)
{
    m_writing = std::make_shared<Writing>(m_connection->stream.get_executor());
    Beast::http::request<Beast::http::span_body<char const>>& message = m_writing->message;
    message.version(httpVersion11);
    message.method_string(request.method);
    message.target(request.target);
    for (Fields::Entry const& entry : request.fields.entries())
        message.insert(entry.first, entry.second);
    if (message.find(Beast::http::field::host) == message.end()) {
        boost::system::error_code ec;
        message.set(Beast::http::field::host, Http::toString(m_connection->stream.socket().remote_endpoint(ec)));
    }
    m_isHeadMethod = message.method() == Beast::http::verb::head;
    (m_isHeadMethod ? m_connection->hasCarriedHead : m_connection->hasCarriedOther) = true;
    m_writing->body = request.body;
    message.body() = { request.body.text().data(), request.body.size() };
    message.prepare_payload();
    if (m_connection->silenceWatch) {
        m_connection->silenceWatch->setEndsUnexplained(m_settings.onSilence == OnSilence::Fail);
        m_connection->silenceWatch->beginWait();
    }
    // A server may read the rest of the request late, or answer first.
    m_connection->stream.expires_after(std::max(m_settings.writeTimeout, m_settings.headTimeout));
    Asio::co_spawn(m_connection->stream.get_executor(), writeAll(m_connection, m_writing), Core::logUncaughtException);
}

Asio::awaitable<void> ConnectionExchange::writeAll(std::shared_ptr<ClientConnection> connection, std::shared_ptr<Writing> writing)
{
    Beast::http::request_serializer<Beast::http::span_body<char const>> serializer(writing->message);
    while (!writing->ec && !serializer.is_done()) {
        if (connection->silenceWatch)
            connection->silenceWatch->beginWrite();
        std::size_t n = co_await Beast::http::async_write_some(connection->stream, serializer, Asio::redirect_error(Asio::use_awaitable, writing->ec));
        if (connection->silenceWatch)
            connection->silenceWatch->endWrite();
        writing->hasWritten = writing->hasWritten || n > 0;
    }
    writing->isDone = !writing->ec;
    // Nothing can come back for a request of which nothing went out.
    if (writing->ec && !writing->hasWritten) {
        boost::system::error_code ec;
        connection->stream.socket().close(ec);
    }
    writing->ended.cancel();
}

// RFC 9110, section 15.2: interim responses may come in front of the final one. They do not extend the time, and none was asked for, so
// that it may belong to another request.
Asio::awaitable<Core::Result<void>> ConnectionExchange::readHead()
{
    m_connection->stream.expires_after(m_settings.headTimeout);
    for (int n = 0; n <= mostInterimResponses; ++n) {
        renewParser();
        boost::system::error_code ec = co_await receiveHead();
        if (ec)
            co_return boost::outcome_v2::failure(errorOf(ec, "waiting for the response"));
        Core::Result<void> taken = takeHead();
        if (taken.has_error() || m_head.status >= firstFinalStatus)
            co_return taken;
        m_hasSkipped = true;
    }
    co_return boost::outcome_v2::failure(errorOf("more than " + std::to_string(mostInterimResponses) + " interim ones come in front of it"));
}

// Reads until the head is whole in the buffer.
Asio::awaitable<boost::system::error_code> ConnectionExchange::receiveHead()
{
    Beast::flat_buffer& buffer = m_connection->buffer;
    HeadScanner scanner;
    while (true) {
        std::string_view bytes(static_cast<char const*>(buffer.data().data()), buffer.size());
        HeadScanner::Progress progress = scanner.scan(bytes);
        if (progress == HeadScanner::Progress::Malformed)
            co_return Beast::http::error::bad_line_ending;
        if (progress == HeadScanner::Progress::Whole)
            co_return boost::system::error_code();
        if (bytes.size() > headLimit)
            co_return Beast::http::error::header_limit;
        boost::system::error_code ec;
        std::size_t n = co_await m_connection->stream.async_read_some(buffer.prepare(headReadSize), Asio::redirect_error(Asio::use_awaitable, ec));
        if (ec == Asio::error::eof)
            ec = buffer.size() == 0 ? Beast::http::error::end_of_stream : Beast::http::error::partial_message;
        if (ec)
            co_return ec;
        buffer.commit(n);
    }
}

// Precondition: the head is whole in the buffer.
Core::Result<void> ConnectionExchange::takeHead()
{
    boost::system::error_code ec;
    m_connection->buffer.consume(m_parser->put(m_connection->buffer.data(), ec));
    if (!ec && !m_parser->is_header_done())
        ec = Beast::http::error::partial_message;
    if (ec)
        return boost::outcome_v2::failure(errorOf(ec, "reading the response's head"));
    m_head = ResponseHead();
    m_head.status = static_cast<std::uint16_t>(m_parser->get().result_int());
    for (Beast::http::fields::value_type const& field : m_parser->get())
        m_head.fields.add(std::string(field.name_string()), std::string(field.value()));
    if (std::string_view problem = problemOf(m_head, m_parser->get().version()); !problem.empty())
        return boost::outcome_v2::failure(errorOf(problem));
    return Core::ok();
}

Asio::awaitable<Core::Result<void>> ConnectionExchange::skipResponse()
{
    m_hasSkipped = true;
    if (!m_connection)
        co_return boost::outcome_v2::failure(Core::makeUncertainError(Core::ErrorCode::Unavailable, "the connection is no longer in use"));
    if (m_parser->need_eof())
        co_return boost::outcome_v2::failure(Core::makeUncertainError(Core::ErrorCode::Unavailable, "a response to another request ends with its connection"));
    // RFC 9112, section 6.3: a response's framing depends on the method of its request, which is unknown here.
    if (m_connection->hasCarriedHead && m_connection->hasCarriedOther)
        co_return boost::outcome_v2::failure(Core::makeUncertainError(Core::ErrorCode::Unavailable, "a response to another request has an unknown length"));
    std::size_t skipped = 0;
    while (!m_parser->is_done()) {
        Core::Result<std::string> piece = co_await readPiece();
        if (piece.has_error())
            co_return boost::outcome_v2::failure(piece.error());
        skipped += piece.value().size();
        if (skipped > m_settings.skippedLimit)
            co_return boost::outcome_v2::failure(Core::makeUncertainError(Core::ErrorCode::Unavailable, "a response to another request is larger than " + std::to_string(m_settings.skippedLimit) + " bytes"));
    }
    co_return co_await readHead();
}

Asio::awaitable<Core::Result<std::optional<std::string>>> ConnectionExchange::read()
{
    if (m_isCanceled)
        co_return Core::Result<std::optional<std::string>>(canceledError());
    if (!m_connection)
        co_return std::optional<std::string>();
    while (!m_parser->is_done()) {
        Core::Result<std::string> piece = co_await readPiece();
        if (piece.has_error())
            co_return Core::Result<std::optional<std::string>>(piece.error());
        if (!piece.value().empty())
            co_return std::optional<std::string>(std::move(piece.value()));
    }
    giveBack();
    co_return std::optional<std::string>();
}

// The last piece of a response may be empty: a chunked body ends with a chunk that holds no bytes. The connection stays with the exchange.
Asio::awaitable<Core::Result<std::string>> ConnectionExchange::readPiece()
{
    if (m_isCanceled)
        co_return Core::Result<std::string>(canceledError());
    std::string piece(pieceSize, '\0');
    m_parser->get().body().data = piece.data();
    m_parser->get().body().size = piece.size();
    m_connection->stream.expires_after(m_settings.pieceTimeout);
    boost::system::error_code ec;
    co_await Beast::http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser, Asio::redirect_error(Asio::use_awaitable, ec));
    if (ec == Beast::http::error::need_buffer)
        ec = {};
    if (!ec && m_parser->is_done() && m_parser->need_eof())
        ec = co_await errorBehindEnd();
    if (ec)
        co_return Core::Result<std::string>(errorOf(ec, "reading the response"));
    piece.resize(piece.size() - m_parser->get().body().size);
    co_return piece;
}

// RFC 9112, section 8: a body that ends with its connection is whole only if its sender closed the connection. The kernel reports a
// reset once: if the write takes the error, the read behind it sees an ordinary end.
Asio::awaitable<boost::system::error_code> ConnectionExchange::errorBehindEnd()
{
    // On a connection that has failed a write cannot wait.
    while (!m_writing->hasEnded() && hasHungUp(m_connection->stream.socket())) {
        boost::system::error_code ec;
        co_await m_writing->ended.async_wait(Asio::redirect_error(Asio::use_awaitable, ec));
    }
    // A reset behind the sender's close fails the write so.
    co_return m_writing->ec == Asio::error::broken_pipe ? boost::system::error_code() : m_writing->ec;
}

// RFC 9112, section 9.3: a connection is reused only if both messages ended on it as their framing says.
void ConnectionExchange::giveBack()
{
    if (!m_connection)
        return;
    std::shared_ptr<ClientConnection> connection = std::move(m_connection);
    bool isClean = m_writing && m_writing->isDone && !m_hasSkipped && connection->buffer.size() == 0;
    if (!isClean || !m_parser->keep_alive() || m_parser->need_eof())
        return;
    std::chrono::milliseconds keep = m_settings.keepTime;
    if (std::optional<std::chrono::milliseconds> announced = keepAliveTimeout(m_head.fields))
        keep = std::min(keep, *announced * keepShareInTenths / 10);
    connection->keepUntil = Core::BootClock::now() + keep;
    if (connection->silenceWatch)
        connection->silenceWatch->endWait();
    m_return(std::move(connection));
}

void ConnectionExchange::setOnSilence(OnSilence onSilence)
{
    m_settings.onSilence = onSilence;
    if (m_connection && m_connection->silenceWatch)
        m_connection->silenceWatch->setEndsUnexplained(onSilence == OnSilence::Fail);
}

std::size_t ConnectionExchange::unacknowledgedBytes() const
{
    return m_connection ? Http::unacknowledgedBytes(m_connection->stream.socket()) : 0;
}

void ConnectionExchange::cancel()
{
    m_isCanceled = true;
    if (m_connection)
        closeOrAbort(m_connection->stream.socket());
}

Core::Error ConnectionExchange::canceledError()
{
    return Core::makeUncertainError(Core::ErrorCode::Canceled, "the exchange was canceled");
}

Core::Error ConnectionExchange::errorOf(boost::system::error_code ec, std::string_view step) const
{
    Core::ErrorCode code = Core::ErrorCode::Unavailable;
    Silence silence = m_connection ? m_connection->silence : Silence::None;
    if (m_isCanceled || (ec == Asio::error::operation_aborted && silence == Silence::None))
        code = Core::ErrorCode::Canceled;
    else if (ec == Beast::error::timeout)
        code = Core::ErrorCode::Timeout;
    std::string reason = silence == Silence::None ? ec.message() : std::string(Core::nameOf(silenceNames, silence));
    std::string message = "failed while " + std::string(step) + ": " + reason;
    return Core::Error { code, std::move(message), verdict() };
}

Core::Error ConnectionExchange::errorOf(std::string_view problem) const
{
    return Core::Error { Core::ErrorCode::Unavailable, "the response is unacceptable: " + std::string(problem), verdict() };
}

Core::Verdict ConnectionExchange::verdict() const
{
    return m_writing && m_writing->hasWritten ? Core::Verdict::MayHaveRun : Core::Verdict::NotRun;
}

}
