#include <LibOperator/ChangePlan.h>

#include <LibLabel/LabelSet.h>
#include <LibState/Config.h>
#include <algorithm>
#include <charconv>

namespace Operator {

namespace {

constexpr std::string_view baseMark = "; currantctl base ";
constexpr std::string_view drainValue = "yes";

/// Rebuilds the configuration from its document, so that files compare with it as they do in a daemon.
Core::Result<State::FoldState> stateOf(ConfigDocument const& document)
{
    State::FoldState state;
    state.nextOffset = document.offset;
    for (ObjectEntry const& it : document.objects) {
        Core::Result<State::Content> content = State::parseContent(it.key.kind, it.fields);
        if (!content)
            return Core::fail(Core::ErrorCode::Internal, "the configuration's [" + it.key.toString() + "] can't be read by this version: " + content.error().message);
        state.objects[it.key] = std::make_shared<State::Object const>(State::Object { it.key, it.revision, std::move(content.value()) });
    }
    return state;
}

Label::LabelSet const* labelsOf(State::FoldState const& state, State::ObjectKey const& key)
{
    auto it = state.objects.find(key);
    return it == state.objects.end() ? nullptr : &std::get<State::TargetContent>(it->second->content).labels;
}

/// As the daemons read it: any value but "no" drains.
bool isDrainedBy(Label::LabelSet const& labels)
{
    std::optional<std::string_view> value = labels.get(drainLabel);
    return value && *value != "no";
}

/// Gives a drained target that the file does not mention as such its drain label back.
void keepDrain(State::ConfigFile& file, State::Object const& object, ApplyOptions const& options, std::vector<std::string>& notes)
{
    if (object.key.kind != State::Kind::Target)
        return;
    Label::LabelSet const& labels = std::get<State::TargetContent>(object.content).labels;
    auto it = file.objects.find(object.key);
    bool isTouched = it != file.objects.end() || options.prune;
    if (!isDrainedBy(labels) || !isTouched)
        return;
    State::TargetContent content = it == file.objects.end() ? State::TargetContent() : std::get<State::TargetContent>(it->second);
    if (content.labels.get(drainLabel) || !content.labels.set(drainLabel, *labels.get(drainLabel)))
        return;
    notes.push_back("[" + object.key.toString() + "] keeps drain=" + std::string(*labels.get(drainLabel)) + ", which the file does not mention; 'currantctl undrain' removes it.");
    file.objects.insert_or_assign(object.key, State::Content(std::move(content)));
}

Core::Result<void> checkBase(State::Difference const& difference, std::uint64_t base)
{
    if (!difference.revision || *difference.revision < base)
        return Core::ok();
    return Core::fail(Core::ErrorCode::Conflict, "[" + difference.key.toString() + "] was changed by revision " + std::to_string(*difference.revision) + ", after the file was made from offset " + std::to_string(base) + ".");
}

Core::Result<ChangePlan> planLabels(ConfigDocument const& document, std::string const& target, bool isDrained)
{
    BOOST_OUTCOME_TRY(State::checkName(target));
    BOOST_OUTCOME_TRY(State::FoldState state, stateOf(document));
    State::ObjectKey key { State::Kind::Target, target };
    Label::LabelSet const* current = labelsOf(state, key);
    Label::LabelSet labels = current ? *current : Label::LabelSet();
    ChangePlan plan { document.offset, {}, {}, {} };
    if (isDrainedBy(labels) == isDrained)
        return plan;
    if (isDrained) {
        BOOST_OUTCOME_TRY(labels.set(drainLabel, drainValue));
    } else {
        labels.erase(drainLabel);
    }
    State::Difference difference { key, std::nullopt, std::nullopt, std::nullopt };
    if (current) {
        difference.revision = state.objects.at(key)->revision;
        difference.before = State::fieldsOf(state.objects.at(key)->content);
    }
    // An object that drain alone made goes away with its only label.
    if (!labels.empty())
        difference.after = State::fieldsOf(State::TargetContent { labels });
    plan.differences.push_back(difference);
    plan.edits = State::editsOf(plan.differences, true);
    return plan;
}

}

Core::Result<ChangePlan> planApply(State::ConfigFile const& file, ConfigDocument const& document, ApplyOptions const& options)
{
    BOOST_OUTCOME_TRY(State::FoldState state, stateOf(document));
    ChangePlan plan { document.offset, {}, {}, {} };
    State::ConfigFile kept = file;
    for (std::pair<State::ObjectKey const, State::ObjectPointer> const& it : state.objects)
        keepDrain(kept, *it.second, options, plan.notes);
    plan.differences = State::diff(kept, *State::Config::create(state));
    plan.edits = State::editsOf(plan.differences, options.prune);
    for (State::Difference const& it : plan.differences) {
        if (options.base && (it.after || options.prune)) {
            BOOST_OUTCOME_TRY(checkBase(it, *options.base));
        }
    }
    std::ptrdiff_t extra = std::ranges::count_if(plan.differences, [](State::Difference const& it) { return !it.after; });
    if (extra > 0 && !options.prune)
        plan.notes.push_back(std::to_string(extra) + " object(s) that the file does not have stay as they are; --prune deletes them.");
    return plan;
}

Core::Result<ChangePlan> planDrain(ConfigDocument const& document, std::string const& target)
{
    return planLabels(document, target, true);
}

Core::Result<ChangePlan> planUndrain(ConfigDocument const& document, std::string const& target)
{
    return planLabels(document, target, false);
}

Core::Result<ChangePlan> planDelete(ConfigDocument const& document, State::ObjectKey const& key)
{
    auto it = std::ranges::find(document.objects, key, &ObjectEntry::key);
    if (it == document.objects.end())
        return Core::fail(Core::ErrorCode::NotFound, "there is no [" + key.toString() + "]");
    ChangePlan plan { document.offset, {}, {}, {} };
    plan.differences.push_back({ key, it->revision, it->fields, std::nullopt });
    plan.edits = State::editsOf(plan.differences, true);
    return plan;
}

std::optional<std::uint64_t> baseOf(std::string_view fileText)
{
    std::size_t start = fileText.starts_with(baseMark) ? 0 : fileText.find("\n" + std::string(baseMark));
    if (start == std::string_view::npos)
        return std::nullopt;
    std::string_view rest = fileText.substr(fileText.find(baseMark, start) + baseMark.size());
    std::uint64_t base = 0;
    std::from_chars_result result = std::from_chars(rest.data(), rest.data() + rest.size(), base);
    return result.ec == std::errc() ? std::optional(base) : std::nullopt;
}

}
