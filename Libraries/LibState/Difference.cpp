#include <LibState/Difference.h>

namespace State {

namespace {

std::string printField(char sign, Fields::value_type const& field)
{
    return std::string("  ") + sign + " " + field.first + " = " + field.second + "\n";
}

std::string printChange(Fields const& before, Fields const& after)
{
    std::string text;
    for (Fields::value_type const& field : before) {
        Fields::const_iterator it = after.find(field.first);
        if (it == after.end() || it->second != field.second)
            text += printField('-', field);
    }
    for (Fields::value_type const& field : after) {
        Fields::const_iterator it = before.find(field.first);
        if (it == before.end() || it->second != field.second)
            text += printField('+', field);
    }
    return text;
}

}

std::vector<Difference> diff(ConfigFile const& file, Config const& config)
{
    std::map<ObjectKey, Difference> differences;
    for (std::pair<ObjectKey const, Content> const& it : file.objects)
        differences[it.first] = { it.first, std::nullopt, std::nullopt, fieldsOf(it.second) };
    for (ObjectPointer const& object : config.objects()) {
        Difference& difference = differences[object->key];
        difference.key = object->key;
        difference.revision = object->revision;
        difference.before = fieldsOf(object->content);
    }
    std::vector<Difference> changed;
    for (std::pair<ObjectKey const, Difference>& it : differences) {
        if (it.second.before != it.second.after)
            changed.push_back(std::move(it.second));
    }
    return changed;
}

std::vector<Edit> editsOf(std::vector<Difference> const& differences, bool prune)
{
    std::vector<Edit> edits;
    for (Difference const& difference : differences) {
        if (difference.after || prune)
            edits.push_back({ difference.key, difference.revision, difference.after });
    }
    return edits;
}

std::string toString(std::vector<Difference> const& differences)
{
    std::string text;
    for (Difference const& it : differences) {
        std::string_view sign = !it.before ? "+" : !it.after ? "-"
                                                             : "~";
        text.append(sign).append(" [").append(it.key.toString()).append("]\n");
        text += printChange(it.before.value_or(Fields()), it.after.value_or(Fields()));
    }
    return text;
}

}
