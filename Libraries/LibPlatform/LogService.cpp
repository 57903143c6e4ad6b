#include <LibPlatform/Json.h>
#include <LibPlatform/LogService.h>
#include <boost/json/array.hpp>
#include <openssl/evp.h>

namespace Platform {

namespace {

namespace Asio = boost::asio;

Core::Result<std::string> decodeBase64(std::string_view text)
{
    std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
    std::string bytes(text.size() / 4 * 3, '\0');
    unsigned char const* from = reinterpret_cast<unsigned char const*>(text.data());
    int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), from, static_cast<int>(text.size()));
    if (n < 0 || text.size() % 4 != 0)
        return Core::fail(Core::ErrorCode::BadInput, "a record of the log service is not base64");
    bytes.resize(static_cast<std::size_t>(n) - padding);
    return bytes;
}

Core::Result<LogBatch> parseBatch(Http::Response const& response)
{
    BOOST_OUTCOME_TRY(boost::json::object object, parseObject(response.body));
    LogBatch batch { numberOf(object, "first"), numberOf(object, "next"), {}, false };
    if (response.status == static_cast<std::uint16_t>(Http::Status::Gone)) {
        batch.isExpired = true;
        return batch;
    }
    boost::json::array const* records = arrayOf(object, "records");
    if (!records)
        return Core::fail(Core::ErrorCode::BadInput, "the log service's answer has no records");
    for (boost::json::value const& value : *records) {
        if (!value.is_object())
            return Core::fail(Core::ErrorCode::BadInput, "the log service's answer has a record that is no object");
        BOOST_OUTCOME_TRY(std::string data, decodeBase64(stringOf(value.get_object(), "data")));
        batch.entries.push_back({ numberOf(value.get_object(), "offset"), std::move(data) });
    }
    return batch;
}

class HttpLogService final : public LogService {
public:
    HttpLogService(Http::Client& client, Asio::ip::tcp::endpoint endpoint)
        : m_client(client)
        , m_endpoint(std::move(endpoint))
    {
    }

    Asio::awaitable<Core::Result<std::uint64_t>> append(std::string stream, std::string data) override
    {
        Http::Request request;
        request.method = "POST";
        request.target = "/v1/streams/" + stream + "/records";
        request.body = std::move(data);
        Core::Result<Http::Response> response = co_await m_client.fetch(m_endpoint, request);
        if (response.has_error())
            co_return Core::Result<std::uint64_t>(response.error());
        co_return offsetOf(response.value());
    }

    Asio::awaitable<Core::Result<LogBatch>> read(std::string stream, std::uint64_t from, std::uint32_t limit, std::chrono::milliseconds wait) override
    {
        Http::Request request;
        request.target = "/v1/streams/" + stream + "/records?from=" + std::to_string(from) + "&limit=" + std::to_string(limit) + "&wait_ms=" + std::to_string(wait.count());
        Core::Result<Http::Response> response = co_await m_client.fetch(m_endpoint, request);
        if (response.has_error())
            co_return Core::Result<LogBatch>(response.error());
        std::uint16_t status = response.value().status;
        if (status != static_cast<std::uint16_t>(Http::Status::Ok) && status != static_cast<std::uint16_t>(Http::Status::Gone))
            co_return Core::Result<LogBatch>(Core::makeError(Core::ErrorCode::Unavailable, "the log service answered " + std::to_string(status)));
        co_return parseBatch(response.value());
    }

private:
    static Core::Result<std::uint64_t> offsetOf(Http::Response const& response)
    {
        if (response.status == static_cast<std::uint16_t>(Http::Status::ServiceUnavailable))
            return Core::fail(Core::ErrorCode::Unavailable, "the log service is down");
        if (response.status != static_cast<std::uint16_t>(Http::Status::Ok))
            return Core::makeUncertainError(Core::ErrorCode::Unavailable, "the log service answered " + std::to_string(response.status));
        Core::Result<boost::json::object> object = parseObject(response.body);
        if (object.has_error() || !object.value().contains("offset"))
            return Core::makeUncertainError(Core::ErrorCode::BadInput, "the log service's answer has no offset");
        return numberOf(object.value(), "offset");
    }

    Http::Client& m_client;
    Asio::ip::tcp::endpoint m_endpoint;
};

}

std::unique_ptr<LogService> createHttpLogService(Http::Client& client, Asio::ip::tcp::endpoint endpoint)
{
    return std::make_unique<HttpLogService>(client, std::move(endpoint));
}

}
