#pragma once

#include <LibRouting/DemandMeter.h>
#include <LibRouting/SpeedBook.h>
#include <string>

namespace Routing {

/// A daemon's report to its peers about one service: the demand of its requests and the learned speed of the engines.
struct ServiceReport {
    std::string service;
    EngineDemand demand;
    ServiceSpeed speed;
    double promptLoad { 0 }; ///< Average targets that its prompts keep busy, as sent.

    bool operator==(ServiceReport const&) const = default;
};

}
