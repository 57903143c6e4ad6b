#pragma once

#include <LibRouting/DemandMeter.h>
#include <LibRouting/SpeedBook.h>
#include <optional>
#include <string>

namespace Routing {

/// A daemon's report to its peers about one service: the demand of its requests and the learned speed of the engines.
struct ServiceReport {
    std::string service;
    EngineDemand demand;
    ServiceSpeed speed;
    std::optional<double> promptLoad {}; ///< Average targets that its prompts keep busy, as sent; empty: not measured.

    bool operator==(ServiceReport const&) const = default;
};

}
