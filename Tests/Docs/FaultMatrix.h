#pragma once

#include <string>

namespace Docs {

/// Returns docs/FAULTS.md as it follows from the tables in docs/faults: `*-breaks.tsv` with the deliberate breaks
/// (promise, file, code, broken code, test) and all others with the cells (step, fault, test, promise or reason).
std::string faultsPage();

/// Returns the part of a test's printed name that stands in the sources: `Prefix/Suite.Name/case` gives `Suite.Name`.
std::string sourceName(std::string const& printedName);

}
