#include "Panel.h"
#include <algorithm>

namespace Measure {

namespace {

constexpr double plotWidth = 900;
constexpr double headingHeight = 40;

}

Panel::Panel(std::ostream& out, int index, std::string const& title, std::size_t count, double secondsApart, double most)
    : m_out(out)
    , m_top(headingHeight + index * (height + gap))
    , m_count(std::max<std::size_t>(count, 2))
    , m_most(most)
{
    m_out << "<text x='" << left << "' y='" << m_top - 8 << "' font-weight='bold'>" << title << "</text>\n"
          << "<rect x='" << left << "' y='" << m_top << "' width='" << plotWidth << "' height='" << height << "' fill='none' stroke='#999'/>\n";
    for (double n : { 0.0, most / 2, most })
        m_out << "<text x='" << left - 6 << "' y='" << y(n) + 4 << "' text-anchor='end'>" << n << "</text>\n";
    for (std::size_t i = 0; i < m_count; i += std::max<std::size_t>(1, m_count / 10))
        m_out << "<text x='" << x(i) << "' y='" << m_top + height + 14 << "' text-anchor='middle'>" << static_cast<double>(i) * secondsApart << " s</text>\n";
}

void Panel::line(std::function<double(std::size_t)> const& value, char const* color)
{
    m_out << "<polyline fill='none' stroke-width='1.5' stroke='" << color << "' points='";
    for (std::size_t i = 0; i < m_count; ++i)
        m_out << x(i) << ',' << y(value(i)) << ' ';
    m_out << "'/>\n";
}

void Panel::band(std::function<double(std::size_t)> const& low, std::function<double(std::size_t)> const& high, char const* color)
{
    m_out << "<polygon stroke='none' fill='" << color << "' points='";
    for (std::size_t i = 0; i < m_count; ++i)
        m_out << x(i) << ',' << y(high(i)) << ' ';
    for (std::size_t i = m_count; i-- > 0;)
        m_out << x(i) << ',' << y(low(i)) << ' ';
    m_out << "'/>\n";
}

void Panel::key(int position, std::string const& name, char const* color)
{
    double at = left + 170 + position * 130;
    m_out << "<rect x='" << at << "' y='" << m_top - 17 << "' width='10' height='10' fill='" << color << "'/><text x='" << at + 14 << "' y='" << m_top - 8 << "'>" << name << "</text>\n";
}

double Panel::x(std::size_t i) const
{
    return left + plotWidth * static_cast<double>(i) / static_cast<double>(m_count - 1);
}

double Panel::y(double n) const
{
    return m_top + height * (1 - std::clamp(n / m_most, 0.0, 1.0));
}

void beginSvg(std::ostream& out, std::size_t panels, std::string const& heading)
{
    double height = headingHeight + static_cast<double>(panels) * (Panel::height + Panel::gap);
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='1000' height='" << height << "' font-family='sans-serif' font-size='11'>\n"
        << "<rect width='100%' height='100%' fill='white'/>\n<text x='" << Panel::left << "' y='16' font-size='14'>" << heading << "</text>\n";
}

}
