#include "Sources.h"
#include <LibCore/Event.h>
#include <gtest/gtest.h>

namespace {

std::set<std::string> rowsOfPage()
{
    std::set<std::string> rows;
    for (std::string const& line : Docs::readLines("docs/EVENTS.md")) {
        std::size_t second = line.find('|', 1);
        std::size_t third = second == std::string::npos ? second : line.find('|', second + 1);
        if (line.starts_with("| ") && third != std::string::npos && std::isdigit(static_cast<unsigned char>(line[2])) != 0)
            rows.insert(line.substr(0, third + 1));
    }
    return rows;
}

std::set<std::string> rowsOfCode()
{
    std::set<std::string> rows;
    for (std::pair<Core::Event, std::string_view> const& it : Core::eventNames)
        rows.insert("| " + std::to_string(static_cast<int>(it.first)) + " | " + std::string(it.second) + " |");
    return rows;
}

}

TEST(EventsPage, ListsEachEventOfTheCodeAndNoOther)
{
    EXPECT_EQ(rowsOfPage(), rowsOfCode());
}

TEST(EventsPage, EachEventIsLoggedSomewhere)
{
    std::string sources;
    for (std::string const& folder : { std::string("Libraries"), std::string("Services") }) {
        for (std::string const& path : Docs::filesBelow(folder, ".cpp"))
            sources += Docs::readFile(path);
    }
    std::vector<std::string> lines = Docs::readLines("Libraries/LibCore/Event.h");
    for (std::string const& line : lines) {
        std::size_t equals = line.find(" = ");
        if (!line.starts_with("    ") || equals == std::string::npos || !line.ends_with(","))
            continue;
        std::string name = line.substr(4, equals - 4);
        EXPECT_NE(sources.find("Event::" + name), std::string::npos) << name;
    }
}
