#pragma once

#include <LibCore/Result.h>
#include <LibLabel/LabelSet.h>
#include <LibLabel/Selector.h>
#include <LibState/Kind.h>
#include <LibState/RoleSet.h>
#include <map>
#include <optional>
#include <string>
#include <variant>

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

/// `group NAME`: what targets that `targets` matches may be ordered to become.
struct GroupContent {
    Label::Selector targets;
    RoleSet roles;
    std::optional<double> changeCostSeconds; ///< What one role change counts for, in seconds out of service.
    std::optional<std::string> model;
    std::optional<std::string> adapter; ///< Empty: no adapter.
    std::optional<std::string> version;

    bool operator==(GroupContent const&) const = default;
};

/// The typed content of an object; the alternatives stand in the order of `Kind`.
using Content = std::variant<TargetContent, RequestRuleContent, RouteContent, GroupContent>;

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
