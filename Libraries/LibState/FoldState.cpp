#include <ConfigStream.pb.h>
#include <LibState/FoldState.h>
#include <google/protobuf/arena.h>

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

std::string encode(FoldState const& state)
{
    google::protobuf::Arena arena;
    Proto::SnapshotState* proto = google::protobuf::Arena::CreateMessage<Proto::SnapshotState>(&arena);
    proto->set_format(stateFormat);
    proto->set_next_offset(state.nextOffset);
    for (std::pair<ObjectKey const, ObjectPointer> const& it : state.objects)
        fill(*proto->add_objects(), *it.second);
    for (std::pair<ObjectKey const, std::uint64_t> const& it : state.deletions) {
        Proto::SnapshotDeletion* deletion = proto->add_deletions();
        deletion->set_kind(std::string(Core::nameOf(kindNames, it.first.kind)));
        deletion->set_name(it.first.name);
        deletion->set_revision(it.second);
    }
    for (std::pair<RecordId const, Outcome> const& it : state.outcomes)
        fill(*proto->add_outcomes(), it.first, it.second);
    return proto->SerializeAsString();
}

Core::Result<FoldState> decodeFoldState(std::string_view bytes)
{
    google::protobuf::Arena arena;
    Proto::SnapshotState* proto = google::protobuf::Arena::CreateMessage<Proto::SnapshotState>(&arena);
    if (!proto->ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || proto->format() != stateFormat)
        return corrupt("it cannot be decoded");
    FoldState state;
    state.nextOffset = proto->next_offset();
    for (Proto::SnapshotObject const& object : proto->objects()) {
        BOOST_OUTCOME_TRY(readObject(state, object));
    }
    for (Proto::SnapshotDeletion const& deletion : proto->deletions()) {
        BOOST_OUTCOME_TRY(ObjectKey key, readKey(deletion.kind(), deletion.name()));
        BOOST_OUTCOME_TRY(append(state.deletions, key, deletion.revision(), deletion.revision(), state.nextOffset));
    }
    for (Proto::SnapshotOutcome const& outcome : proto->outcomes()) {
        BOOST_OUTCOME_TRY(readOutcome(state, outcome));
    }
    return state;
}

}
