#include <LibState/Content.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace State {

namespace {

constexpr std::size_t maximumNameLength = 63;
constexpr std::size_t maximumFieldLength = 4096;
constexpr std::size_t maximumWantedLength = 253;
constexpr double maximumChangeCostSeconds = 86400;
constexpr std::array<std::string_view, 5> platformLabels { "zone", "region", "kind", "name", "pool" };

constexpr std::array<std::string_view, 1> targetKeys { "labels" };
constexpr std::array<std::string_view, 2> requestRuleKeys { "when", "set" };
constexpr std::array<std::string_view, 2> routeKeys { "requests", "targets" };
constexpr std::array<std::string_view, 2> organisationKeys { "key-digests", "priority" };
constexpr std::array<std::string_view, 6> groupKeys { "targets", "roles", "change-cost", "model", "adapter", "version" };

/// Adds the key to an error of its value.
Core::Error inField(std::string_view key, Core::Error const& error)
{
    return Core::makeError(error.code, std::string(key) + ": " + error.message);
}

template <std::size_t Size>
Core::Result<void> checkKeys(Fields const& fields, std::array<std::string_view, Size> const& allowed)
{
    for (Fields::value_type const& field : fields) {
        if (std::find(allowed.begin(), allowed.end(), field.first) == allowed.end()) {
            std::string message = "read key '" + field.first.substr(0, maximumNameLength) + "', allowed:";
            for (std::string_view key : allowed)
                message.append(" ").append(key);
            return Core::fail(Core::ErrorCode::BadInput, std::move(message));
        }
        if (field.second.size() > maximumFieldLength) {
            return inField(field.first, Core::makeError(Core::ErrorCode::BadInput, "read " + std::to_string(field.second.size()) + " bytes, allowed: at most " + std::to_string(maximumFieldLength)));
        }
    }
    return Core::ok();
}

Core::Result<std::string> require(Fields const& fields, std::string const& key)
{
    Fields::const_iterator it = fields.find(key);
    if (it == fields.end())
        return Core::fail(Core::ErrorCode::BadInput, "key '" + key + "' is missing");
    return it->second;
}

Core::Result<Label::Selector> requireSelector(Fields const& fields, std::string const& key)
{
    BOOST_OUTCOME_TRY(std::string text, require(fields, key));
    Core::Result<Label::Selector> selector = Label::Selector::parse(text);
    if (!selector)
        return inField(key, selector.error());
    return selector;
}

Core::Result<Label::LabelSet> requireLabels(Fields const& fields, std::string const& key)
{
    BOOST_OUTCOME_TRY(std::string text, require(fields, key));
    Core::Result<Label::LabelSet> labels = Label::LabelSet::parse(text);
    if (!labels)
        return inField(key, labels.error());
    return labels;
}

Core::Result<TargetContent> parseTarget(Fields const& fields)
{
    BOOST_OUTCOME_TRY(checkKeys(fields, targetKeys));
    BOOST_OUTCOME_TRY(Label::LabelSet labels, requireLabels(fields, "labels"));
    for (Label::LabelEntry const& entry : labels) {
        if (isPlatformLabel(entry.key))
            return Core::fail(Core::ErrorCode::BadInput, "labels: read '" + entry.key + "', which the platform alone sets, as it does zone, region, kind, name and pool");
    }
    return TargetContent { std::move(labels) };
}

Core::Result<RequestRuleContent> parseRequestRule(Fields const& fields)
{
    BOOST_OUTCOME_TRY(checkKeys(fields, requestRuleKeys));
    BOOST_OUTCOME_TRY(Label::Selector when, requireSelector(fields, "when"));
    BOOST_OUTCOME_TRY(Label::LabelSet set, requireLabels(fields, "set"));
    if (set.empty())
        return Core::fail(Core::ErrorCode::BadInput, "set: read nothing, allowed: at least one label such as tier=night");
    return RequestRuleContent { std::move(when), std::move(set) };
}

Core::Result<RouteContent> parseRoute(Fields const& fields)
{
    BOOST_OUTCOME_TRY(checkKeys(fields, routeKeys));
    BOOST_OUTCOME_TRY(Label::Selector requests, requireSelector(fields, "requests"));
    BOOST_OUTCOME_TRY(Label::Selector targets, requireSelector(fields, "targets"));
    return RouteContent { std::move(requests), std::move(targets) };
}

Core::Result<std::optional<double>> parseChangeCost(Fields const& fields)
{
    Fields::const_iterator it = fields.find("change-cost");
    if (it == fields.end())
        return std::optional<double>();
    double seconds = 0;
    char const* end = it->second.data() + it->second.size();
    std::from_chars_result result = std::from_chars(it->second.data(), end, seconds, std::chars_format::fixed);
    if (result.ec != std::errc() || result.ptr != end || !std::isfinite(seconds) || std::signbit(seconds) || seconds > maximumChangeCostSeconds)
        return Core::fail(Core::ErrorCode::BadInput, "change-cost: read '" + it->second.substr(0, maximumNameLength) + "', allowed: seconds from 0 to 86400, such as 7.5");
    return std::optional<double>(seconds);
}

Core::Result<std::vector<WantedValue>> parseWanted(Fields const& fields)
{
    std::vector<WantedValue> wanted;
    for (std::pair<WantedField, std::string_view> const& entry : wantedFieldNames) {
        Fields::const_iterator it = fields.find(std::string(entry.second));
        if (it == fields.end())
            continue;
        std::string const& text = it->second;
        std::size_t minimumLength = entry.first == WantedField::Adapter ? 0 : 1;
        bool isPrintable = std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
        if (!isPrintable || text.size() < minimumLength || text.size() > maximumWantedLength)
            return Core::fail(Core::ErrorCode::BadInput, it->first + ": allowed: " + std::to_string(minimumLength) + " to 253 printable ASCII characters without spaces");
        wanted.push_back({ entry.first, text });
    }
    return wanted;
}

Core::Result<GroupContent> parseGroup(Fields const& fields)
{
    BOOST_OUTCOME_TRY(checkKeys(fields, groupKeys));
    BOOST_OUTCOME_TRY(Label::Selector targets, requireSelector(fields, "targets"));
    BOOST_OUTCOME_TRY(std::string roleText, require(fields, "roles"));
    Core::Result<RoleSet> roles = RoleSet::parse(roleText);
    if (!roles)
        return inField("roles", roles.error());
    BOOST_OUTCOME_TRY(std::optional<double> changeCost, parseChangeCost(fields));
    BOOST_OUTCOME_TRY(std::vector<WantedValue> wanted, parseWanted(fields));
    return GroupContent { std::move(targets), roles.value(), changeCost, std::move(wanted) };
}

// Digests are separated by commas. None of them is repeated in an error: a key may have been given in a digest's place.
Core::Result<std::vector<Access::KeyDigest>> parseKeyDigests(std::string const& text)
{
    std::vector<Access::KeyDigest> digests;
    std::string_view rest = text;
    while (!rest.empty()) {
        std::string_view piece = rest.substr(0, rest.find(','));
        rest.remove_prefix(std::min(rest.size(), piece.size() + 1));
        piece.remove_prefix(std::min(piece.size(), piece.find_first_not_of(' ')));
        piece = piece.substr(0, piece.find_last_not_of(' ') + 1);
        Core::Result<Access::KeyDigest> digest = Access::KeyDigest::parse(piece);
        if (!digest)
            return inField("key-digests", digest.error());
        if (digest.value() == Access::KeyDigest::of(""))
            return Core::fail(Core::ErrorCode::BadInput, "key-digests: read the digest of an empty key, allowed: those of keys of one character at least");
        if (std::find(digests.begin(), digests.end(), digest.value()) != digests.end())
            return Core::fail(Core::ErrorCode::BadInput, "key-digests: a digest is given twice");
        digests.push_back(digest.value());
    }
    return digests;
}

Core::Result<OrganisationContent> parseOrganisation(Fields const& fields)
{
    BOOST_OUTCOME_TRY(checkKeys(fields, organisationKeys));
    BOOST_OUTCOME_TRY(std::string digests, require(fields, "key-digests"));
    OrganisationContent content;
    BOOST_OUTCOME_TRY(content.keys, parseKeyDigests(digests));
    Fields::const_iterator priority = fields.find("priority");
    if (priority == fields.end())
        return content;
    bool isDigit = priority->second.size() == 1 && priority->second.front() >= '0' && priority->second.front() <= '9';
    if (!isDigit)
        return Core::fail(Core::ErrorCode::BadInput, "priority: read '" + priority->second.substr(0, maximumNameLength) + "', allowed: a digit from 0 (first) to 9 (last)");
    content.priority = priority->second.front() - '0';
    return content;
}

template <typename T>
Core::Result<Content> toContent(Core::Result<T> typed)
{
    if (!typed)
        return typed.error();
    return Core::Result<Content>(boost::outcome_v2::in_place_type<Content>, std::move(typed).value());
}

std::string printSeconds(double seconds)
{
    std::array<char, 64> buf {};
    std::to_chars_result result = std::to_chars(buf.data(), buf.data() + buf.size(), seconds, std::chars_format::fixed);
    return { buf.data(), result.ptr };
}

Fields print(TargetContent const& target) { return { { "labels", target.labels.toString() } }; }

Fields print(RequestRuleContent const& rule) { return { { "when", rule.when.toString() }, { "set", rule.set.toString() } }; }

Fields print(RouteContent const& route) { return { { "requests", route.requests.toString() }, { "targets", route.targets.toString() } }; }

Fields print(GroupContent const& group)
{
    Fields fields { { "targets", group.targets.toString() }, { "roles", group.roles.toString() } };
    if (group.changeCostSeconds)
        fields["change-cost"] = printSeconds(*group.changeCostSeconds);
    for (WantedValue const& wanted : group.wanted)
        fields[std::string(Core::nameOf(wantedFieldNames, wanted.field))] = wanted.value;
    return fields;
}

Fields print(OrganisationContent const& organisation)
{
    std::string digests;
    for (Access::KeyDigest const& key : organisation.keys)
        digests += (digests.empty() ? "" : ",") + key.toString();
    Fields fields { { "key-digests", std::move(digests) } };
    if (organisation.priority)
        fields["priority"] = std::to_string(*organisation.priority);
    return fields;
}

}

std::string const* GroupContent::find(WantedField field) const
{
    std::vector<WantedValue>::const_iterator it = std::find_if(wanted.begin(), wanted.end(), [field](WantedValue const& value) { return value.field == field; });
    return it == wanted.end() ? nullptr : &it->value;
}

bool isPlatformLabel(std::string_view key)
{
    return std::find(platformLabels.begin(), platformLabels.end(), key) != platformLabels.end();
}

Core::Result<void> checkName(std::string_view name)
{
    Label::LabelSet labels;
    if (name.empty() || name.size() > maximumNameLength || !labels.set("name", name) || labels.get("name") != name)
        return Core::fail(Core::ErrorCode::BadInput, "read name '" + std::string(name.substr(0, maximumNameLength)) + "', allowed: 1 to 63 letters, digits, '-', '_' and '.', the first and last a letter or digit");
    return Core::ok();
}

Core::Result<Content> parseContent(Kind kind, Fields const& fields)
{
    switch (kind) {
    case Kind::Target:
        return toContent(parseTarget(fields));
    case Kind::RequestRule:
        return toContent(parseRequestRule(fields));
    case Kind::Route:
        return toContent(parseRoute(fields));
    case Kind::Group:
        return toContent(parseGroup(fields));
    case Kind::Organisation:
        return toContent(parseOrganisation(fields));
    }
    return Core::fail(Core::ErrorCode::BadInput, "unknown kind");
}

Fields fieldsOf(Content const& content)
{
    return std::visit([](auto const& typed) { return print(typed); }, content);
}

Kind kindOf(Content const& content)
{
    return static_cast<Kind>(content.index());
}

}
