#include "Sources.h"
#include <algorithm>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

namespace Docs {

namespace {

std::filesystem::path const root = CURRANTVALE_SOURCE_DIR;

}

std::string readFile(std::string const& path)
{
    std::ifstream file(root / path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::vector<std::string> readLines(std::string const& path)
{
    std::vector<std::string> lines;
    std::istringstream stream(readFile(path));
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

std::vector<std::vector<std::string>> readTable(std::string const& path)
{
    std::vector<std::vector<std::string>> table;
    std::vector<std::string> lines = readLines(path);
    for (std::size_t n = 1; n < lines.size(); ++n) {
        std::vector<std::string> cells;
        std::istringstream stream(lines[n]);
        for (std::string cell; std::getline(stream, cell, '\t');)
            cells.push_back(cell);
        if (!cells.empty())
            table.push_back(std::move(cells));
    }
    return table;
}

std::vector<std::string> filesBelow(std::string const& folder, std::string const& ending)
{
    std::vector<std::string> files;
    for (std::filesystem::directory_entry const& entry : std::filesystem::recursive_directory_iterator(root / folder)) {
        std::string path = std::filesystem::relative(entry.path(), root).string();
        if (entry.is_regular_file() && path.ends_with(ending))
            files.push_back(path);
    }
    std::sort(files.begin(), files.end());
    return files;
}

std::set<std::string> testNames()
{
    std::regex const pattern(R"((?:TEST|TEST_F|TEST_P|TYPED_TEST|RC_GTEST_PROP|RC_GTEST_FIXTURE_PROP)\(\s*(\w+),\s*(\w+))");
    std::set<std::string> names;
    for (std::string const& path : filesBelow("Tests", ".cpp")) {
        std::string text = readFile(path);
        for (std::sregex_iterator it(text.begin(), text.end(), pattern); it != std::sregex_iterator(); ++it)
            names.insert((*it)[1].str() + "." + (*it)[2].str());
    }
    return names;
}

}
