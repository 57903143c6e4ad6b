#pragma once

#include <LibModel/Workload.h>
#include <LibRoles/RoleSet.h>
#include <optional>
#include <string>
#include <vector>

namespace Model {

/// The two users of the brief.
enum class User : std::uint8_t {
    Pensions,
    Trikotwerk,
};

inline constexpr Core::EnumNames<User, 2> userNames { {
    { User::Pensions, "pensions" },
    { User::Trikotwerk, "trikotwerk" },
} };

/// One situation to measure.
struct Scenario {
    std::string name;
    std::string description;
    User user { User::Pensions };
    WorkloadSettings workload;
    EngineSettings engine;
    std::uint32_t zones { 3 };
    double reportLagSeconds { 0.5 };
    double changeCostSeconds { 0 }; ///< The operator's label `change-cost`.
    std::optional<double> engineLostAt; ///< Seconds; the last engine, which decodes in most splits.
    std::optional<double> zoneLostAt; ///< Seconds; zone 0, its entries too.
};

/// Every scenario, each user's in turn. The same list each time.
std::vector<Scenario> allScenarios();

}
