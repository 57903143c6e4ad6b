#include "SvgPlot.h"
#include <algorithm>
#include <functional>
#include <sstream>

namespace Measure {

namespace {

using Model::Figures;
using Model::Interval;

constexpr double left = 60;
constexpr double plotWidth = 900;
constexpr double panelHeight = 170;
constexpr double panelGap = 50;
constexpr std::size_t smoothed = 4; ///< Intervals that a point is the mean of.
constexpr char const* colors[] { "#4269d0", "#efb118", "#3ca951", "#ff725c", "#a463f2", "#97bbf5", "#9c6b4e", "#6cc5b0" };

// A panel with its axis: values from 0 to `most` over the intervals.
class Panel {
public:
    Panel(std::ostream& out, int index, std::string const& title, std::size_t count, double most)
        : m_out(out)
        , m_top(40 + index * (panelHeight + panelGap))
        , m_count(std::max<std::size_t>(count, 2))
        , m_most(most)
    {
        m_out << "<text x='" << left << "' y='" << m_top - 8 << "' font-weight='bold'>" << title << "</text>\n"
              << "<rect x='" << left << "' y='" << m_top << "' width='" << plotWidth << "' height='" << panelHeight << "' fill='none' stroke='#999'/>\n";
        for (double n : { 0.0, most / 2, most })
            m_out << "<text x='" << left - 6 << "' y='" << y(n) + 4 << "' text-anchor='end'>" << n << "</text>\n";
        for (std::size_t i = 0; i < m_count; i += std::max<std::size_t>(1, m_count / 10))
            m_out << "<text x='" << x(i) << "' y='" << m_top + panelHeight + 14 << "' text-anchor='middle'>" << static_cast<double>(i) * Figures::intervalSeconds << " s</text>\n";
    }

    void line(std::function<double(std::size_t)> const& value, char const* color)
    {
        m_out << "<polyline fill='none' stroke-width='1.5' stroke='" << color << "' points='";
        for (std::size_t i = 0; i < m_count; ++i)
            m_out << x(i) << ',' << y(value(i)) << ' ';
        m_out << "'/>\n";
    }

    void band(std::function<double(std::size_t)> const& low, std::function<double(std::size_t)> const& high, char const* color)
    {
        m_out << "<polygon stroke='none' fill='" << color << "' points='";
        for (std::size_t i = 0; i < m_count; ++i)
            m_out << x(i) << ',' << y(high(i)) << ' ';
        for (std::size_t i = m_count; i-- > 0;)
            m_out << x(i) << ',' << y(low(i)) << ' ';
        m_out << "'/>\n";
    }

    void key(int position, std::string const& name, char const* color)
    {
        double at = left + 170 + position * 130;
        m_out << "<rect x='" << at << "' y='" << m_top - 17 << "' width='10' height='10' fill='" << color << "'/><text x='" << at + 14 << "' y='" << m_top - 8 << "'>" << name << "</text>\n";
    }

private:
    double x(std::size_t i) const { return left + plotWidth * static_cast<double>(i) / static_cast<double>(m_count - 1); }
    double y(double n) const { return m_top + panelHeight * (1 - std::clamp(n / m_most, 0.0, 1.0)); }

    std::ostream& m_out;
    double m_top;
    std::size_t m_count;
    double m_most;
};

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
    Panel panel(out, 0, "requests a second", first.size(), most);
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
    Panel panel(out, 1, "long prompts, share", intervals.size(), 1);
    panel.line([&](std::size_t i) { return meanOf(intervals, i, longShare); }, colors[0]);
}

void drawRoles(std::ostream& out, int index, Row const& row)
{
    std::vector<Interval> const& intervals = row.figures.intervals;
    double engines = 1;
    for (Interval const& it : intervals)
        engines = std::max<double>(engines, it.roles[0] + it.roles[1] + it.roles[2]);
    Panel panel(out, index, "engines: " + row.roles, intervals.size(), engines);
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
    double height = 40 + (2 + static_cast<double>(changing.size())) * (panelHeight + panelGap);
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='1000' height='" << height << "' font-family='sans-serif' font-size='11'>\n"
        << "<rect width='100%' height='100%' fill='white'/>\n<text x='" << left << "' y='16' font-size='14'>" << rows.front().scenario << "</text>\n";
    drawGoodput(out, rows);
    drawMix(out, rows.front().figures.intervals);
    int index = 2;
    for (Row const* it : changing)
        drawRoles(out, index++, *it);
    out << "</svg>\n";
}

}
