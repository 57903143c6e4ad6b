#pragma once

#include <LibLabel/LabelSet.h>
#include <cstdint>
#include <string>
#include <vector>

namespace Label {

/// What a requirement asks of a label. `a=b` is In with one value, `a!=b` NotIn with one.
enum class Operator : std::uint8_t { In,
    NotIn,
    Exists,
    DoesNotExist };

/// One term of a selector.
struct Requirement {
    std::string key;
    Operator op { Operator::Exists };
    std::vector<std::string> values; ///< Sorted, each once; empty for Exists and DoesNotExist.

    /// Returns whether `labels` meet the term. NotIn holds for an absent key, as in Kubernetes. Thread-safe.
    bool matches(LabelSet const& labels) const;

    /// Returns the term in selector syntax. Thread-safe.
    std::string toString() const;

    bool operator==(Requirement const&) const = default;
    auto operator<=>(Requirement const&) const = default;
};

}
