#include <LibOperator/Codec.h>

#include <LibJson/Reader.h>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace Operator {

using boost::json::array;
using boost::json::object;
using Objects = std::vector<object const*>;

namespace {

object toJson(State::Fields const& fields)
{
    object json;
    for (State::Fields::value_type const& it : fields)
        json[it.first] = it.second;
    return json;
}

Core::Result<State::Fields> fieldsOf(object const& holder)
{
    boost::json::value const* json = holder.if_contains("fields");
    if (!json || !json->is_object())
        return Core::fail(Core::ErrorCode::BadInput, "'fields' must be an object.");
    State::Fields fields;
    for (boost::json::key_value_pair const& it : json->get_object()) {
        BOOST_OUTCOME_TRY(std::string value, Json::requiredString(json->get_object(), it.key()));
        fields[std::string(it.key())] = std::move(value);
    }
    return fields;
}

object toJson(State::ObjectKey const& key)
{
    return { { "kind", Core::nameOf(State::kindNames, key.kind) }, { "name", key.name } };
}

Core::Result<State::ObjectKey> keyOf(object const& json)
{
    BOOST_OUTCOME_TRY(std::string kindName, Json::requiredString(json, "kind"));
    BOOST_OUTCOME_TRY(std::string name, Json::requiredString(json, "name"));
    std::optional<State::Kind> kind = Core::valueOf(State::kindNames, kindName);
    if (!kind)
        return Core::fail(Core::ErrorCode::BadInput, "read kind '" + kindName + "', allowed: target, request-rule, route, group or organisation");
    return State::ObjectKey { *kind, std::move(name) };
}

object toJson(State::Edit const& edit)
{
    object json = toJson(edit.key);
    if (edit.baseRevision)
        json["base_revision"] = *edit.baseRevision;
    if (edit.fields)
        json["fields"] = toJson(*edit.fields);
    else
        json["delete"] = true;
    return json;
}

Core::Result<State::Edit> editOf(object const& json)
{
    BOOST_OUTCOME_TRY(State::ObjectKey key, keyOf(json));
    BOOST_OUTCOME_TRY(std::optional<std::uint64_t> base, Json::optionalNumber(json, "base_revision"));
    BOOST_OUTCOME_TRY(std::optional<bool> isDeletion, Json::optionalBool(json, "delete"));
    State::Edit edit { std::move(key), base, std::nullopt };
    if (isDeletion.value_or(false) == json.contains("fields"))
        return Core::fail(Core::ErrorCode::BadInput, "An edit has either 'fields' or 'delete': true.");
    if (!isDeletion.value_or(false)) {
        BOOST_OUTCOME_TRY(edit.fields, fieldsOf(json));
    }
    return edit;
}

object toJson(State::ConfigRecord const& record)
{
    array edits;
    for (State::Edit const& it : record.edits)
        edits.push_back(toJson(it));
    return { { "id", record.id.toString() }, { "author", record.author }, { "edits", std::move(edits) } };
}

Core::Result<State::ConfigRecord> recordOf(object const& json)
{
    BOOST_OUTCOME_TRY(std::string id, Json::requiredString(json, "id"));
    State::ConfigRecord record;
    BOOST_OUTCOME_TRY(record.id, State::RecordId::parse(id));
    BOOST_OUTCOME_TRY(record.author, Json::requiredString(json, "author"));
    BOOST_OUTCOME_TRY(Objects edits, Json::requiredObjects(json, "edits"));
    for (object const* it : edits) {
        BOOST_OUTCOME_TRY(State::Edit edit, editOf(*it));
        record.edits.push_back(std::move(edit));
    }
    return record;
}

Core::Result<ChangeOutcome> outcomeOf(object const& json)
{
    BOOST_OUTCOME_TRY(std::string name, Json::requiredString(json, "outcome"));
    std::optional<ChangeOutcome> outcome = Core::valueOf(changeOutcomeNames, name);
    if (!outcome)
        return Core::fail(Core::ErrorCode::BadInput, "read outcome '" + name + "', allowed: accepted, refused or unknown");
    return *outcome;
}

Core::Result<HistoryEntry> historyEntryOf(object const& json)
{
    HistoryEntry entry;
    BOOST_OUTCOME_TRY(entry.offset, Json::requiredNumber(json, "offset"));
    BOOST_OUTCOME_TRY(std::string outcome, Json::requiredString(json, "outcome"));
    std::optional<State::Applied> applied = Core::valueOf(State::appliedNames, outcome);
    if (!applied)
        return Core::fail(Core::ErrorCode::BadInput, "read outcome '" + outcome + "', allowed: accepted, refused or repeated");
    entry.applied = *applied;
    BOOST_OUTCOME_TRY(std::optional<std::string> reason, Json::optionalString(json, "why"));
    entry.reason = reason.value_or("");
    BOOST_OUTCOME_TRY(entry.record, recordOf(json));
    return entry;
}

}

std::string encode(State::ConfigRecord const& record)
{
    return boost::json::serialize(toJson(record));
}

Core::Result<State::ConfigRecord> decodeRecord(std::string_view text)
{
    BOOST_OUTCOME_TRY(object json, Json::parseObject(text));
    return recordOf(json);
}

std::string encode(ConfigDocument const& document)
{
    array objects;
    for (ObjectEntry const& it : document.objects) {
        object json = toJson(it.key);
        json["revision"] = it.revision;
        json["fields"] = toJson(it.fields);
        objects.push_back(std::move(json));
    }
    return boost::json::serialize(object { { "offset", document.offset }, { "objects", std::move(objects) } });
}

Core::Result<ConfigDocument> decodeConfig(std::string_view text)
{
    BOOST_OUTCOME_TRY(object json, Json::parseObject(text));
    ConfigDocument document;
    BOOST_OUTCOME_TRY(document.offset, Json::requiredNumber(json, "offset"));
    BOOST_OUTCOME_TRY(Objects objects, Json::requiredObjects(json, "objects"));
    for (object const* it : objects) {
        ObjectEntry entry;
        BOOST_OUTCOME_TRY(entry.key, keyOf(*it));
        BOOST_OUTCOME_TRY(entry.revision, Json::requiredNumber(*it, "revision"));
        BOOST_OUTCOME_TRY(entry.fields, fieldsOf(*it));
        document.objects.push_back(std::move(entry));
    }
    return document;
}

std::string encode(ChangeReply const& reply)
{
    object json { { "outcome", Core::nameOf(changeOutcomeNames, reply.outcome) } };
    if (reply.outcome == ChangeOutcome::Accepted)
        json["revision"] = reply.revision;
    else
        json["reason"] = reply.reason;
    if (reply.currentRevision)
        json["current_revision"] = *reply.currentRevision;
    return boost::json::serialize(json);
}

Core::Result<ChangeReply> decodeReply(std::string_view text)
{
    BOOST_OUTCOME_TRY(object json, Json::parseObject(text));
    ChangeReply reply;
    BOOST_OUTCOME_TRY(reply.outcome, outcomeOf(json));
    if (reply.outcome == ChangeOutcome::Accepted) {
        BOOST_OUTCOME_TRY(reply.revision, Json::requiredNumber(json, "revision"));
    }
    BOOST_OUTCOME_TRY(std::optional<std::string> reason, Json::optionalString(json, "reason"));
    reply.reason = reason.value_or("");
    BOOST_OUTCOME_TRY(reply.currentRevision, Json::optionalNumber(json, "current_revision"));
    return reply;
}

std::string encode(std::vector<HistoryEntry> const& entries)
{
    array records;
    for (HistoryEntry const& it : entries) {
        object json = toJson(it.record);
        json["offset"] = it.offset;
        json["outcome"] = Core::nameOf(State::appliedNames, it.applied);
        if (!it.reason.empty())
            json["why"] = it.reason;
        records.push_back(std::move(json));
    }
    return boost::json::serialize(object { { "records", std::move(records) } });
}

Core::Result<std::vector<HistoryEntry>> decodeHistory(std::string_view text)
{
    BOOST_OUTCOME_TRY(object json, Json::parseObject(text));
    BOOST_OUTCOME_TRY(Objects records, Json::requiredObjects(json, "records"));
    std::vector<HistoryEntry> entries;
    for (object const* it : records) {
        BOOST_OUTCOME_TRY(HistoryEntry entry, historyEntryOf(*it));
        entries.push_back(std::move(entry));
    }
    return entries;
}

std::string encode(Progress const& progress)
{
    array daemons;
    for (DaemonProgress const& it : progress.daemons)
        daemons.push_back(object { { "name", it.name }, { "offset", it.offset } });
    return boost::json::serialize(object { { "daemons", std::move(daemons) }, { "in_force", progress.isInForce } });
}

Core::Result<Progress> decodeProgress(std::string_view text)
{
    BOOST_OUTCOME_TRY(object json, Json::parseObject(text));
    Progress progress;
    BOOST_OUTCOME_TRY(std::optional<bool> isInForce, Json::optionalBool(json, "in_force"));
    progress.isInForce = isInForce.value_or(false);
    BOOST_OUTCOME_TRY(Objects daemons, Json::requiredObjects(json, "daemons"));
    for (object const* it : daemons) {
        DaemonProgress daemon;
        BOOST_OUTCOME_TRY(daemon.name, Json::requiredString(*it, "name"));
        BOOST_OUTCOME_TRY(daemon.offset, Json::requiredNumber(*it, "offset"));
        progress.daemons.push_back(std::move(daemon));
    }
    return progress;
}

}
