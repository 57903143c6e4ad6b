#include <LibOperator/EngineHistory.h>
#include <cstdlib>
#include <numeric>

namespace Operator {

namespace {

constexpr std::string_view noRole = "-";

double numberOf(LogLine const& line, std::string_view field)
{
    return std::strtod(std::string(line.field(field)).c_str(), nullptr);
}

}

void EngineHistory::read(std::istream& log)
{
    for (std::string text; std::getline(log, text);) {
        Core::Result<LogLine> line = parseLogLine(text, std::string());
        if (line.has_value())
            take(line.value());
    }
}

void EngineHistory::take(LogLine const& line)
{
    bool isOther = !line.field("pool").empty() && line.field("pool") != m_service;
    if (isOther)
        return;
    if (line.event == "engines-wanted") {
        m_now.demand = numberOf(line, "demand");
        m_now.wanted = numberOf(line, "wanted");
    } else if (line.event == "engines-ordered" && line.field("answer") == "accepted") {
        m_ordered[std::string(line.field("availability_zone")) + " " + std::string(line.field("kind"))] = numberOf(line, "count");
        m_now.ordered = std::accumulate(m_ordered.begin(), m_ordered.end(), 0.0, [](double sum, std::pair<std::string const, double> const& it) { return sum + it.second; });
    } else if (line.event == "target-added") {
        bool works = line.field("role") != noRole && line.field("leaving") == "no";
        if (works)
            m_working.emplace(line.field("target"));
        else
            m_working.erase(std::string(line.field("target")));
    } else if (line.event == "target-removed") {
        m_working.erase(std::string(line.field("target")));
    } else {
        return;
    }
    if (m_first.empty())
        m_first = line.time;
    m_now.working = static_cast<double>(m_working.size());
    int second = secondsBetween(m_first, line.time);
    if (second < 0)
        return;
    std::size_t count = static_cast<std::size_t>(second) + 1;
    if (count > m_points.size())
        m_points.resize(count, m_points.empty() ? m_now : m_points.back());
    m_points.back() = m_now;
}

}
