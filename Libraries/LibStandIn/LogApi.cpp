#include <LibStandIn/LogApi.h>

#include <LibJson/Reader.h>
#include <LibStandIn/FaultsReader.h>
#include <algorithm>
#include <boost/json/array.hpp>

namespace StandIn {

using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t longestWaitMs = 60'000;
constexpr std::uint64_t mostRecordsPerPage = 10'000;
constexpr std::uint64_t defaultRecordsPerPage = 100;

Http::Response pageResponse(LogPage const& page)
{
    boost::json::array records;
    for (LogRecord const& it : page.records)
        records.push_back(boost::json::object { { "offset", it.offset }, { "data", toBase64(it.data) } });
    return objectResponse(Http::Status::Ok, { { "first", page.range.first }, { "next", page.range.next }, { "records", std::move(records) } });
}

Http::Response readResponse(Core::Result<LogPage> const& page, LogRange range)
{
    if (page)
        return pageResponse(page.value());
    if (page.error().code == Core::ErrorCode::Gap)
        return objectResponse(Http::Status::Gone, { { "first", range.first }, { "next", range.next } });
    return errorResponse(page.error());
}

// GCC 12 rejects braced lists inside coroutines, so responses are built outside them.
Http::Response offsetResponse(std::uint64_t offset)
{
    return objectResponse(Http::Status::Ok, { { "offset", offset } });
}

}

std::shared_ptr<LogApi> LogApi::create(std::uint64_t retainRecords)
{
    return std::shared_ptr<LogApi>(new LogApi(retainRecords));
}

LogApi::LogApi(std::uint64_t retainRecords)
{
    m_store.setRetention(retainRecords);
    m_store.onAppend = [this](std::string const&) { m_changed.notifyAll(); };
}

boost::asio::awaitable<void> LogApi::serve(Http::Request& request, Http::ResponseWriter& writer)
{
    Target target = parseTarget(request.target);
    std::optional<std::string> stream = between(target.path, "/v1/streams/", "/records");
    if (stream && request.method == "POST")
        co_await serveAppend(*stream, request, writer);
    else if (stream && request.method == "GET")
        co_await serveRead(*stream, target, writer);
    else if (request.method == "POST" && target.path.starts_with("/admin/"))
        (void)co_await writer.send(resultResponse(serveAdmin(target.path, request.body)));
    else
        (void)co_await writer.send(errorResponse(Core::makeError(Core::ErrorCode::NotFound, "The log has no such call.")));
}

boost::asio::awaitable<void> LogApi::serveAppend(std::string const& stream, Http::Request& request, Http::ResponseWriter& writer)
{
    co_await delay(m_store.faults());
    Core::Result<std::uint64_t> offset = m_store.append(stream, request.body.text());
    if (!offset) {
        (void)co_await writer.send(errorResponse(offset.error()));
        co_return;
    }
    co_await sendOrLose(m_store.faults(), writer, offsetResponse(offset.value()));
}

boost::asio::awaitable<void> LogApi::serveRead(std::string const& stream, Target const& target, Http::ResponseWriter& writer)
{
    co_await delay(m_store.faults());
    Core::Result<std::uint64_t> from = queryNumber(target, "from", 0);
    Core::Result<std::uint64_t> limit = queryNumber(target, "limit", defaultRecordsPerPage);
    Core::Result<std::uint64_t> wait = queryNumber(target, "wait_ms", 0);
    if (!from || !limit || !wait) {
        (void)co_await writer.send(errorResponse((!from ? from : !limit ? limit
                                                                        : wait)
                .error()));
        co_return;
    }
    Signal::Time until = std::chrono::steady_clock::now() + milliseconds(std::min(wait.value(), longestWaitMs));
    while (true) {
        Core::Result<LogPage> page = m_store.read(stream, from.value(), std::min(limit.value(), mostRecordsPerPage));
        bool isDone = !page || !page.value().records.empty() || std::chrono::steady_clock::now() >= until;
        if (!isDone) {
            co_await m_changed.wait(until);
            continue;
        }
        (void)co_await writer.send(readResponse(page, m_store.rangeOf(stream)));
        co_return;
    }
}

Core::Result<void> LogApi::serveAdmin(std::string_view path, std::string_view body)
{
    if (path == "/admin/faults") {
        BOOST_OUTCOME_TRY(boost::json::object object, Json::parseObject(body));
        BOOST_OUTCOME_TRY(std::optional<std::uint64_t> retention, Json::optionalNumber(object, "retain_records"));
        object.erase("retain_records");
        BOOST_OUTCOME_TRYV(applyFaults(object, m_store.faults()));
        if (retention)
            m_store.setRetention(*retention);
    } else if (path == "/admin/trim") {
        BOOST_OUTCOME_TRY(boost::json::object object, Json::parseObject(body));
        BOOST_OUTCOME_TRY(std::optional<std::string> stream, Json::optionalString(object, "stream"));
        BOOST_OUTCOME_TRY(std::optional<std::uint64_t> first, Json::optionalNumber(object, "first"));
        if (!stream || !first)
            return Core::fail(Core::ErrorCode::BadInput, "A trim needs 'stream' and 'first'.");
        m_store.trim(*stream, *first);
    } else {
        return Core::fail(Core::ErrorCode::NotFound, "The log has no such call.");
    }
    m_changed.notifyAll();
    return Core::ok();
}

}
