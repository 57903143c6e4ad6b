#include "EngineNumbers.h"
#include "Panel.h"
#include <algorithm>
#include <array>
#include <iomanip>

namespace Measure {

namespace {

using Model::EngineDayFigures;

constexpr std::array<double, 3> enginePrices { 0.03, 0.07, 0.15 };

EngineDayFigures meanOf(Model::EngineDay const& day, Model::NamedSizeRule const& rule, std::uint64_t firstSeed, std::uint64_t seeds)
{
    EngineDayFigures mean;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        EngineDayFigures figures = Model::play(day, Roles::FleetSizer({}, rule.create(day)), seed);
        if (seed == firstSeed)
            mean.points = std::move(figures.points);
        mean.late += figures.late / static_cast<double>(seeds);
        mean.lost += figures.lost / static_cast<double>(seeds);
        mean.cost += figures.cost / static_cast<double>(seeds);
        mean.orders += figures.orders;
    }
    mean.orders /= seeds;
    return mean;
}

template <typename Point>
double mostOf(std::vector<Point> const& points)
{
    double most = 0;
    for (Point const& point : points)
        most = std::max({ most, point.demand, point.wanted, point.ordered, point.working });
    return most;
}

template <typename Point>
void drawPanel(std::ostream& out, int index, std::string const& title, std::vector<Point> const& points, double most)
{
    Panel panel(out, index, title, points.size(), 1, most);
    using Line = std::pair<std::string, double Point::*>;
    std::array<Line, 4> lines { Line { "demand", &Point::demand }, Line { "wanted", &Point::wanted }, Line { "ordered", &Point::ordered }, Line { "working", &Point::working } };
    for (std::size_t n = 0; n < lines.size(); ++n) {
        panel.line([&](std::size_t i) { return points[std::min(i, points.size() - 1)].*lines[n].second; }, colors[n]);
        panel.key(static_cast<int>(n), lines[n].first, colors[n]);
    }
}

}

std::vector<EngineNumbersRow> compareEngineNumbers(std::uint64_t firstSeed, std::uint64_t seeds)
{
    std::vector<EngineNumbersRow> rows;
    for (Model::EngineDay const& day : Model::engineDays()) {
        for (Model::NamedSizeRule const& rule : Model::sizeRules())
            rows.push_back({ day, rule.name, meanOf(day, rule, firstSeed, seeds) });
    }
    return rows;
}

void printEngineNumbers(std::ostream& out, std::vector<EngineNumbersRow> const& rows)
{
    out << std::left << std::setw(32) << "day" << std::setw(20) << "rule" << std::right << std::setw(7) << "late" << std::setw(7) << "lost" << std::setw(7) << "cost" << std::setw(8) << "orders";
    for (double price : enginePrices)
        out << "  worth at " << price;
    out << "\n"
        << std::fixed << std::setprecision(3);
    for (EngineNumbersRow const& it : rows) {
        out << std::left << std::setw(32) << it.day.name << std::setw(20) << it.rule << std::right << std::setw(7) << it.figures.late << std::setw(7) << it.figures.lost << std::setw(7) << it.figures.cost << std::setw(8) << it.figures.orders;
        for (double price : enginePrices)
            out << std::setw(15) << it.figures.value(price);
        out << "\n";
    }
}

void plotEngineNumbers(std::ostream& out, std::vector<EngineNumbersRow> const& rows, std::string const& day)
{
    std::vector<EngineNumbersRow const*> shown;
    double most = 1;
    for (EngineNumbersRow const& it : rows) {
        if (it.day.name != day)
            continue;
        shown.push_back(&it);
        most = std::max(most, mostOf(it.figures.points));
    }
    beginSvg(out, shown.size(), day);
    int index = 0;
    for (EngineNumbersRow const* row : shown)
        drawPanel(out, index++, row->rule, row->figures.points, most);
    out << "</svg>\n";
}

void plotEngineHistory(std::ostream& out, Operator::EngineHistory const& history, std::string const& service)
{
    std::vector<Operator::EngineHistory::Point> const& points = history.points();
    beginSvg(out, 1, service);
    drawPanel(out, 0, "engines", points, std::max(1.0, mostOf(points)));
    out << "</svg>\n";
}

}
