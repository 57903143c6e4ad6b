#include <LibHttp/Exchange.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <limits>

namespace Http {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;

constexpr std::size_t pieceSize = 16 * 1024;
constexpr unsigned httpVersion11 = 11;

}

ConnectionExchange::ConnectionExchange(std::unique_ptr<ClientConnection> connection, ClientSettings const& settings, ConnectionReturn giveBack)
    : m_connection(std::move(connection))
    , m_settings(settings)
    , m_return(std::move(giveBack))
{
    m_parser.body_limit(std::numeric_limits<std::uint64_t>::max());
}

ConnectionExchange::~ConnectionExchange() = default;

Asio::awaitable<Core::Result<void>> ConnectionExchange::start(Request const& request)
{
    Core::Result<void> written = co_await writeRequest(request);
    if (written.has_error())
        co_return written;
    co_return co_await readHead();
}

Asio::awaitable<Core::Result<void>> ConnectionExchange::writeRequest(Request const& request)
{
    Beast::http::request<Beast::http::string_body> message;
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
    message.body() = request.body;
    message.prepare_payload();

    Beast::http::request_serializer<Beast::http::string_body> serializer(message);
    m_connection->stream.expires_after(m_settings.writeTimeout);
    boost::system::error_code ec;
    while (!ec && !serializer.is_done()) {
        std::size_t n = co_await Beast::http::async_write_some(m_connection->stream, serializer, Asio::redirect_error(Asio::use_awaitable, ec));
        m_hasWritten = m_hasWritten || n > 0;
    }
    if (ec)
        co_return boost::outcome_v2::failure(errorOf(ec, "writing the request"));
    co_return Core::ok();
}

Asio::awaitable<Core::Result<void>> ConnectionExchange::readHead()
{
    m_parser.skip(m_isHeadMethod);
    m_connection->stream.expires_after(m_settings.headTimeout);
    boost::system::error_code ec;
    co_await Beast::http::async_read_header(m_connection->stream, m_connection->buffer, m_parser, Asio::redirect_error(Asio::use_awaitable, ec));
    if (ec)
        co_return boost::outcome_v2::failure(errorOf(ec, "waiting for the response"));
    m_head.status = static_cast<std::uint16_t>(m_parser.get().result_int());
    for (Beast::http::fields::value_type const& field : m_parser.get())
        m_head.fields.add(std::string(field.name_string()), std::string(field.value()));
    co_return Core::ok();
}

Asio::awaitable<Core::Result<std::optional<std::string>>> ConnectionExchange::read()
{
    if (m_isCanceled)
        co_return Core::Result<std::optional<std::string>>(Core::makeUncertainError(Core::ErrorCode::Canceled, "the exchange was canceled"));
    std::string piece;
    while (piece.empty()) {
        if (!m_connection || m_parser.is_done()) {
            giveBack();
            co_return std::optional<std::string>();
        }
        piece.resize(pieceSize);
        m_parser.get().body().data = piece.data();
        m_parser.get().body().size = piece.size();
        m_connection->stream.expires_after(m_settings.pieceTimeout);
        boost::system::error_code ec;
        co_await Beast::http::async_read_some(m_connection->stream, m_connection->buffer, m_parser, Asio::redirect_error(Asio::use_awaitable, ec));
        if (ec == Beast::http::error::need_buffer)
            ec = {};
        if (ec)
            co_return Core::Result<std::optional<std::string>>(errorOf(ec, "reading the response"));
        piece.resize(piece.size() - m_parser.get().body().size);
    }
    co_return std::optional<std::string>(std::move(piece));
}

void ConnectionExchange::giveBack()
{
    if (!m_connection)
        return;
    std::unique_ptr<ClientConnection> connection = std::move(m_connection);
    if (m_parser.keep_alive() && connection->buffer.size() == 0)
        m_return(std::move(connection));
}

void ConnectionExchange::cancel()
{
    m_isCanceled = true;
    if (!m_connection)
        return;
    boost::system::error_code ec;
    m_connection->stream.socket().close(ec);
}

Core::Error ConnectionExchange::errorOf(boost::system::error_code ec, std::string_view step) const
{
    Core::ErrorCode code = Core::ErrorCode::Unavailable;
    if (m_isCanceled || ec == Asio::error::operation_aborted)
        code = Core::ErrorCode::Canceled;
    else if (ec == Beast::error::timeout)
        code = Core::ErrorCode::Timeout;
    std::string message = "failed while " + std::string(step) + ": " + ec.message();
    return Core::Error { code, std::move(message), m_hasWritten ? Core::Verdict::MayHaveRun : Core::Verdict::NotRun };
}

}
