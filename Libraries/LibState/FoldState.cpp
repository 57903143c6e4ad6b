#include <ConfigStream.pb.h>
#include <LibState/FoldState.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

namespace State {

namespace {

constexpr std::uint32_t stateFormat = 1;

Core::Error corrupt(std::string const& what)
{
    return Core::makeError(Core::ErrorCode::Corrupt, "the snapshot is corrupt: " + what);
}

void fill(Proto::SnapshotObject& proto, Object const& object)
{
    proto.set_kind(std::string(Core::nameOf(kindNames, object.key.kind)));
    proto.set_name(object.key.name);
    proto.set_revision(object.revision);
    for (Fields::value_type const& field : fieldsOf(object.content)) {
        Proto::Field* added = proto.add_fields();
        added->set_key(field.first);
        added->set_value(field.second);
    }
}

void fill(Proto::SnapshotOutcome& proto, RecordId const& id, Outcome const& outcome)
{
    proto.mutable_id()->set_read_next(id.readNext);
    proto.mutable_id()->set_nonce(id.nonce);
    proto.set_offset(outcome.revision);
    proto.set_refusal(static_cast<std::uint32_t>(outcome.refusal));
    proto.set_object(outcome.object);
    if (outcome.currentRevision)
        proto.set_current_revision(*outcome.currentRevision);
    proto.set_detail(outcome.detail);
}

Core::Result<ObjectKey> readKey(std::string const& kindName, std::string const& name)
{
    std::optional<Kind> kind = Core::valueOf(kindNames, kindName);
    if (!kind || !checkName(name))
        return corrupt("a bad object name");
    return ObjectKey { *kind, name };
}

/// Adds an entry that must come after all others and be older than the state.
template <typename Map, typename Value>
Core::Result<void> append(Map& map, typename Map::key_type const& key, Value value, std::uint64_t revision, std::uint64_t nextOffset)
{
    bool isOrdered = map.empty() || map.rbegin()->first < key;
    if (!isOrdered || revision >= nextOffset)
        return corrupt("entries are out of order");
    map.emplace_hint(map.end(), key, std::move(value));
    return Core::ok();
}

Core::Result<void> readObject(FoldState& state, Proto::SnapshotObject const& proto)
{
    BOOST_OUTCOME_TRY(ObjectKey key, readKey(proto.kind(), proto.name()));
    Fields fields;
    for (Proto::Field const& field : proto.fields())
        fields.emplace(field.key(), field.value());
    Core::Result<Content> content = parseContent(key.kind, fields);
    if (!content)
        return corrupt(key.toString() + ": " + content.error().message);
    Object object { key, proto.revision(), std::move(content).value() };
    return append(state.objects, key, std::make_shared<Object const>(std::move(object)), proto.revision(), state.nextOffset);
}

Core::Result<void> readOutcome(FoldState& state, Proto::SnapshotOutcome const& proto)
{
    if (proto.refusal() >= refusalNames.size())
        return corrupt("an unknown refusal");
    Outcome outcome;
    outcome.refusal = static_cast<Refusal>(proto.refusal());
    outcome.kind = outcome.refusal == Refusal::None ? OutcomeKind::Accepted : OutcomeKind::Refused;
    outcome.revision = proto.offset();
    outcome.object = proto.object();
    if (proto.has_current_revision())
        outcome.currentRevision = proto.current_revision();
    outcome.detail = proto.detail();
    RecordId id { proto.id().read_next(), proto.id().nonce() };
    return append(state.outcomes, id, std::move(outcome), proto.offset(), state.nextOffset);
}

}

namespace {

/// Appends a piece of the whole message: protobuf messages may be written one after the other, and read as
/// one. So no copy of the whole state has to be held.
void append(std::string& bytes, Proto::SnapshotState& piece)
{
    piece.AppendToString(&bytes);
    piece.Clear();
}

Core::Result<void> readPiece(FoldState& state, Proto::SnapshotState const& piece)
{
    for (Proto::SnapshotObject const& object : piece.objects()) {
        BOOST_OUTCOME_TRY(readObject(state, object));
    }
    for (Proto::SnapshotDeletion const& deletion : piece.deletions()) {
        BOOST_OUTCOME_TRY(ObjectKey key, readKey(deletion.kind(), deletion.name()));
        BOOST_OUTCOME_TRY(append(state.deletions, key, deletion.revision(), deletion.revision(), state.nextOffset));
    }
    for (Proto::SnapshotOutcome const& outcome : piece.outcomes()) {
        BOOST_OUTCOME_TRY(readOutcome(state, outcome));
    }
    if (piece.format() != 0 && piece.format() != stateFormat)
        return corrupt("it has an unknown format");
    if (piece.next_offset() != 0)
        state.nextOffset = piece.next_offset();
    return Core::ok();
}

/// Returns the end of the field that starts at `start`, or nothing when the bytes are no message.
std::optional<std::size_t> endOfField(std::string_view bytes, std::size_t start)
{
    google::protobuf::io::CodedInputStream stream(reinterpret_cast<std::uint8_t const*>(bytes.data() + start), static_cast<int>(bytes.size() - start));
    std::uint32_t tag = stream.ReadTag();
    if (tag == 0 || !google::protobuf::internal::WireFormatLite::SkipField(&stream, tag))
        return std::nullopt;
    return start + static_cast<std::size_t>(stream.CurrentPosition());
}

}

std::string encode(FoldState const& state)
{
    std::string bytes;
    Proto::SnapshotState piece;
    piece.set_format(stateFormat);
    piece.set_next_offset(state.nextOffset);
    append(bytes, piece);
    for (std::pair<ObjectKey const, ObjectPointer> const& it : state.objects) {
        fill(*piece.add_objects(), *it.second);
        append(bytes, piece);
    }
    for (std::pair<ObjectKey const, std::uint64_t> const& it : state.deletions) {
        Proto::SnapshotDeletion* deletion = piece.add_deletions();
        deletion->set_kind(std::string(Core::nameOf(kindNames, it.first.kind)));
        deletion->set_name(it.first.name);
        deletion->set_revision(it.second);
        append(bytes, piece);
    }
    for (std::pair<RecordId const, Outcome> const& it : state.outcomes) {
        fill(*piece.add_outcomes(), it.first, it.second);
        append(bytes, piece);
    }
    return bytes;
}

Core::Result<FoldState> decodeFoldState(std::string_view bytes)
{
    FoldState state;
    Proto::SnapshotState piece;
    for (std::size_t start = 0; start < bytes.size();) {
        std::optional<std::size_t> end = endOfField(bytes, start);
        if (!end || !piece.ParseFromArray(bytes.data() + start, static_cast<int>(*end - start)))
            return corrupt("it cannot be decoded");
        BOOST_OUTCOME_TRY(readPiece(state, piece));
        start = *end;
    }
    return state;
}

}
