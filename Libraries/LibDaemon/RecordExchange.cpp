#include <Control.pb.h>
#include <LibCore/EventLog.h>
#include <LibDaemon/RecordExchange.h>
#include <LibPeer/Call.h>
#include <algorithm>
#include <tuple>

namespace Daemon {

namespace {

namespace Proto = currantvale::control;

constexpr std::string_view recordsPath = "/records";
constexpr int okStatus = 200;
constexpr int unavailableStatus = 503;
constexpr int badRequestStatus = 400;
// A peer answers from memory; one that has not within this is slower than the store, which is asked then.
constexpr std::chrono::milliseconds askTimeout { 400 };

Core::Result<Platform::StoreTopic> topicOf(std::string_view name)
{
    for (std::pair<Platform::StoreTopic, std::string_view> const& it : Platform::storeTopicNames) {
        if (it.second == name)
            return it.first;
    }
    return Core::fail(Core::ErrorCode::Corrupt, "no such topic: \"" + std::string(name) + "\"");
}

}

std::string encode(RecordsRequest const& request)
{
    Proto::RecordsRequest message;
    message.set_topic(std::string(Core::nameOf(Platform::storeTopicNames, request.topic)));
    message.set_from(request.from);
    message.set_wants_all(request.wantsAll);
    return message.SerializeAsString();
}

Core::Result<RecordsRequest> decodeRecordsRequest(std::string_view bytes)
{
    Proto::RecordsRequest message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return Core::fail(Core::ErrorCode::Corrupt, "a request for records cannot be decoded");
    RecordsRequest request;
    BOOST_OUTCOME_TRY(request.topic, topicOf(message.topic()));
    request.from = message.from();
    request.wantsAll = message.wants_all();
    return request;
}

std::string encode(RecordsAnswer const& answer)
{
    Fleet::StoreReplica::Extract const& extract = answer.extract;
    Proto::RecordsReply message;
    message.set_next(extract.next);
    message.set_is_all(extract.isAll);
    if (answer.age)
        message.set_age_ms(static_cast<std::uint32_t>(std::min<std::chrono::milliseconds::rep>(answer.age->count(), UINT32_MAX)));
    for (Platform::KeyedRecord const& record : extract.records) {
        Proto::StoreRecord* added = message.add_records();
        added->set_offset(record.offset);
        added->set_key(record.key);
        added->set_is_removed(!record.value.has_value());
        if (record.value)
            added->set_value(*record.value);
    }
    return message.SerializeAsString();
}

Core::Result<RecordsAnswer> decodeRecords(std::string_view bytes)
{
    Proto::RecordsReply message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return Core::fail(Core::ErrorCode::Corrupt, "records of a peer cannot be decoded");
    RecordsAnswer answer;
    Fleet::StoreReplica::Extract& extract = answer.extract;
    extract.next = message.next();
    if (message.has_age_ms())
        answer.age = std::chrono::milliseconds(message.age_ms());
    extract.isAll = message.is_all();
    for (Proto::StoreRecord const& record : message.records()) {
        std::optional<std::string> value;
        if (!record.is_removed())
            value = record.value();
        extract.records.push_back({ record.offset(), record.key(), std::move(value) });
    }
    return answer;
}

RecordExchange::RecordExchange(AnswerHook answer)
    : m_answer(std::move(answer))
{
}

Core::Result<std::unique_ptr<RecordExchange>> RecordExchange::create(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint const& listen, Peer::Settings const& settings, AnswerHook answer)
{
    std::unique_ptr<RecordExchange> exchange(new RecordExchange(std::move(answer)));
    BOOST_OUTCOME_TRY(exchange->m_clients, Peer::Clients::create(context, settings));
    RecordExchange* raw = exchange.get();
    Peer::Handler handler = [raw](Peer::Request const& request, std::shared_ptr<Peer::ServerStream> const& stream) { raw->answer(request, *stream); };
    BOOST_OUTCOME_TRY(exchange->m_server, Peer::Server::create(context, listen, settings, std::move(handler)));
    return exchange;
}

void RecordExchange::answer(Peer::Request const& request, Peer::ServerStream& stream)
{
    Core::Result<RecordsRequest> asked = decodeRecordsRequest(request.body);
    if (request.path != recordsPath || asked.has_error()) {
        stream.sendHead(badRequestStatus);
        stream.end();
        return;
    }
    Core::Result<RecordsAnswer> known = m_answer(asked.value());
    stream.sendHead(known.has_value() ? okStatus : unavailableStatus);
    if (known.has_value()) {
        std::string body = encode(known.value());
        Core::logEvent(Core::Severity::Debug, Core::Event::RecordsServed, { { "stream", std::string(Core::nameOf(Platform::storeTopicNames, asked.value().topic)) }, { "daemon", request.senderName }, { "bytes", std::to_string(body.size()) } });
        std::ignore = stream.send(body); // An empty queue takes a piece of any size.
    }
    stream.end();
}

boost::asio::awaitable<Core::Result<RecordsAnswer>> RecordExchange::ask(boost::asio::ip::tcp::endpoint peer, RecordsRequest request)
{
    using Answer = Core::Result<RecordsAnswer>;
    std::shared_ptr<Peer::Client> client = m_clients->get(peer);
    Core::Result<Peer::Reply> reply = co_await Peer::call(*client, std::string(recordsPath), encode(request), askTimeout);
    if (reply.has_error())
        co_return Answer(reply.error());
    if (reply.value().status != okStatus)
        co_return Answer(Core::makeError(Core::ErrorCode::Unavailable, "the peer answered " + std::to_string(reply.value().status)));
    co_return decodeRecords(reply.value().body);
}

}
