#include <LibHttp/HeadLines.h>
#include <LibHttp/RequestReader.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace Http {

namespace {

namespace Asio = boost::asio;
namespace Beast = boost::beast;

constexpr unsigned httpVersion11 = 11;
constexpr std::size_t readSize = 4 * 1024;
// For the lines between the chunks of a body, which count as no part of it.
constexpr std::size_t framingLimit = 128 * 1024;
// A cancel misses an operation whose completion is queued already.
constexpr std::chrono::milliseconds cancelInterval { 50 };

std::string toString(Beast::string_view text) { return { text.data(), text.size() }; }

Request takeHead(Beast::http::request<ClaimedBody> const& message)
{
    Request request;
    request.method = toString(message.method_string());
    request.target = toString(message.target());
    for (Beast::http::fields::value_type const& field : message)
        request.fields.add(toString(field.name_string()), toString(field.value()));
    return request;
}

std::size_t sizeOf(Request const& request)
{
    std::size_t size = request.target.size();
    for (Fields::Entry const& it : request.fields.entries())
        size += it.first.size() + it.second.size();
    return size;
}

RequestRead rejected(Status problem, std::string message)
{
    RequestRead read;
    read.problem = problem;
    read.message = std::move(message);
    return read;
}

}

RequestReader::RequestReader(Beast::tcp_stream& stream, Beast::flat_buffer& buffer, ServerSettings const& settings)
    : m_stream(stream)
    , m_buffer(buffer)
    , m_settings(settings)
    , m_timer(stream.get_executor())
{
}

void RequestReader::limitMemory(std::shared_ptr<Core::MemoryBudget> budget, std::function<void()> onRevoked)
{
    m_budget = std::move(budget);
    m_onRevoked = std::move(onRevoked);
}

Asio::awaitable<RequestRead> RequestReader::read()
{
    m_stream.expires_never();
    m_memory.emplace(m_budget, m_onRevoked);
    RequestRead read = co_await readWithTimeouts();
    m_timer.cancel();
    m_memory.reset();
    releaseBuffer();
    co_return read;
}

void RequestReader::checkRevoked()
{
    if (m_memory && m_memory->isRevoked())
        limitTime(std::chrono::milliseconds(0));
}

// A connection that is kept keeps no more of its buffer than a small request needs.
void RequestReader::releaseBuffer()
{
    if (m_buffer.capacity() > RequestMemory::unclaimedBytes && m_buffer.size() <= readSize)
        m_buffer.shrink_to_fit();
}

// Beast's own timeout closes the socket, which leaves no way to tell a slow sender so.
void RequestReader::limitTime(std::chrono::milliseconds time)
{
    m_isTimedOut = false;
    m_timer.start(time, [this] {
        m_stream.cancel();
        limitTime(cancelInterval);
        m_isTimedOut = true;
    });
}

Asio::awaitable<RequestRead> RequestReader::readWithTimeouts()
{
    boost::system::error_code ec;
    limitTime(m_settings.headTimeout);
    Status problem = co_await receiveHead(ec);
    if (problem == Status::HeaderFieldsTooLarge)
        co_return rejected(problem, "the head is larger than " + std::to_string(m_settings.headLimit) + " bytes, or one of its lines larger than " + std::to_string(maxFieldValueSize) + ", which are the limits");
    if (problem == Status::ServiceUnavailable)
        co_return withoutRoom();
    if (problem != Status::Ok)
        co_return rejected(problem, "malformed HTTP: a line that does not end with CRLF, or a folded field");
    if (ec)
        co_return failed(ec);
    co_return co_await readBehindHead();
}

// The head is whole in the buffer.
Asio::awaitable<RequestRead> RequestReader::readBehindHead()
{
    boost::system::error_code ec;
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(m_settings.headLimit));
    parser.body_limit(m_settings.bodyLimit);
    co_await Beast::http::async_read_header(m_stream, m_buffer, parser, Asio::redirect_error(Asio::use_awaitable, ec));
    if (ec)
        co_return failed(ec);
    // RFC 9110, section 6.5.1: the parser adds trailers to the fields, which hold for the request only as the head has them.
    RequestRead read;
    read.version = parser.get().version();
    read.keepsAlive = parser.get().keep_alive();
    read.request = takeHead(parser.get());
    if (std::string_view invalid = problemOf(*read.request, read.version >= httpVersion11); !invalid.empty())
        co_return rejected(Status::BadRequest, std::string(invalid));
    std::size_t headBytes = sizeOf(*read.request);
    parser.get().body().memory = &*m_memory;
    parser.get().body().otherBytes = m_buffer.capacity();
    // What has no room is refused before it is sent.
    if (!m_memory->reserve(m_buffer.capacity() + static_cast<std::size_t>(parser.content_length().value_or(0))))
        co_return withoutRoom();
    ec = co_await readBody(parser);
    if (ec)
        co_return failed(ec);
    std::optional<Body> body = m_memory->finish(std::move(parser.get().body().text), headBytes);
    if (!body)
        co_return withoutRoom();
    read.request->body = std::move(*body);
    co_return read;
}

// Reads until the head is whole in the buffer. Returns Ok for a head that the parser may look at, also a broken one.
Asio::awaitable<Status> RequestReader::receiveHead(boost::system::error_code& ec)
{
    HeadScanner scanner;
    while (true) {
        std::string_view bytes(static_cast<char const*>(m_buffer.data().data()), m_buffer.size());
        HeadScanner::Progress progress = scanner.scan(bytes);
        if (progress == HeadScanner::Progress::Malformed)
            co_return Status::BadRequest;
        if (progress == HeadScanner::Progress::Whole)
            co_return hasShortLines(scanner.head(bytes)) ? Status::Ok : Status::HeaderFieldsTooLarge;
        if (bytes.size() > m_settings.headLimit)
            co_return Status::HeaderFieldsTooLarge;
        if (!m_memory->grow(bytes.size() + readSize))
            co_return Status::ServiceUnavailable;
        std::size_t n = co_await m_stream.async_read_some(m_buffer.prepare(readSize), Asio::redirect_error(Asio::use_awaitable, ec));
        if (ec == Asio::error::eof)
            ec = Beast::http::error::partial_message;
        if (ec)
            co_return Status::Ok;
        m_buffer.commit(n);
        m_memory->noteArrived(n);
    }
}

Asio::awaitable<boost::system::error_code> RequestReader::readBody(Parser& parser)
{
    boost::system::error_code ec;
    if (parser.is_done())
        co_return ec;
    limitTime(m_settings.bodyTimeout);
    std::size_t formerLimit = m_buffer.max_size();
    m_buffer.max_size(m_buffer.size() + framingLimit);
    // RFC 9110, section 10.1.1: answer the expectation before waiting for the body.
    if (Beast::iequals(parser.get()[Beast::http::field::expect], "100-continue")) {
        Beast::http::response<Beast::http::empty_body> message(Beast::http::status::continue_, httpVersion11);
        co_await Beast::http::async_write(m_stream, message, Asio::redirect_error(Asio::use_awaitable, ec));
    }
    if (!ec)
        co_await Beast::http::async_read(m_stream, m_buffer, parser, Asio::redirect_error(Asio::use_awaitable, ec));
    m_buffer.max_size(formerLimit);
    co_return ec;
}

RequestRead RequestReader::withoutRoom()
{
    RequestRead read = rejected(Status::ServiceUnavailable, "there is no memory left for the request beside those that are being received and served");
    read.isWithoutRoom = true;
    return read;
}

RequestRead RequestReader::failed(boost::system::error_code ec) const
{
    using Problem = Beast::http::error;
    if (m_memory->isRevoked() || ec == boost::system::errc::not_enough_memory)
        return withoutRoom();
    if (m_isTimedOut)
        return rejected(Status::RequestTimeout, "the request did not arrive whole in time");
    if (ec == Problem::end_of_stream || ec == Asio::error::operation_aborted || ec == Asio::error::connection_reset)
        return RequestRead();
    if (ec == Problem::body_limit)
        return rejected(Status::ContentTooLarge, "the body is larger than " + std::to_string(m_settings.bodyLimit) + " bytes, which is the limit");
    if (ec == Problem::header_limit)
        return rejected(Status::HeaderFieldsTooLarge, "the head is larger than " + std::to_string(m_settings.headLimit) + " bytes, which is the limit");
    if (ec == Problem::partial_message)
        return rejected(Status::BadRequest, "the connection ended before the request was whole");
    return rejected(Status::BadRequest, "malformed HTTP: " + ec.message());
}

}
