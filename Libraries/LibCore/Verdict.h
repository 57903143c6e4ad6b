#pragma once

#include <LibCore/EnumNames.h>
#include <cstdint>
#include <string_view>

namespace Core {

/// What is known of a request's effect at its target. It is part of every error and every answer.
enum class Verdict : std::uint8_t {
    NotRun, ///< Certain: no target has run any part of the request. Sending it again is safe.
    MayHaveRun, ///< A target may have run the request, in part or in full.
    Ran, ///< A target ran the request and its whole answer is known.
};

inline constexpr EnumNames<Verdict, 3> verdictNames { {
    { Verdict::NotRun, "not-run" },
    { Verdict::MayHaveRun, "may-have-run" },
    { Verdict::Ran, "ran" },
} };

/// Returns the name used in headers, error bodies and logs. Thread-safe.
std::string_view toString(Verdict);

/// Returns the verdict on a whole request of which `first` and `second` are attempts: the one that
/// claims the larger effect. Thread-safe.
Verdict combine(Verdict first, Verdict second);

}
