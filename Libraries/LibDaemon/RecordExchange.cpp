#include <Control.pb.h>
#include <LibCore/EventLog.h>
#include <LibDaemon/RecordCompression.h>
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
constexpr int deferredStatus = 429;
// A peer answers from memory; one that sends nothing for this long is slower than the store, which is asked then.
constexpr std::chrono::milliseconds silenceTimeout { 400 };
// Smaller answers are sent as they are.
constexpr std::size_t minCompressedBytes = 512;
constexpr std::size_t maxAnswerBytes = std::size_t { 16 } << 20U;
constexpr std::size_t maxCachedAnswers = 4;

void setAge(Proto::RecordsReply& message, std::optional<std::chrono::milliseconds> age)
{
    if (age)
        message.set_age_ms(static_cast<std::uint32_t>(std::min<std::chrono::milliseconds::rep>(age->count(), UINT32_MAX)));
}

Core::Result<Proto::RecordsReply> parseReply(std::string_view bytes)
{
    Proto::RecordsReply message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return Core::fail(Core::ErrorCode::Corrupt, "records of a peer cannot be decoded");
    return message;
}

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
    message.set_reads_compressed(request.readsCompressed);
    if (request.baseOffset)
        message.set_base_offset(*request.baseOffset);
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
    request.readsCompressed = message.reads_compressed();
    if (message.has_base_offset())
        request.baseOffset = message.base_offset();
    return request;
}

std::string encode(RecordsAnswer const& answer)
{
    Fleet::StoreReplica::Extract const& extract = answer.extract;
    Proto::RecordsReply message;
    message.set_next(extract.next);
    message.set_is_all(extract.isAll);
    setAge(message, answer.age);
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

std::string encode(CompressedRecords const& records, std::optional<std::chrono::milliseconds> age)
{
    Proto::RecordsReply message;
    message.set_compressed(records.bytes);
    if (records.baseOffset)
        message.set_base_offset(*records.baseOffset);
    setAge(message, age);
    return message.SerializeAsString();
}

Core::Result<RecordsAnswer> decodeRecords(std::string_view bytes, std::string_view base)
{
    BOOST_OUTCOME_TRY(Proto::RecordsReply message, parseReply(bytes));
    RecordsAnswer answer;
    if (message.has_age_ms())
        answer.age = std::chrono::milliseconds(message.age_ms());
    if (!message.compressed().empty()) {
        BOOST_OUTCOME_TRY(std::string restored, decompress(message.compressed(), message.has_base_offset() ? base : std::string_view(), maxAnswerBytes));
        BOOST_OUTCOME_TRY(message, parseReply(restored));
    }
    Fleet::StoreReplica::Extract& extract = answer.extract;
    extract.next = message.next();
    extract.isAll = message.is_all();
    for (Proto::StoreRecord const& record : message.records()) {
        std::optional<std::string> value;
        if (!record.is_removed())
            value = record.value();
        extract.records.push_back({ record.offset(), record.key(), std::move(value) });
    }
    return answer;
}

std::string encode(Fleet::Deferral const& deferral)
{
    Proto::RecordsDeferral message;
    message.set_retry_after_ms(static_cast<std::uint32_t>(deferral.retryAfter.count()));
    for (std::string const& it : deferral.referrals)
        message.add_referrals(it);
    return message.SerializeAsString();
}

Core::Result<Fleet::Deferral> decodeDeferral(std::string_view bytes)
{
    Proto::RecordsDeferral message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return Core::fail(Core::ErrorCode::Corrupt, "a peer's deferral cannot be decoded");
    return Fleet::Deferral { std::chrono::milliseconds(message.retry_after_ms()), { message.referrals().begin(), message.referrals().end() } };
}

RecordExchange::RecordExchange(boost::asio::io_context& context, Fleet::RecordUploadSettings const& uploads, Hooks hooks)
    : m_hooks(std::move(hooks))
    , m_uploads(uploads)
    , m_chunkTimer(context)
{
}

Core::Result<std::unique_ptr<RecordExchange>> RecordExchange::create(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint const& listen, Peer::Settings const& settings, Fleet::RecordUploadSettings const& uploads, Hooks hooks)
{
    std::unique_ptr<RecordExchange> exchange(new RecordExchange(context, uploads, std::move(hooks)));
    BOOST_OUTCOME_TRY(exchange->m_clients, Peer::Clients::create(context, settings));
    RecordExchange* raw = exchange.get();
    Peer::Handler handler = [raw](Peer::Request const& request, std::shared_ptr<Peer::ServerStream> const& stream) { raw->answer(request, stream); };
    BOOST_OUTCOME_TRY(exchange->m_server, Peer::Server::create(context, listen, settings, std::move(handler)));
    return exchange;
}

void RecordExchange::answer(Peer::Request const& request, std::shared_ptr<Peer::ServerStream> const& stream)
{
    Core::Result<RecordsRequest> asked = decodeRecordsRequest(request.body);
    if (request.path != recordsPath || asked.has_error()) {
        stream->sendHead(badRequestStatus);
        stream->end();
        return;
    }
    Core::Result<RecordsAnswer> known = m_hooks.answer(asked.value());
    if (known.has_error()) {
        stream->sendHead(unavailableStatus);
        stream->end();
        return;
    }
    std::string body = bodyOf(asked.value(), known.value());
    std::variant<Fleet::RecordUploads::Id, Fleet::Deferral> begun = m_uploads.begin(asked.value().topic, known.value().extract.next, request.senderName, body.size(), Core::BootClock::now());
    Fleet::Deferral const* deferral = std::get_if<Fleet::Deferral>(&begun);
    Core::logEvent(Core::Severity::Info, Core::Event::RecordsServed, { { "stream", std::string(Core::nameOf(Platform::storeTopicNames, asked.value().topic)) }, { "daemon", request.senderName }, { "sent_bytes", deferral ? "-" : std::to_string(body.size()) }, { "pending_bytes", std::to_string(pendingBytes()) }, { "retry_after_ms", deferral ? std::to_string(deferral->retryAfter.count()) : "-" }, { "referrals", deferral ? std::to_string(deferral->referrals.size()) : "-" } });
    if (deferral) {
        stream->sendHead(deferredStatus);
        std::ignore = stream->send(encode(*deferral)); // An empty queue takes a piece of any size.
        stream->end();
        return;
    }
    Fleet::RecordUploads::Id id = std::get<Fleet::RecordUploads::Id>(begun);
    stream->sendHead(okStatus);
    stream->setOnCanceled([this, id] { cancel(id); });
    m_streams.emplace(id, Upload { stream, std::move(body) });
    sendChunks();
}

CompressedRecords const* RecordExchange::findCached(RecordsRequest const& request, RecordsAnswer const& answer) const
{
    for (Cached const& it : m_cache) {
        bool isSameQuestion = it.request.topic == request.topic && it.request.from == request.from && it.request.wantsAll == request.wantsAll && it.request.baseOffset == request.baseOffset;
        if (isSameQuestion && it.next == answer.extract.next && it.recordCount == answer.extract.records.size())
            return &it.answer;
    }
    return nullptr;
}

std::string RecordExchange::bodyOf(RecordsRequest const& request, RecordsAnswer const& answer)
{
    if (!request.readsCompressed)
        return encode(answer);
    if (CompressedRecords const* cached = findCached(request, answer))
        return encode(*cached, answer.age);
    std::string plain = encode(RecordsAnswer { answer.extract, std::nullopt });
    if (plain.size() < minCompressedBytes)
        return encode(answer);
    std::string const* base = request.baseOffset ? m_hooks.findVersion(request.topic, *request.baseOffset) : nullptr;
    Core::Result<std::string> compressed = compress(plain, base ? std::string_view(*base) : std::string_view());
    if (compressed.has_error())
        return encode(answer);
    CompressedRecords records { std::move(compressed.value()), base ? request.baseOffset : std::nullopt };
    std::string body = encode(records, answer.age);
    // Records without offsets change without a sign.
    if (answer.extract.next > 0)
        m_cache.push_back({ request, answer.extract.next, answer.extract.records.size(), std::move(records) });
    if (m_cache.size() > maxCachedAnswers)
        m_cache.pop_front();
    return body;
}

void RecordExchange::sendChunks()
{
    Core::BootClock::time_point now = Core::BootClock::now();
    while (std::optional<Fleet::RecordUploads::Chunk> chunk = m_uploads.takeChunk(now)) {
        std::map<Fleet::RecordUploads::Id, Upload>::iterator it = m_streams.find(chunk->upload);
        Upload& upload = it->second;
        Peer::SendOutcome outcome = upload.stream->send(std::string_view(upload.body).substr(upload.sent, chunk->bytes));
        upload.sent += chunk->bytes;
        if (outcome != Peer::SendOutcome::Queued) {
            // The peer does not read; it may ask again.
            std::shared_ptr<Peer::ServerStream> stream = upload.stream;
            cancel(chunk->upload);
            stream->reset(Peer::ResetCode::Canceled);
        } else if (chunk->isLast) {
            upload.stream->end();
            m_streams.erase(it);
        }
    }
    std::optional<Core::BootClock::time_point> next = m_uploads.nextChunkAt();
    if (!next)
        return;
    m_chunkTimer.expires_after(std::chrono::ceil<std::chrono::milliseconds>(*next - now));
    m_chunkTimer.async_wait([this](boost::system::error_code ec) {
        if (!ec)
            sendChunks();
    });
}

// An upload that nobody waits for any more must not occupy the link.
void RecordExchange::cancel(Fleet::RecordUploads::Id id)
{
    m_uploads.cancel(id);
    m_streams.erase(id);
}

boost::asio::awaitable<Core::Result<RecordExchange::Reply>> RecordExchange::ask(boost::asio::ip::tcp::endpoint peer, RecordsRequest request, std::string base, std::chrono::milliseconds timeout)
{
    using Asked = Core::Result<Reply>;
    std::shared_ptr<Peer::Client> client = m_clients->get(peer);
    Peer::CallTimeouts timeouts { silenceTimeout, timeout };
    Core::Result<Peer::Reply> reply = co_await Peer::call(*client, std::string(recordsPath), encode(request), timeouts);
    if (reply.has_error())
        co_return Asked(reply.error());
    if (reply.value().status == deferredStatus) {
        Core::Result<Fleet::Deferral> deferral = decodeDeferral(reply.value().body);
        co_return deferral.has_error() ? Asked(deferral.error()) : Asked(Reply(std::move(deferral.value())));
    }
    if (reply.value().status != okStatus)
        co_return Asked(Core::makeError(Core::ErrorCode::Unavailable, "the peer answered " + std::to_string(reply.value().status)));
    Core::Result<RecordsAnswer> answer = decodeRecords(reply.value().body, base);
    co_return answer.has_error() ? Asked(answer.error()) : Asked(Reply(std::move(answer.value())));
}

}
