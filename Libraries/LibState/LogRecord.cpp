#include <ConfigStream.pb.h>
#include <LibState/LogRecord.h>

namespace State {

namespace {

constexpr std::uint32_t recordFormat = 1;
constexpr std::uint32_t maximumParts = 4096;
constexpr std::size_t digestBytes = 16;

void fill(Proto::Edit& proto, Edit const& edit)
{
    proto.set_kind(std::string(Core::nameOf(kindNames, edit.key.kind)));
    proto.set_name(edit.key.name);
    if (edit.baseRevision)
        proto.set_base_revision(*edit.baseRevision);
    proto.set_is_deletion(!edit.fields.has_value());
    if (!edit.fields)
        return;
    for (Fields::value_type const& field : *edit.fields) {
        Proto::Field* added = proto.add_fields();
        added->set_key(field.first);
        added->set_value(field.second);
    }
}

void fill(Proto::LogRecord& proto, ConfigRecord const& record)
{
    Proto::ConfigRecord* config = proto.mutable_config();
    config->mutable_id()->set_read_next(record.id.readNext);
    config->mutable_id()->set_nonce(record.id.nonce);
    config->set_author(record.author);
    for (Edit const& edit : record.edits)
        fill(*config->add_edits(), edit);
}

void fill(Proto::LogRecord& proto, SnapshotPart const& part)
{
    Proto::SnapshotPart* added = proto.mutable_snapshot_part();
    added->set_next_offset(part.nextOffset);
    added->set_digest(part.digest);
    added->set_index(part.index);
    added->set_count(part.count);
    added->set_data(part.data);
}

Core::Result<Edit> readEdit(Proto::Edit const& proto)
{
    std::optional<Kind> kind = Core::valueOf(kindNames, proto.kind());
    if (!kind)
        return Core::fail(Core::ErrorCode::Corrupt, "the record names an unknown kind of object");
    Edit edit { { *kind, proto.name() }, std::nullopt, std::nullopt };
    if (proto.has_base_revision())
        edit.baseRevision = proto.base_revision();
    if (proto.is_deletion())
        return edit;
    edit.fields.emplace();
    for (Proto::Field const& field : proto.fields()) {
        if (!edit.fields->emplace(field.key(), field.value()).second)
            return Core::fail(Core::ErrorCode::Corrupt, "the record gives a key twice");
    }
    return edit;
}

Core::Result<LogRecord> readConfig(Proto::ConfigRecord const& proto)
{
    ConfigRecord record { { proto.id().read_next(), proto.id().nonce() }, proto.author(), {} };
    for (Proto::Edit const& it : proto.edits()) {
        BOOST_OUTCOME_TRY(Edit edit, readEdit(it));
        record.edits.push_back(std::move(edit));
    }
    return LogRecord(std::move(record));
}

Core::Result<LogRecord> readPart(Proto::SnapshotPart const& proto)
{
    if (proto.count() > maximumParts || proto.index() >= proto.count() || proto.digest().size() != digestBytes)
        return Core::fail(Core::ErrorCode::Corrupt, "the record is no part of a snapshot");
    return LogRecord(SnapshotPart { proto.next_offset(), proto.digest(), proto.index(), proto.count(), proto.data() });
}

}

Core::Result<std::string> encode(LogRecord const& record)
{
    Proto::LogRecord proto;
    proto.set_format(recordFormat);
    std::visit([&proto](auto const& content) { fill(proto, content); }, record);
    std::string bytes = proto.SerializeAsString();
    if (bytes.size() > maximumRecordBytes)
        return Core::fail(Core::ErrorCode::BadInput, "the record has " + std::to_string(bytes.size()) + " bytes, allowed: at most " + std::to_string(maximumRecordBytes) + "; apply it in pieces");
    return bytes;
}

Core::Result<LogRecord> decodeLogRecord(std::string_view bytes)
{
    Proto::LogRecord proto;
    if (bytes.size() > maximumRecordBytes || !proto.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return Core::fail(Core::ErrorCode::Corrupt, "the record cannot be decoded");
    if (proto.format() != recordFormat)
        return Core::fail(Core::ErrorCode::Corrupt, "the record has format " + std::to_string(proto.format()) + ", known: 1");
    if (proto.has_config())
        return readConfig(proto.config());
    if (proto.has_snapshot_part())
        return readPart(proto.snapshot_part());
    return Core::fail(Core::ErrorCode::Corrupt, "the record is empty");
}

}
