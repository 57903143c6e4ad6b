#pragma once

#include "Comparison.h"
#include <ostream>

namespace Measure {

/// Forms in which rows are printed.
enum class Format : std::uint8_t {
    Table,
    Csv,
    Json,
};

inline constexpr Core::EnumNames<Format, 3> formatNames { {
    { Format::Table, "table" },
    { Format::Csv, "csv" },
    { Format::Json, "json" },
} };

/// Prints the rows.
void print(std::ostream&, std::vector<Row> const&, Format);

}
