#pragma once

#include "Comparison.h"
#include <ostream>

namespace Measure {

/// Writes a picture of the rows of one scenario: goodput of each over time, then the mix, then the serving
/// engines in each role of the last row. Precondition: the rows are of one scenario, and there is one.
void writeSvg(std::ostream&, std::vector<Row> const&);

}
