#include <LibSettings/DaemonSettings.h>
#include <fstream>
#include <gtest/gtest.h>
#include <set>
#include <sstream>

namespace {

constexpr std::string_view allowedMark = " Allowed: ";

/// The keys that have no default, as a file.
constexpr std::string_view requiredOnly = "[daemon]\nname = entry-1\navailability_zone = a\nregion = b\n[callers]\nlisten = 127.0.0.1:1\n"
                                          "[operators]\nlisten = 127.0.0.1:2\ntoken = 0123456789abcdef\n[peers]\nlisten = 127.0.0.1:3\n"
                                          "[platform]\nlog = 127.0.0.1:4\nvms = 127.0.0.1:5\n";

std::vector<std::string> linesOf(std::string const& text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

/// `[section] | row` of each key, from what the program prints of a file that has the required keys only.
std::set<std::string> expectedRows()
{
    std::set<std::string> rows;
    std::string section;
    std::string comment;
    for (std::string const& line : linesOf(Settings::DaemonSettings::parse(requiredOnly, "f").value().print())) {
        std::size_t mark = line.find(allowedMark);
        if (line.starts_with('[')) {
            section = line;
        } else if (mark != std::string::npos) {
            std::string allowed = line.substr(mark + allowedMark.size());
            allowed.pop_back();
            comment = allowed + " | " + line.substr(2, mark - 2);
        } else if (line.find('=') != std::string::npos) {
            std::string assignment = line.substr(line.starts_with("# ") ? 2 : 0);
            std::string key = assignment.substr(0, assignment.find(" ="));
            bool isRequired = requiredOnly.find("\n" + key + " = ", requiredOnly.find(section)) < requiredOnly.find("\n[", requiredOnly.find(section));
            std::string value = isRequired ? "required" : "`" + assignment.substr(assignment.find("= ") + 2) + "`";
            std::string row = section;
            row.append(" | `").append(key).append("` | ").append(value).append(" | ").append(comment).append(" |");
            rows.insert(std::move(row));
        }
    }
    return rows;
}

std::set<std::string> rowsOfPage()
{
    std::ifstream file(CURRANTVALE_SOURCE_DIR "/docs/operators/settings.md");
    std::stringstream text;
    text << file.rdbuf();
    std::set<std::string> rows;
    std::string section;
    for (std::string const& line : linesOf(text.str())) {
        if (line.starts_with("## "))
            section = line.substr(3);
        else if (line.starts_with("| `"))
            rows.insert(std::string(section).append(" ").append(line));
    }
    return rows;
}

}

TEST(SettingsPage, SaysWhatTheProgramSays)
{
    std::set<std::string> expected = expectedRows();
    std::set<std::string> page = rowsOfPage();
    EXPECT_GT(expected.size(), 20U);
    for (std::string const& it : expected)
        EXPECT_TRUE(page.contains(it)) << "docs/operators/settings.md lacks: " << it;
    for (std::string const& it : page)
        EXPECT_TRUE(expected.contains(it)) << "docs/operators/settings.md has, and the program has not: " << it;
}
