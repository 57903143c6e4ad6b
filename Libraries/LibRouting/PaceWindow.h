#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace Routing {

/// Ranges of open requests within which a target's times are taken for alike. Names a range by its least number of requests.
inline constexpr std::array<std::uint32_t, 17> openRanges { 0, 1, 2, 3, 4, 5, 6, 7, 8, 12, 16, 24, 32, 48, 64, 96, 128 };

/// Returns the index in `openRanges` of the range that a number of open requests is in. Thread-safe.
std::size_t openRangeOf(std::uint32_t open);

/// How much longer each range of open requests takes than the first one; by index in `openRanges`.
using LoadCurve = std::array<double, openRanges.size()>;

/// Returns the value below which a part of the weight lies; empty without weight. Sorts its argument. Thread-safe.
std::optional<double> weightedQuantile(std::span<std::pair<double, double>> valuesAndWeights, double part);

/// The recent answers of one target for one kind of work, by time and by open requests. Quantiles over time, so that half a second of
/// slowness among several seconds changes nothing. Not thread-safe.
class PaceWindow {
public:
    /// Adds answers. `slot` numbers half seconds, `range` is an index into `openRanges`.
    void add(std::int64_t slot, std::size_t range, std::uint32_t answers, double expectedSeconds, double seconds);

    /// Sets the number of the half second that now is in, and removes what is older than the window.
    void setCurrentSlot(std::int64_t currentSlot);

    bool isEmpty() const { return m_cells.empty(); }

    /// Returns the usual ratios of measured to expected time by range; empty in ranges with too little evidence.
    std::array<std::optional<double>, openRanges.size()> ratios() const;

    struct Estimate {
        double ratio { 1 };
        double answers { 0 };
    };

    /// Returns the usual ratio with the load taken out, over the newest answers that suffice for it. Of a target that has a knee, only
    /// answers up to it count.
    Estimate estimate(LoadCurve const&, std::optional<std::uint32_t> knee) const;

    /// Returns the number of open requests at which a target serves best: beyond it, time grows faster than what is served
    /// (Kleinrock's power, requests over the square of their time). Empty if no such number has been seen.
    std::optional<std::uint32_t> bestOpen() const;

    /// Whether lately answers at so many open requests or more took hardly longer than those at few.
    bool isWellAt(std::uint32_t open) const;

    /// The greatest number of open requests with answers in the window.
    std::uint32_t greatestOpen() const;

private:
    struct Cell {
        std::int64_t slot { 0 };
        std::uint32_t range { 0 };
        std::uint32_t answers { 0 };
        double expectedSeconds { 0 };
        double seconds { 0 };

        double ratio() const { return seconds / expectedSeconds; }
    };

    std::vector<Cell> m_cells; ///< Oldest slot first.
    std::int64_t m_currentSlot { 0 };
};

}
