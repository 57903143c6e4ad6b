#pragma once

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>

namespace Measure {

/// The colours of lines and bands, in turn.
inline constexpr char const* colors[] { "#4269d0", "#efb118", "#3ca951", "#ff725c", "#a463f2", "#97bbf5", "#9c6b4e", "#6cc5b0" };

/// One panel of a picture, with its axes: values from 0 to `most` over time.
class Panel {
public:
    static constexpr double left = 60;
    static constexpr double height = 170;
    static constexpr double gap = 50;

    /// Draws the empty panel. `index`: its place from above; `count`: how many values a line has; `secondsApart`: between two of them.
    Panel(std::ostream&, int index, std::string const& title, std::size_t count, double secondsApart, double most);

    void line(std::function<double(std::size_t)> const& value, char const* color);
    void band(std::function<double(std::size_t)> const& low, std::function<double(std::size_t)> const& high, char const* color);

    /// Draws what a colour stands for, at a place from the left.
    void key(int position, std::string const& name, char const* color);

private:
    double x(std::size_t i) const;
    double y(double n) const;

    std::ostream& m_out;
    double m_top;
    std::size_t m_count;
    double m_most;
};

/// Writes the beginning of a picture of so many panels, with a heading.
void beginSvg(std::ostream&, std::size_t panels, std::string const& heading);

}
