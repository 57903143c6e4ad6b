#include "FaultMatrix.h"
#include "Sources.h"
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>

namespace {

// Each run of white space as one space: a break may span lines.
std::string folded(std::string const& text)
{
    std::string result;
    for (char c : text) {
        bool isSpace = std::isspace(static_cast<unsigned char>(c)) != 0;
        if (!isSpace)
            result += c;
        else if (!result.empty() && result.back() != ' ')
            result += ' ';
    }
    return result;
}

}

TEST(FaultsPage, FollowsFromTheTables)
{
    std::string expected = Docs::faultsPage();
    if (std::getenv("CURRANTVALE_WRITE_DOCS"))
        std::ofstream(std::string(CURRANTVALE_SOURCE_DIR) + "/docs/FAULTS.md") << expected;
    EXPECT_TRUE(Docs::readFile("docs/FAULTS.md") == expected) << "run TestDocs with CURRANTVALE_WRITE_DOCS=1 and commit docs/FAULTS.md";
}

TEST(FaultsPage, EveryNamedTestExists)
{
    std::set<std::string> names = Docs::testNames();
    ASSERT_GT(names.size(), 50U);
    for (std::string const& path : Docs::filesBelow("docs/faults", ".tsv")) {
        std::size_t column = path.ends_with("-breaks.tsv") ? 4 : 2;
        for (std::vector<std::string> const& row : Docs::readTable(path)) {
            ASSERT_GT(row.size(), column) << path << ": " << row[0];
            bool isNamed = row[column] == "-" || names.contains(Docs::sourceName(row[column]));
            EXPECT_TRUE(isNamed) << path << ": " << row[column];
        }
    }
}

// A break that no longer fits its source would show nothing.
TEST(FaultsPage, EveryBreakFitsItsSource)
{
    for (std::string const& path : Docs::filesBelow("docs/faults", "-breaks.tsv")) {
        for (std::vector<std::string> const& row : Docs::readTable(path))
            EXPECT_NE(folded(Docs::readFile(row[1])).find(folded(row[2])), std::string::npos) << path << ": " << row[1] << ": " << row[2];
    }
}

TEST(FaultsPage, CellWithoutTestSaysWhy)
{
    for (std::string const& path : Docs::filesBelow("docs/faults", ".tsv")) {
        for (std::vector<std::string> const& row : Docs::readTable(path)) {
            ASSERT_GE(row.size(), 4U) << path << ": " << row[0];
            EXPECT_FALSE(row[3].empty()) << path << ": " << row[0];
        }
    }
}
