#include <LibStandIn/FaultsReader.h>
#include <LibStandIn/KeyedStoreApi.h>
#include <algorithm>
#include <boost/json/array.hpp>
#include <tuple>

namespace StandIn {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::uint16_t conditionFailed = 412;

std::string bigEndian(std::uint64_t number, unsigned bytes)
{
    std::string text;
    for (unsigned n = bytes; n > 0; --n)
        text += static_cast<char>(number >> (n - 1) * 8U & 0xffU);
    return text;
}

std::uint64_t readBigEndian(std::string_view bytes)
{
    std::uint64_t number = 0;
    for (unsigned char byte : bytes)
        number = number << 8U | byte;
    return number;
}

std::string topicOf(Target const& target)
{
    std::map<std::string, std::string, std::less<>>::const_iterator it = target.query.find("topic");
    return it == target.query.end() ? std::string() : it->second;
}

}

boost::asio::awaitable<void> KeyedStoreApi::serve(Http::Request& request, Http::ResponseWriter& writer)
{
    Target target = parseTarget(request.target);
    Http::Response response { 404, {}, {} };
    if (target.path == "/admin/faults")
        response = resultResponse(applyFaults(request.body, m_faults));
    else if (m_faults.isDown)
        response.status = static_cast<std::uint16_t>(Http::Status::ServiceUnavailable);
    else if (target.path == "/currantvale/log-append")
        response = append(target, request.body);
    else if (target.path == "/currantvale/log-newest")
        response = newest(target);
    else if (target.path == "/currantvale/log-read")
        response = co_await read(target);
    std::ignore = co_await writer.send(std::move(response));
}

Http::Response KeyedStoreApi::append(Target const& target, std::string_view body)
{
    std::vector<Record>& records = m_topics[topicOf(target)];
    std::uint64_t first = records.size();
    if (target.query.contains("at") && queryNumber(target, "at", 0).value() != first)
        return { conditionFailed, {}, R"({"end_offset":)" + std::to_string(first) + "}" };
    while (body.size() >= lengthBytes) {
        std::size_t size = readBigEndian(body.substr(0, lengthBytes));
        std::string_view content = body.substr(lengthBytes, size);
        std::size_t keySize = content.empty() ? 0 : static_cast<unsigned char>(content.front());
        if (content.size() < size || keySize == 0 || content.size() < 1 + keySize)
            return errorResponse(Core::makeError(Core::ErrorCode::BadInput, "a record is cut"));
        Record record { std::string(content.substr(1, keySize)), std::nullopt };
        if (content.size() > 1 + keySize)
            record.value = std::string(content.substr(1 + keySize));
        records.push_back(std::move(record));
        body.remove_prefix(lengthBytes + size);
    }
    m_changed.notifyAll();
    return objectResponse(Http::Status::Ok, { { "offset", first }, { "end_offset", records.size() } });
}

Http::Response KeyedStoreApi::newest(Target const& target) const
{
    boost::json::array items;
    std::uint64_t end = 0;
    std::map<std::string, std::vector<Record>>::const_iterator topic = m_topics.find(topicOf(target));
    if (topic != m_topics.end()) {
        end = topic->second.size();
        std::map<std::string, std::uint64_t> offsets;
        for (std::uint64_t offset = 0; offset < end; ++offset)
            offsets[topic->second[offset].key] = offset;
        for (std::pair<std::string const, std::uint64_t> const& it : offsets) {
            Record const& record = topic->second[it.second];
            if (record.value)
                items.push_back(boost::json::object { { "key", it.first }, { "value", toBase64(*record.value) }, { "offset", it.second } });
        }
    }
    return objectResponse(Http::Status::Ok, { { "items", std::move(items) }, { "has_more", false }, { "end_offset", end } });
}

boost::asio::awaitable<Http::Response> KeyedStoreApi::read(Target target)
{
    std::string topic = topicOf(target);
    std::uint64_t from = queryNumber(target, "from", 0).value();
    std::chrono::milliseconds wait(queryNumber(target, "wait_ms", 0).value());
    std::chrono::steady_clock::time_point until = std::chrono::steady_clock::now() + wait;
    while (m_topics[topic].size() <= from && std::chrono::steady_clock::now() < until)
        co_await m_changed.wait(until);
    std::vector<Record> const& records = m_topics[topic];
    Http::Response response;
    response.body = bigEndian(records.size(), 8) + bigEndian(0, 8);
    for (std::uint64_t offset = from; offset < records.size(); ++offset) {
        std::string content = bigEndian(records[offset].key.size(), 1) + records[offset].key + records[offset].value.value_or("");
        response.body += bigEndian(content.size(), lengthBytes) + content;
    }
    co_return response;
}

}
