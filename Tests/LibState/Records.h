#pragma once

#include <LibState/Fold.h>
#include <LibState/LogRecord.h>
#include <string>
#include <vector>

namespace State {

/// The key of a target object.
inline ObjectKey targetKey(std::string const& name)
{
    return { Kind::Target, name };
}

/// An edit that gives a target one label.
inline Edit setTarget(std::string const& name, std::optional<std::uint64_t> base, std::string const& labels)
{
    return { targetKey(name), base, Fields { { "labels", labels } } };
}

/// An edit that deletes a target's labels.
inline Edit deleteTarget(std::string const& name, std::uint64_t base)
{
    return { targetKey(name), base, std::nullopt };
}

/// An edit that gives an organisation the digests of keys.
inline Edit setOrganisation(std::string const& name, std::optional<std::uint64_t> base, std::vector<std::string> const& keys)
{
    std::string digests;
    for (std::string const& key : keys)
        digests += (digests.empty() ? "" : ",") + Access::KeyDigest::of(key).toString();
    return { { Kind::Organisation, name }, base, Fields { { "key-digests", digests } } };
}

/// The bytes of a record.
inline std::string bytesOf(RecordId id, std::vector<Edit> edits)
{
    return encode(LogRecord(ConfigRecord { id, "clerk", std::move(edits) })).value();
}

/// Applies a record at the fold's next offset.
inline ApplyResult applyNext(Fold& fold, std::string const& bytes)
{
    return fold.apply(fold.nextOffset(), bytes).value();
}

/// Applies `n` records that are not ours.
inline void passOffsets(Fold& fold, std::uint64_t n)
{
    while (n-- > 0)
        applyNext(fold, "?");
}

/// A state that holds the given objects, their revisions counting from 0.
inline FoldState stateOf(std::vector<std::pair<ObjectKey, Fields>> const& objects)
{
    FoldState state;
    for (std::pair<ObjectKey, Fields> const& it : objects) {
        Content content = parseContent(it.first.kind, it.second).value();
        state.objects[it.first] = std::make_shared<Object const>(Object { it.first, state.nextOffset++, std::move(content) });
    }
    return state;
}

}
