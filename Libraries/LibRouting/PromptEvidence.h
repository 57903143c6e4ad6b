#pragma once

#include <optional>

namespace Routing {

/// Returns the time at an average target that a prompt's measured time is compared with, in seconds; nothing where too much other work was
/// open there before it. Of that work, nobody knows how much was done: if none of it counted as done, busy targets would look faster than
/// they are, and draw more work. `averageSeconds` is the prompt's own time at an average target, `aheadSeconds` the time that the work
/// before it takes at this one, and `factor` this target's. Thread-safe. Precondition: the factor is positive.
inline std::optional<double> comparedPromptSeconds(double averageSeconds, double aheadSeconds, double factor)
{
    constexpr double littleAhead = 0.25;
    double ahead = aheadSeconds / factor;
    if (ahead > averageSeconds * littleAhead)
        return std::nullopt;
    return averageSeconds + ahead / 2;
}

}
