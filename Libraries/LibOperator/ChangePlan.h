#pragma once

#include <LibCore/Result.h>
#include <LibOperator/Messages.h>
#include <LibState/ConfigFile.h>
#include <LibState/Difference.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Operator {

/// The label by which operators take a target out of use.
inline constexpr std::string_view drainLabel = "drain";

/// How a file is to be applied.
struct ApplyOptions {
    bool prune { false }; ///< Delete the objects that the file does not have.
    std::optional<std::uint64_t> base; ///< The offset of the configuration that the file was made from.
};

/// A change worked out against one configuration, not yet sent.
struct ChangePlan {
    std::uint64_t readNext { 0 }; ///< The offset of the configuration that it was worked out against.
    std::vector<State::Difference> differences; ///< All, also those that the edits leave alone.
    std::vector<State::Edit> edits;
    std::vector<std::string> notes; ///< Sentences for the operator.
};

/// Plans `apply`. The drain label of a target belongs to `drain` and `undrain`: a file that does not mention it
/// keeps it, and says so in a note. Errors: Conflict when an object was changed after `base`, naming the
/// revision that won; Internal when the document can't be read. Thread-safe.
Core::Result<ChangePlan> planApply(State::ConfigFile const&, ConfigDocument const&, ApplyOptions const&);

/// Plans `drain`: no edits when it is drained already. Errors: BadInput (the name). Thread-safe.
Core::Result<ChangePlan> planDrain(ConfigDocument const&, std::string const& target);

/// Plans `undrain`: no edits when it is not drained. Errors: BadInput (the name). Thread-safe.
Core::Result<ChangePlan> planUndrain(ConfigDocument const&, std::string const& target);

/// Plans `delete`. Errors: NotFound. Thread-safe.
Core::Result<ChangePlan> planDelete(ConfigDocument const&, State::ObjectKey const&);

/// Returns the offset in the line `; currantctl base N` that `get` writes above its output, or nothing. Thread-safe.
std::optional<std::uint64_t> baseOf(std::string_view fileText);

}
