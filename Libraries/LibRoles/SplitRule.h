#pragma once

#include <LibCore/BootClock.h>
#include <LibRoles/FleetView.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace Roles {

/// What a split of engines into prefill and decode is kept to.
struct SplitSettings {
    /// The part of the engines that decodes. Outputs take less of an engine than prompts do where both are long:
    /// docs/design/platform.md has the arithmetic and the trials.
    double decodeShare { 0.22 };
    std::uint32_t leastDecode { 2 }; ///< The loss of one leaves one.
    std::uint32_t leastPrefill { 1 };
    /// Before the first plan, the list of engines must not have changed for this long: they list themselves one by one.
    std::chrono::milliseconds settle { 600 };
    /// A side that is short must stay so for this long: engines often come back within seconds, and a change takes
    /// its engine out of service for as long.
    std::chrono::milliseconds patience { 2'500 };
    /// A side without any engine ends all work, so it is filled sooner.
    std::chrono::milliseconds emptyPatience { 400 };
};

/// Keeps a fleet of engines, each either prefill or decode, at a wanted number of engines that decode: at once when the
/// fleet is first seen, later only when a side stays short. Few changes in all, none on noise.
/// Pure and not thread-safe.
class SplitRule {
public:
    using Time = Core::BootClock::time_point;

    explicit SplitRule(SplitSettings const& settings = {})
        : m_settings(settings)
    {
    }

    /// Returns the changes to order now. Engines that are changing count in the role ordered; those that are down do
    /// not count. Only engines that serve and whose allowed roles contain the new one are changed.
    std::vector<RoleChange> plan(std::vector<EngineView> const&, Time now);

    /// Returns how many of `engines` are to decode.
    std::uint32_t wantedDecode(std::size_t engines) const;

private:
    bool isDue(std::vector<EngineView> const&, std::uint32_t prefill, std::uint32_t decode, std::uint32_t wanted, Time now);

    SplitSettings m_settings;
    std::size_t m_engines { 0 };
    std::optional<Time> m_changedAt; ///< When the number of engines last changed.
    std::optional<Time> m_shortSince; ///< Since when the split has not been as wanted.
    bool m_hasPlanned { false };
};

}
