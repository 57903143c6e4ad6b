#include "FaultMatrix.h"
#include "Sources.h"
#include <map>
#include <set>

namespace Docs {

namespace {

constexpr std::string_view breaksEnding = "-breaks.tsv";

std::string titleOf(std::string const& path)
{
    std::size_t slash = path.rfind('/');
    return path.substr(slash + 1, path.rfind('.') - slash - 1);
}

std::string escaped(std::string const& text)
{
    std::string result;
    for (char c : text)
        result += c == '|' ? std::string("\\|") : std::string(1, c);
    return result;
}

void appendCells(std::string& page, std::string const& path, std::size_t& covered, std::size_t& impossible)
{
    page += "\n## Steps and faults: " + titleOf(path) + "\n\n| step | fault | test | promise, or why it cannot happen |\n|---|---|---|---|\n";
    for (std::vector<std::string> const& row : readTable(path)) {
        page += "| " + escaped(row[0]) + " | " + escaped(row.size() > 1 ? row[1] : "") + " | " + escaped(row.size() > 2 ? row[2] : "") + " | " + escaped(row.size() > 3 ? row[3] : "") + " |\n";
        if (row.size() > 2 && row[2] == "-")
            ++impossible;
        else
            ++covered;
    }
}

void appendBreaks(std::string& page, std::string const& path)
{
    std::string title = titleOf(path);
    page += "\n## Deliberate breaks: " + title.substr(0, title.size() - 7) + "\n\n| promise | file | code | broken | test that turns red |\n|---|---|---|---|---|\n";
    for (std::vector<std::string> const& row : readTable(path)) {
        page += "|";
        for (std::size_t n = 0; n < row.size(); ++n)
            page += n == 2 || n == 3 ? " `" + escaped(row[n]) + "` |" : " " + escaped(row[n]) + " |";
        page += "\n";
    }
}

}

std::string sourceName(std::string const& printedName)
{
    std::size_t dot = printedName.find('.');
    std::size_t prefix = printedName.rfind('/', dot);
    std::size_t begin = prefix == std::string::npos ? 0 : prefix + 1;
    std::size_t end = printedName.find('/', dot == std::string::npos ? 0 : dot);
    return printedName.substr(begin, end == std::string::npos ? end : end - begin);
}

std::string faultsPage()
{
    std::string cells;
    std::string breaks;
    std::size_t covered = 0;
    std::size_t impossible = 0;
    for (std::string const& path : filesBelow("docs/faults", ".tsv")) {
        if (path.ends_with(breaksEnding))
            appendBreaks(breaks, path);
        else
            appendCells(cells, path, covered, impossible);
    }
    std::string page = "# The fault matrix\n\nMade by `TestDocs` from the tables in docs/faults, and compared with them in CI; do not edit. Each cell names the\n"
                       "test that brings the fault about at that step, and the promise that it checks. A cell without a test says why it\n"
                       "cannot happen. The breaks at the end show that the tests can fail: each was made on a scratch\n"
                       "copy by the author of its part and turned its test red there; CI checks only that it still fits its source.\n\n";
    page += std::to_string(covered) + " cells have a test; " + std::to_string(impossible) + " cannot happen.\n";
    return page + cells + breaks;
}

}
