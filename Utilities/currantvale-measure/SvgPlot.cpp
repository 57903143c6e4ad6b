#include "SvgPlot.h"
#include "Panel.h"
#include <algorithm>
#include <functional>

namespace Measure {

namespace {

using Model::Figures;
using Model::Interval;

constexpr std::size_t smoothed = 4; ///< Intervals that a point is the mean of.

double meanOf(std::vector<Interval> const& intervals, std::size_t i, std::function<double(Interval const&)> const& value)
{
    std::size_t first = i + 1 >= smoothed ? i + 1 - smoothed : 0;
    double sum = 0;
    for (std::size_t n = first; n <= i; ++n)
        sum += value(intervals[n]);
    return sum / static_cast<double>(i + 1 - first);
}

double offeredRate(Interval const& it) { return it.offered / Figures::intervalSeconds; }
double goodRate(Interval const& it) { return it.good / Figures::intervalSeconds; }
double longShare(Interval const& it) { return it.offered ? static_cast<double>(it.longPrompts) / it.offered : 0; }

void drawGoodput(std::ostream& out, std::vector<Row> const& rows)
{
    std::vector<Interval> const& first = rows.front().figures.intervals;
    double most = 1;
    for (std::size_t i = 0; i < first.size(); ++i)
        most = std::max(most, meanOf(first, i, offeredRate));
    Panel panel(out, 0, "requests a second", first.size(), Figures::intervalSeconds, most);
    panel.line([&](std::size_t i) { return meanOf(first, i, offeredRate); }, "#bbb");
    panel.key(0, "offered", "#bbb");
    for (std::size_t n = 0; n < rows.size(); ++n) {
        std::vector<Interval> const& intervals = rows[n].figures.intervals;
        char const* color = colors[n % std::size(colors)];
        panel.line([&](std::size_t i) { return meanOf(intervals, i, goodRate); }, color);
        bool isRouting = rows.front().routing != rows.back().routing;
        panel.key(static_cast<int>(n) + 1, isRouting ? rows[n].routing : rows[n].roles, color);
    }
}

void drawMix(std::ostream& out, std::vector<Interval> const& intervals)
{
    Panel panel(out, 1, "long prompts, share", intervals.size(), Figures::intervalSeconds, 1);
    panel.line([&](std::size_t i) { return meanOf(intervals, i, longShare); }, colors[0]);
}

void drawRoles(std::ostream& out, int index, Row const& row)
{
    std::vector<Interval> const& intervals = row.figures.intervals;
    double engines = 1;
    for (Interval const& it : intervals)
        engines = std::max<double>(engines, it.roles[0] + it.roles[1] + it.roles[2]);
    Panel panel(out, index, "engines: " + row.roles, intervals.size(), Figures::intervalSeconds, engines);
    auto upTo = [&](std::size_t i, std::size_t roles) {
        double sum = 0;
        for (std::size_t n = 0; n < roles; ++n)
            sum += intervals[i].roles[n];
        return sum;
    };
    for (std::size_t role = 0; role < Routing::targetRoleNames.size(); ++role) {
        panel.band([&](std::size_t i) { return upTo(i, role); }, [&](std::size_t i) { return upTo(i, role + 1); }, colors[role]);
        panel.key(static_cast<int>(role) + 1, std::string(Routing::targetRoleNames[role].second), colors[role]);
    }
}

}

void writeSvg(std::ostream& out, std::vector<Row> const& rows)
{
    // Rows whose roles never change have no panel of their own.
    std::vector<Row const*> changing;
    for (Row const& it : rows) {
        if (it.figures.roleChanges > 0)
            changing.push_back(&it);
    }
    beginSvg(out, 2 + changing.size(), rows.front().scenario);
    drawGoodput(out, rows);
    drawMix(out, rows.front().figures.intervals);
    int index = 2;
    for (Row const* it : changing)
        drawRoles(out, index++, *it);
    out << "</svg>\n";
}

}
