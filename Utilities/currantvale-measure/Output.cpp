#include "Output.h"
#include <boost/json.hpp>
#include <cstdio>

namespace Measure {

namespace {

struct Column {
    char const* name;
    int width;
    int digits;
    double Row::* number;
};

constexpr Column columns[] {
    { "goodput", 8, 3, &Row::goodput },
    { "sd", 6, 3, &Row::goodputDeviation },
    { "good", 6, 3, &Row::goodShare },
    { "late", 6, 3, &Row::lateShare },
    { "slow", 6, 3, &Row::slowShare },
    { "shed", 6, 3, &Row::shedShare },
    { "lost", 6, 3, &Row::lostShare },
    { "changes", 7, 1, &Row::roleChanges },
    { "oracle", 7, 3, &Row::oracleShare },
    { "value", 7, 3, &Row::value },
    { "urgent", 6, 3, &Row::urgentShare },
    { "defer", 6, 3, &Row::deferrableShare },
    { "others", 6, 3, &Row::otherShare },
    { "retries", 7, 3, &Row::retryShare },
    { "cached", 6, 3, &Row::cachedShare },
    { "notes", 6, 1, &Row::notesPerSecond },
};

std::string formatNumber(double n, int width, int digits)
{
    char buf[64];
    std::snprintf(buf, sizeof(buf), "%*.*f", width, digits, n);
    return buf;
}

std::string padded(std::string text, std::size_t width)
{
    text.resize(std::max(width, text.size()), ' ');
    return text;
}

void printTable(std::ostream& out, std::vector<Row> const& rows)
{
    out << padded("scenario", 23) << padded("routing", 17) << padded("roles", 11);
    for (Column const& it : columns) {
        std::string name = it.name;
        out << ' ' << std::string(static_cast<std::size_t>(it.width) - name.size(), ' ') << name;
    }
    out << '\n';
    std::string scenario;
    for (Row const& row : rows) {
        if (!scenario.empty() && scenario != row.scenario)
            out << '\n';
        scenario = row.scenario;
        out << padded(row.scenario, 23) << padded(row.routing, 17) << padded(row.roles, 11);
        for (Column const& it : columns)
            out << ' ' << formatNumber(row.*it.number, it.width, it.digits);
        out << "  " << row.detail << '\n';
    }
}

void printCsv(std::ostream& out, std::vector<Row> const& rows)
{
    out << "scenario,routing,roles";
    for (Column const& it : columns)
        out << ',' << it.name;
    out << ",detail\n";
    for (Row const& row : rows) {
        out << row.scenario << ',' << row.routing << ',' << row.roles;
        for (Column const& it : columns)
            out << ',' << formatNumber(row.*it.number, 0, it.digits + 2);
        out << ',' << row.detail << '\n';
    }
}

void printJson(std::ostream& out, std::vector<Row> const& rows)
{
    boost::json::array list;
    for (Row const& row : rows) {
        boost::json::object object { { "scenario", row.scenario }, { "routing", row.routing }, { "roles", row.roles }, { "detail", row.detail } };
        for (Column const& it : columns)
            object[it.name] = row.*it.number;
        list.push_back(std::move(object));
    }
    out << boost::json::serialize(list) << '\n';
}

}

void print(std::ostream& out, std::vector<Row> const& rows, Format format)
{
    switch (format) {
    case Format::Table:
        return printTable(out, rows);
    case Format::Csv:
        return printCsv(out, rows);
    case Format::Json:
        return printJson(out, rows);
    }
}

}
