#pragma once

#include <LibCore/Result.h>
#include <LibLabel/LabelSet.h>
#include <LibLabel/Requirement.h>
#include <string>
#include <string_view>
#include <vector>

namespace Label {

/// A selector in Kubernetes' grammar:
///
///     selector    = requirement *("," requirement)
///     requirement = key | "!" key | key ("=" | "==" | "!=") value | key ("in" | "notin") "(" value *("," value) ")"
///
/// All requirements must hold. Unlike Kubernetes, an empty selector and an empty list of values are errors,
/// for nothing selected means nothing allowed. Immutable and thread-safe.
class Selector {
public:
    /// Parses `text`. Errors (BadInput): the position in bytes from 1, what was read, what is allowed. Thread-safe.
    static Core::Result<Selector> parse(std::string_view text);

    /// Returns whether `labels` meet every requirement. Thread-safe.
    bool matches(LabelSet const& labels) const;

    /// Returns the canonical text: requirements and values sorted, each once. `parse` reads it back. Thread-safe.
    std::string toString() const;

    /// Returns the requirements, sorted, each once; never empty. Thread-safe.
    std::vector<Requirement> const& requirements() const { return m_requirements; }

    bool operator==(Selector const&) const = default;

private:
    explicit Selector(std::vector<Requirement> requirements)
        : m_requirements(std::move(requirements))
    {
    }

    std::vector<Requirement> m_requirements;
};

}
