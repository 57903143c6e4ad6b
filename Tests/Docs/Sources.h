#pragma once

#include <set>
#include <string>
#include <vector>

namespace Docs {

/// Returns a file of the repository, by its path from the root; empty when it cannot be read.
std::string readFile(std::string const& path);

/// Returns a file's lines.
std::vector<std::string> readLines(std::string const& path);

/// Returns the cells of each line of a tab-separated file but its first.
std::vector<std::vector<std::string>> readTable(std::string const& path);

/// Returns the files below a folder of the repository whose names end so, sorted, as paths from the root.
std::vector<std::string> filesBelow(std::string const& folder, std::string const& ending);

/// Returns `Suite.Name` of each test in the sources under Tests.
std::set<std::string> testNames();

}
