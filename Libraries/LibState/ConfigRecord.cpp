#include <LibState/ConfigRecord.h>
#include <set>

namespace State {

namespace {

constexpr std::size_t maximumAuthorLength = 253;

Core::Result<std::optional<Content>> validateEdit(Edit const& edit)
{
    BOOST_OUTCOME_TRY(checkName(edit.key.name));
    if (!edit.fields) {
        if (!edit.baseRevision)
            return Core::fail(Core::ErrorCode::BadInput, "a deletion needs the revision that it deletes");
        return std::optional<Content>();
    }
    BOOST_OUTCOME_TRY(Content content, parseContent(edit.key.kind, *edit.fields));
    return std::optional<Content>(std::move(content));
}

}

Core::Result<std::vector<std::optional<Content>>> validate(ConfigRecord const& record)
{
    if (record.edits.empty())
        return Core::fail(Core::ErrorCode::BadInput, "the record holds no edit");
    if (record.author.size() > maximumAuthorLength)
        return Core::fail(Core::ErrorCode::BadInput, "the author's name is longer than 253 bytes");
    std::vector<std::optional<Content>> contents;
    std::set<ObjectKey> keys;
    for (Edit const& edit : record.edits) {
        if (!keys.insert(edit.key).second)
            return Core::fail(Core::ErrorCode::BadInput, edit.key.toString() + ": edited twice in one record");
        Core::Result<std::optional<Content>> content = validateEdit(edit);
        if (!content)
            return Core::makeError(content.error().code, edit.key.toString() + ": " + content.error().message);
        contents.push_back(std::move(content).value());
    }
    return contents;
}

}
