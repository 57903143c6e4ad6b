#pragma once

#include <LibAccess/KeyDigest.h>
#include <LibCore/Result.h>
#include <LibLabel/LabelSet.h>
#include <LibLabel/Selector.h>
#include <LibState/Kind.h>
#include <LibState/RoleSet.h>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace State {

/// Keys and values of one section of the operators' file.
using Fields = std::map<std::string, std::string>;

/// `target NAME`: operators' labels of one target.
struct TargetContent {
    Label::LabelSet labels;

    bool operator==(TargetContent const&) const = default;
};

/// `request-rule NAME`: requests that `when` matches get the labels `set`.
struct RequestRuleContent {
    Label::Selector when;
    Label::LabelSet set;

    bool operator==(RequestRuleContent const&) const = default;
};

/// `route NAME`: requests that `requests` matches may go to targets that `targets` matches.
struct RouteContent {
    Label::Selector requests;
    Label::Selector targets;

    bool operator==(RouteContent const&) const = default;
};

/// What a group may want its targets to serve.
enum class WantedField : std::uint8_t { Model,
    Adapter, ///< An empty value: no adapter.
    Version };

inline constexpr Core::EnumNames<WantedField, 3> wantedFieldNames { {
    { WantedField::Model, "model" },
    { WantedField::Adapter, "adapter" },
    { WantedField::Version, "version" },
} };

/// A field that a group gives.
struct WantedValue {
    WantedField field { WantedField::Model };
    std::string value;

    bool operator==(WantedValue const&) const = default;
};

/// `group NAME`: what targets that `targets` matches may be ordered to become.
struct GroupContent {
    Label::Selector targets;
    RoleSet roles;
    std::optional<double> changeCostSeconds; ///< What one role change counts for, in seconds out of service.
    std::vector<WantedValue> wanted; ///< In the order of `WantedField`; small, for every object pays for its size.

    /// Returns the value that the group gives to a field, or null. Thread-safe.
    std::string const* find(WantedField) const;

    bool operator==(GroupContent const&) const = default;
};

/// `organisation NAME`: whose requests come with a key that has one of `keys` as its digest. Never holds a key itself.
struct OrganisationContent {
    std::vector<Access::KeyDigest> keys; ///< None: the organisation's requests are refused.
    std::optional<int> priority; ///< Of its requests, in place of the label `priority`.

    bool operator==(OrganisationContent const&) const = default;
};

/// The typed content of an object; the alternatives stand in the order of `Kind`.
using Content = std::variant<TargetContent, RequestRuleContent, RouteContent, GroupContent, OrganisationContent>;

/// Labels that the platform alone gives: zone, region, kind, name, pool. Thread-safe.
bool isPlatformLabel(std::string_view key);

/// Checks an object's name: a label value that is not empty. Errors: BadInput. Thread-safe.
Core::Result<void> checkName(std::string_view name);

/// Checks and types the fields of an object. Errors (BadInput) name the key, what was read and what is
/// allowed. The tool calls it before it sends and the fold before it accepts. Thread-safe.
Core::Result<Content> parseContent(Kind, Fields const&);

/// Returns canonical fields that `parseContent` reads back to the same content. Thread-safe.
Fields fieldsOf(Content const&);

/// Returns the kind whose content this is. Thread-safe.
Kind kindOf(Content const&);

}
