#include <LibDaemon/PeerMessages.h>
#include <Peering.pb.h>

namespace Daemon {

namespace {

namespace Proto = currantvale::peering;

constexpr std::size_t sizeBytes = 4;
constexpr std::size_t largestFrame = 16U << 20U;

template <typename Message>
void addFields(Message& message, Http::Fields const& fields)
{
    for (Http::Fields::Entry const& entry : fields.entries()) {
        Proto::Field* field = message.add_fields();
        field->set_name(entry.first);
        field->set_value(entry.second);
    }
}

template <typename Message>
Http::Fields fieldsOf(Message const& message)
{
    Http::Fields fields;
    for (Proto::Field const& field : message.fields())
        fields.add(field.name(), field.value());
    return fields;
}

void fill(Proto::AnswerFrame& frame, Http::ResponseHead const& head)
{
    frame.mutable_head()->set_status(head.status);
    addFields(*frame.mutable_head(), head.fields);
}

void fill(Proto::AnswerFrame& frame, ForwardedPiece const& piece)
{
    frame.mutable_piece()->set_position(piece.position);
    frame.mutable_piece()->set_bytes(piece.bytes);
}

void fill(Proto::AnswerFrame& frame, Request::Finish const& finish)
{
    Proto::AnswerEnd* end = frame.mutable_end();
    end->set_verdict(static_cast<std::uint32_t>(finish.verdict));
    end->set_retry_after_ms(static_cast<std::uint64_t>(finish.retryAfter.count()));
    if (!finish.error)
        return;
    end->set_has_error(true);
    end->set_error_code(static_cast<std::uint32_t>(finish.error->code));
    end->set_error_message(finish.error->message);
}

Core::Error corrupt(std::string message)
{
    return Core::makeUncertainError(Core::ErrorCode::Corrupt, std::move(message));
}

Core::Result<AnswerFrame> toFinish(Proto::AnswerEnd const& end)
{
    bool isKnown = end.verdict() < Core::verdictNames.size() && end.error_code() < Core::errorCodeNames.size();
    if (!isKnown)
        return corrupt("a peer's answer ends with an unknown verdict or error code");
    Request::Finish finish;
    finish.verdict = static_cast<Core::Verdict>(end.verdict());
    finish.retryAfter = std::chrono::milliseconds(end.retry_after_ms());
    if (end.has_error())
        finish.error = Core::Error { static_cast<Core::ErrorCode>(end.error_code()), end.error_message(), finish.verdict };
    return AnswerFrame(std::move(finish));
}

Core::Result<AnswerFrame> decodeFrame(std::string_view bytes)
{
    Proto::AnswerFrame frame;
    if (!frame.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return corrupt("a frame of a peer's answer cannot be decoded");
    switch (frame.part_case()) {
    case Proto::AnswerFrame::kHead:
        return AnswerFrame(Http::ResponseHead { static_cast<std::uint16_t>(frame.head().status()), fieldsOf(frame.head()) });
    case Proto::AnswerFrame::kPiece:
        return AnswerFrame(ForwardedPiece { frame.piece().position(), frame.piece().bytes() });
    case Proto::AnswerFrame::kEnd:
        return toFinish(frame.end());
    case Proto::AnswerFrame::PART_NOT_SET:
        break;
    }
    return corrupt("a frame of a peer's answer is empty");
}

std::size_t readSize(std::string_view bytes)
{
    std::size_t size = 0;
    for (std::size_t n = 0; n < sizeBytes; ++n)
        size = size << 8U | static_cast<std::uint8_t>(bytes[n]);
    return size;
}

}

std::string encode(ForwardedRequest const& forwarded)
{
    Proto::ForwardedRequest message;
    message.set_method(forwarded.request.method);
    message.set_target(forwarded.request.target);
    addFields(message, forwarded.request.fields);
    message.set_body(forwarded.request.body.text());
    message.set_request_id(forwarded.requestId);
    message.set_is_collection(forwarded.isCollection);
    if (forwarded.from.unit == Request::AnswerOffset::Unit::Bytes)
        message.set_from_byte(forwarded.from.value);
    else
        message.set_from_piece(forwarded.from.value);
    return message.SerializeAsString();
}

Core::Result<ForwardedRequest> decodeForwardedRequest(std::string_view bytes)
{
    Proto::ForwardedRequest message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return Core::fail(Core::ErrorCode::Corrupt, "a forwarded request cannot be decoded");
    ForwardedRequest forwarded;
    forwarded.request = Http::Request { message.method(), message.target(), fieldsOf(message), message.body() };
    forwarded.requestId = message.request_id();
    forwarded.isCollection = message.is_collection();
    bool isInPieces = message.from_piece() > 0;
    forwarded.from.unit = isInPieces ? Request::AnswerOffset::Unit::Pieces : Request::AnswerOffset::Unit::Bytes;
    forwarded.from.value = isInPieces ? message.from_piece() : message.from_byte();
    return forwarded;
}

std::string encode(AnswerFrame const& frame)
{
    Proto::AnswerFrame message;
    std::visit([&message](auto const& part) { fill(message, part); }, frame);
    std::size_t size = message.ByteSizeLong();
    std::string bytes;
    bytes.reserve(sizeBytes + size);
    for (std::size_t n = sizeBytes; n > 0; --n)
        bytes += static_cast<char>(size >> (8 * (n - 1)));
    message.AppendToString(&bytes);
    return bytes;
}

Core::Result<std::vector<AnswerFrame>> FrameReader::add(std::string_view bytes)
{
    m_rest += bytes;
    std::vector<AnswerFrame> frames;
    std::string_view rest = m_rest;
    while (rest.size() >= sizeBytes) {
        std::size_t size = readSize(rest);
        if (size > largestFrame)
            return corrupt("a frame of a peer's answer is larger than " + std::to_string(largestFrame) + " bytes");
        if (rest.size() - sizeBytes < size)
            break;
        BOOST_OUTCOME_TRY(AnswerFrame frame, decodeFrame(rest.substr(sizeBytes, size)));
        frames.push_back(std::move(frame));
        rest.remove_prefix(sizeBytes + size);
    }
    m_rest.erase(0, m_rest.size() - rest.size());
    return frames;
}

}
