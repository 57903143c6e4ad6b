#pragma once

#include <LibOperator/Story.h>
#include <istream>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Operator {

/// How many engines of a service there were to be, and were, over time: what the log of one daemon says, or the logs of several in one.
/// Not thread-safe.
class EngineHistory {
public:
    explicit EngineHistory(std::string service)
        : m_service(std::move(service))
    {
    }

    /// One second of it.
    struct Point {
        double demand { 0 }; ///< Engines that requests keep busy, as the size went by it.
        double wanted { 0 };
        double ordered { 0 }; ///< In all zones, of both kinds, as the platform accepted.
        double working { 0 }; ///< That were listed and had a role.
    };

    /// Takes a log's lines in, by time. Lines that are no events, or of other services, are skipped.
    void read(std::istream&);

    /// Returns a point for each second from the first line that was taken to the last.
    std::vector<Point> const& points() const { return m_points; }

private:
    void take(LogLine const&);

    std::string m_service;
    std::vector<Point> m_points;
    std::string m_first; ///< Time of the first line.
    Point m_now;
    std::map<std::string, double> m_ordered; ///< By availability zone and kind.
    std::set<std::string> m_working;
};

}
