#include <LibState/Fold.h>
#include <algorithm>
#include <set>

namespace State {

namespace {

constexpr std::size_t maximumDetailLength = 400;

Outcome refusedAt(std::uint64_t offset, Refusal refusal)
{
    Outcome outcome;
    outcome.kind = OutcomeKind::Refused;
    outcome.revision = offset;
    outcome.refusal = refusal;
    return outcome;
}

OrganisationContent const* organisationOf(std::optional<Content> const& content)
{
    return content ? std::get_if<OrganisationContent>(&*content) : nullptr;
}

}

Core::Result<Fold> Fold::fromSnapshot(Snapshot const& snapshot)
{
    BOOST_OUTCOME_TRY(FoldState state, decodeFoldState(snapshot.state()));
    if (state.nextOffset != snapshot.nextOffset())
        return Core::fail(Core::ErrorCode::Corrupt, "the snapshot covers another prefix than it says");
    Fold fold;
    fold.m_state = std::move(state);
    fold.indexState();
    return fold;
}

Core::Result<bool> Fold::adopt(Snapshot const& snapshot)
{
    if (snapshot.nextOffset() <= m_state.nextOffset)
        return false;
    BOOST_OUTCOME_TRY(Fold newer, fromSnapshot(snapshot));
    newer.m_tracker = std::move(m_tracker);
    *this = std::move(newer);
    return true;
}

Core::Result<ApplyResult> Fold::apply(std::uint64_t offset, std::string_view bytes)
{
    ApplyResult result;
    if (offset < m_state.nextOffset) {
        result.applied = Applied::AlreadyRead;
        return result;
    }
    if (offset > m_state.nextOffset)
        return Core::fail(Core::ErrorCode::Gap, "the next offset to read is " + std::to_string(m_state.nextOffset) + ", read " + std::to_string(offset));
    forgetOld();
    Core::Result<LogRecord> record = decodeLogRecord(bytes);
    if (!record) {
        result.applied = Applied::Undecodable;
    } else if (SnapshotPart const* part = std::get_if<SnapshotPart>(&record.value())) {
        m_tracker.note(*part);
        result.applied = Applied::SnapshotNoted;
    } else {
        result = applyConfig(std::get<ConfigRecord>(std::move(record).value()));
    }
    ++m_state.nextOffset;
    return result;
}

ApplyResult Fold::applyConfig(ConfigRecord record)
{
    ApplyResult result;
    std::map<RecordId, Outcome>::const_iterator it = m_state.outcomes.find(record.id);
    if (it != m_state.outcomes.end()) {
        result.applied = Applied::Repeated;
        result.outcome = it->second;
    } else {
        std::vector<std::optional<Content>> contents;
        result.outcome = decide(record, contents);
        result.applied = result.outcome.kind == OutcomeKind::Accepted ? Applied::Accepted : Applied::Refused;
        if (result.applied == Applied::Accepted)
            commit(record, contents);
        if (result.outcome.refusal != Refusal::FromTheFuture)
            remember(record.id, result.outcome);
    }
    result.record = std::move(record);
    return result;
}

Outcome Fold::decide(ConfigRecord const& record, std::vector<std::optional<Content>>& contents) const
{
    std::uint64_t offset = m_state.nextOffset;
    if (record.id.readNext > offset)
        return refusedAt(offset, Refusal::FromTheFuture);
    if (offset - record.id.readNext > window)
        return refusedAt(offset, Refusal::TooOld);
    Core::Result<std::vector<std::optional<Content>>> validated = validate(record);
    if (!validated) {
        Outcome invalid = refusedAt(offset, Refusal::Invalid);
        invalid.detail = validated.error().message.substr(0, maximumDetailLength);
        return invalid;
    }
    for (Edit const& edit : record.edits) {
        if (std::optional<Outcome> conflict = conflictOf(edit, record.id))
            return *conflict;
    }
    if (std::string problem = sharedKey(record, validated.value()); !problem.empty()) {
        Outcome invalid = refusedAt(offset, Refusal::Invalid);
        invalid.detail = problem.substr(0, maximumDetailLength);
        return invalid;
    }
    contents = std::move(validated).value();
    Outcome accepted;
    accepted.kind = OutcomeKind::Accepted;
    accepted.revision = offset;
    return accepted;
}

// Returns what is wrong where a key would be held by two organisations; else nothing. A record may hand a key over.
std::string Fold::sharedKey(ConfigRecord const& record, std::vector<std::optional<Content>> const& contents) const
{
    std::set<std::string_view> edited;
    for (Edit const& edit : record.edits) {
        if (edit.key.kind == Kind::Organisation)
            edited.insert(edit.key.name);
    }
    std::map<Access::KeyDigest, std::string_view> taken;
    for (std::size_t n = 0; n < record.edits.size(); ++n) {
        OrganisationContent const* organisation = organisationOf(contents[n]);
        if (!organisation)
            continue;
        std::string const& name = record.edits[n].key.name;
        for (Access::KeyDigest const& key : organisation->keys) {
            std::map<Access::KeyDigest, std::string>::const_iterator holder = m_keyHolders.find(key);
            bool isKept = holder != m_keyHolders.end() && !edited.contains(holder->second);
            std::string_view other = isKept ? std::string_view(holder->second) : taken.emplace(key, name).first->second;
            if (other != name)
                return "organisation " + name + ": key-digests: organisation " + std::string(other) + " holds one of these keys, allowed: one holder for each key";
        }
    }
    return {};
}

std::optional<Outcome> Fold::conflictOf(Edit const& edit, RecordId const& id) const
{
    Outcome conflict = refusedAt(m_state.nextOffset, Refusal::Conflict);
    conflict.object = edit.key.toString();
    if (ObjectPointer object = find(edit.key)) {
        if (edit.baseRevision == object->revision)
            return std::nullopt;
        conflict.currentRevision = object->revision;
        return conflict;
    }
    std::map<ObjectKey, std::uint64_t>::const_iterator deletion = m_state.deletions.find(edit.key);
    bool isDeletionUnread = deletion != m_state.deletions.end() && deletion->second >= id.readNext;
    if (!edit.baseRevision && !isDeletionUnread)
        return std::nullopt;
    if (deletion != m_state.deletions.end())
        conflict.currentRevision = deletion->second;
    return conflict;
}

void Fold::commit(ConfigRecord const& record, std::vector<std::optional<Content>>& contents)
{
    std::uint64_t offset = m_state.nextOffset;
    for (std::size_t n = 0; n < record.edits.size(); ++n) {
        ObjectKey const& key = record.edits[n].key;
        forgetKeys(key);
        if (contents[n]) {
            m_state.objects[key] = std::make_shared<Object const>(Object { key, offset, std::move(*contents[n]) });
            m_state.deletions.erase(key);
        } else {
            m_state.objects.erase(key);
            m_state.deletions[key] = offset;
            m_deletionOrder.emplace_back(offset, key);
        }
    }
    for (Edit const& edit : record.edits)
        noteKeys(edit.key);
}

void Fold::noteKeys(ObjectKey const& key)
{
    ObjectPointer object = key.kind == Kind::Organisation ? find(key) : nullptr;
    if (!object)
        return;
    for (Access::KeyDigest const& digest : std::get<OrganisationContent>(object->content).keys)
        m_keyHolders[digest] = key.name;
}

void Fold::forgetKeys(ObjectKey const& key)
{
    ObjectPointer object = key.kind == Kind::Organisation ? find(key) : nullptr;
    if (!object)
        return;
    for (Access::KeyDigest const& digest : std::get<OrganisationContent>(object->content).keys)
        m_keyHolders.erase(digest);
}

void Fold::remember(RecordId const& id, Outcome const& outcome)
{
    m_state.outcomes.emplace(id, outcome);
    m_outcomeOrder.emplace_back(outcome.revision, id);
}

void Fold::forgetOld()
{
    std::uint64_t offset = m_state.nextOffset;
    while (!m_outcomeOrder.empty() && offset - m_outcomeOrder.front().first > window) {
        m_state.outcomes.erase(m_outcomeOrder.front().second);
        m_outcomeOrder.pop_front();
    }
    while (!m_deletionOrder.empty() && offset - m_deletionOrder.front().first > window) {
        std::map<ObjectKey, std::uint64_t>::const_iterator it = m_state.deletions.find(m_deletionOrder.front().second);
        if (it != m_state.deletions.end() && it->second == m_deletionOrder.front().first)
            m_state.deletions.erase(it);
        m_deletionOrder.pop_front();
    }
}

void Fold::indexState()
{
    for (std::pair<RecordId const, Outcome> const& it : m_state.outcomes)
        m_outcomeOrder.emplace_back(it.second.revision, it.first);
    std::sort(m_outcomeOrder.begin(), m_outcomeOrder.end());
    for (std::pair<ObjectKey const, std::uint64_t> const& it : m_state.deletions)
        m_deletionOrder.emplace_back(it.second, it.first);
    std::sort(m_deletionOrder.begin(), m_deletionOrder.end());
    for (std::pair<ObjectKey const, ObjectPointer> const& it : m_state.objects)
        noteKeys(it.first);
}

Snapshot Fold::snapshot() const
{
    return Snapshot::create(m_state.nextOffset, encode(m_state));
}

Outcome Fold::outcome(RecordId const& id) const
{
    std::map<RecordId, Outcome>::const_iterator it = m_state.outcomes.find(id);
    if (it != m_state.outcomes.end())
        return it->second;
    Outcome unknown;
    bool isOld = id.readNext < m_state.nextOffset && m_state.nextOffset - id.readNext > window;
    unknown.kind = isOld ? OutcomeKind::Forgotten : OutcomeKind::Unseen;
    return unknown;
}

ObjectPointer Fold::find(ObjectKey const& key) const
{
    std::map<ObjectKey, ObjectPointer>::const_iterator it = m_state.objects.find(key);
    return it == m_state.objects.end() ? nullptr : it->second;
}

}
