#include <LibDaemon/OperatorJson.h>
#include <LibPlatform/Json.h>
#include <boost/json/array.hpp>

namespace Daemon {

namespace {

Core::Error problem(std::size_t edit, std::string const& message)
{
    return Core::makeError(Core::ErrorCode::BadInput, "edits[" + std::to_string(edit) + "]: " + message);
}

Core::Result<State::Edit> parseEdit(boost::json::value const& value, std::size_t index)
{
    boost::json::object const* object = value.if_object();
    if (!object)
        return problem(index, "allowed is an object");
    std::string kind = Platform::stringOf(*object, "kind");
    std::optional<State::Kind> known = Core::valueOf(State::kindNames, kind);
    if (!known)
        return problem(index, "kind: read \"" + kind + "\"; allowed are target, request-rule, route, group and organisation");
    State::Edit edit;
    edit.key = { *known, Platform::stringOf(*object, "name") };
    // Revision 0 cannot be told from none in JSON clients, so null or a missing key means: must not exist.
    if (boost::json::value const* base = object->if_contains("base_revision"); base && !base->is_null()) {
        if (!base->is_int64() && !base->is_uint64())
            return problem(index, "base_revision: allowed is a whole number or null");
        edit.baseRevision = Platform::numberOf(*object, "base_revision");
    }
    if (Platform::flagOf(*object, "delete"))
        return edit;
    boost::json::value const* fields = object->if_contains("fields");
    if (!fields || !fields->is_object())
        return problem(index, "allowed is \"fields\" with an object of strings, or \"delete\": true");
    edit.fields.emplace();
    for (boost::json::key_value_pair const& field : fields->get_object()) {
        if (!field.value().is_string())
            return problem(index, "field \"" + std::string(field.key()) + "\": allowed is a string");
        edit.fields->emplace(std::string(field.key()), std::string(field.value().get_string()));
    }
    return edit;
}

}

Core::Result<State::ConfigRecord> parseRecord(std::string_view json)
{
    BOOST_OUTCOME_TRY(boost::json::object object, Platform::parseObject(json));
    State::ConfigRecord record;
    BOOST_OUTCOME_TRY(record.id, State::RecordId::parse(Platform::stringOf(object, "id")));
    record.author = Platform::stringOf(object, "author");
    boost::json::array const* edits = Platform::arrayOf(object, "edits");
    if (!edits || edits->empty())
        return Core::fail(Core::ErrorCode::BadInput, "edits: missing or empty; allowed is an array of edits");
    for (boost::json::value const& value : *edits) {
        BOOST_OUTCOME_TRY(State::Edit edit, parseEdit(value, record.edits.size()));
        record.edits.push_back(std::move(edit));
    }
    return record;
}

boost::json::object toJson(State::Object const& object)
{
    boost::json::object json;
    json["kind"] = Core::nameOf(State::kindNames, object.key.kind);
    json["name"] = object.key.name;
    json["revision"] = object.revision;
    boost::json::object fields;
    for (std::pair<std::string const, std::string> const& field : State::fieldsOf(object.content))
        fields[field.first] = field.second;
    json["fields"] = std::move(fields);
    return json;
}

boost::json::object toJson(HistoryEntry const& entry)
{
    boost::json::object json;
    json["offset"] = entry.offset;
    json["id"] = entry.record.id.toString();
    json["author"] = entry.record.author;
    json["outcome"] = Core::nameOf(State::appliedNames, entry.applied);
    json["why"] = entry.outcome.message();
    boost::json::array edits;
    for (State::Edit const& edit : entry.record.edits) {
        boost::json::object one;
        one["kind"] = Core::nameOf(State::kindNames, edit.key.kind);
        one["name"] = edit.key.name;
        if (edit.baseRevision)
            one["base_revision"] = *edit.baseRevision;
        if (!edit.fields) {
            one["delete"] = true;
        } else {
            boost::json::object fields;
            for (std::pair<std::string const, std::string> const& field : *edit.fields)
                fields[field.first] = field.second;
            one["fields"] = std::move(fields);
        }
        edits.push_back(std::move(one));
    }
    json["edits"] = std::move(edits);
    return json;
}

boost::json::object toJson(State::Outcome const& outcome)
{
    boost::json::object json;
    bool isUnknown = outcome.kind == State::OutcomeKind::Unseen || outcome.kind == State::OutcomeKind::Forgotten;
    json["outcome"] = isUnknown ? std::string_view("unknown") : Core::nameOf(State::outcomeKindNames, outcome.kind);
    if (outcome.kind == State::OutcomeKind::Accepted)
        json["revision"] = outcome.revision;
    if (outcome.kind != State::OutcomeKind::Accepted)
        json["reason"] = outcome.message();
    if (outcome.currentRevision)
        json["current_revision"] = *outcome.currentRevision;
    if (!outcome.object.empty())
        json["object"] = outcome.object;
    return json;
}

}
