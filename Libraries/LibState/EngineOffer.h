#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace State {

/// What operators declare of the engines of a service that may be ordered.
struct EngineOffer {
    std::uint32_t leastPerZone { 0 }; ///< Of both kinds together, as the next.
    std::uint32_t mostPerZone { 0 };
    std::chrono::milliseconds bootTime { 0 }; ///< From an order until a new engine serves.
    std::optional<double> reclaimablePrice; ///< Of the price of a lasting one; nothing: there are none.
    std::map<std::string, double> zonePrices; ///< Of a lasting engine, by availability zone.

    bool operator==(EngineOffer const&) const = default;
};

}
