#pragma once

#include <LibCore/BootClock.h>
#include <LibRoles/FleetView.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Roles {

/// Demand on all engines of a service, as the number of engines that it would keep fully busy.
struct SplitDemand {
    double prompts { 0 };
    double outputs { 0 }; ///< By batch slots or by memory, whichever needs more engines.
    bool isKnown { false }; ///< Whether requests and their processing times have been observed.
    double openOutputs { 0 }; ///< Outputs that are generated at once.
};

/// Limits and delays for splitting engines into prefill and decode.
struct SplitSettings {
    /// Share of the engines that decode until the demand is known. Not fitted to any mix, since the first known demand replaces
    /// it within seconds.
    double decodeShare { 0.25 };
    /// Prompts are processed one after another while outputs run concurrently, so prefill needs this much more capacity for the
    /// same delay: at a utilisation of 0.7 a prompt waits as long as it is processed, and 25 % more capacity halves that.
    double promptHeadroom { 1.25 };
    /// Engines change only if that lowers the utilisation of the busier side by at least this share: smaller improvements are
    /// within the estimation error, and a change takes an engine out of service for seconds.
    double minImprovement { 0.12 };
    /// A change that follows the demand moves at most this share of the engines, but at least one, and the next waits until its
    /// effect is visible: this dampens the response to an oscillating mix.
    double maxMovedShare { 0.1 };
    /// Once the split has followed the demand, it changes only when the utilisation of a side reaches this value. An engine with
    /// long outputs needs about ten seconds to drain and change, and a fluctuating mix may have reverted by then.
    double pressureThreshold { 0.9 };
    /// Whether fast engines take the role in which requests spend more of their time, by the known demand. Otherwise they decode.
    bool putsFastWhereLongest { false };
    std::uint32_t leastDecode { 2 }; ///< One remains if one fails. Also met after the loss of a failure domain.
    std::uint32_t leastPrefill { 1 };
    /// The number of listed engines must be stable this long before the first plan, since engines register one by one.
    std::chrono::milliseconds stabilisationTime { 600 };
    /// A shortage on one side must last this long before engines change: lost engines often return within seconds, and a change
    /// takes an engine out of service for just as long.
    std::chrono::milliseconds patience { 2'500 };
    /// The same for the first known demand, which replaces an assumed one. Engines with batches that are still filling up produce
    /// each output faster than they will later.
    std::chrono::milliseconds firstPatience { 3'000 };
    /// The same for a side without any engine, which stops all work, and for a side that has too few even if all of its returning
    /// engines are counted.
    std::chrono::milliseconds urgentPatience { 400 };
};

/// Splits engines into prefill and decode so that the utilisation of the busier side is lowest: by a fixed share until requests
/// arrive, then by their demand. Makes few changes and ignores noise. Performs no I/O; not thread-safe.
class SplitRule {
public:
    using Time = Core::BootClock::time_point;

    explicit SplitRule(SplitSettings const& settings = {})
        : m_settings(settings)
    {
    }

    /// Returns the changes to order now. Changing engines count in their target role; engines that are down do not count.
    /// Only serving engines whose allowed roles contain the new one are changed, and never the last serving engine of a role before
    /// another one serves in that role.
    std::vector<RoleChange> plan(std::vector<EngineView> const&, SplitDemand const&, Time now);

    /// As `plan`, for changes that may not be ordered yet: they stay due until `commit`.
    std::vector<RoleChange> propose(std::vector<EngineView> const&, SplitDemand const&, Time now);

    /// Records that the changes last proposed have been ordered.
    void commit();

    /// Returns how many of `engines` should decode, given that `decoding` of them do now.
    std::uint32_t wantedDecode(std::size_t engines, std::size_t decoding, SplitDemand const&) const;

    /// Returns the utilisation of the busier side after the loss of one of its engines, or of its part of a failure domain, if
    /// `decoding` engines decode: 1 means that capacity equals demand.
    double peakUtilisation(std::size_t engines, std::size_t decoding, SplitDemand const&) const;

private:
    /// Number of engines in each role, with `Down` ones counted separately.
    struct Counts {
        std::uint32_t prefill { 0 };
        std::uint32_t decode { 0 };
        std::uint32_t returningPrefill { 0 }; ///< Down, but expected to return.
        std::uint32_t returningDecode { 0 };

        std::uint32_t total() const { return prefill + decode; }
    };

    /// Number of engines of one release.
    struct ReleaseCounts {
        std::uint32_t total { 0 };
        std::uint32_t decode { 0 };
    };

    /// Whether engines count that are down and may return.
    enum class Returning : bool {
        AreLeftOut,
        Count,
    };

    static std::map<std::uint32_t, ReleaseCounts> countReleases(std::vector<EngineView> const&, Returning);
    std::uint32_t releaseRank(std::uint32_t decoding, TargetRole to) const;
    Counts countEngines(std::vector<EngineView> const&);
    std::size_t minDecoding(std::size_t engines) const;
    std::size_t maxDecoding(std::size_t engines) const;
    bool isUrgent(Counts const&) const;
    std::vector<RoleChange> assignNewEngines(std::vector<EngineView> const&, std::uint32_t decode, SplitDemand const&, std::size_t total);
    static std::uint32_t movableEngines(std::vector<EngineView> const&, TargetRole from, std::uint32_t wantedLeft);
    TargetRole fastRole(SplitDemand const&) const;
    std::vector<RoleChange> selectEngines(std::vector<EngineView> const&, std::vector<EngineView> eligible, TargetRole to, std::uint32_t count, TargetRole fastRole) const;
    bool lacksRedundantRelease(std::vector<EngineView> const&, Returning) const;
    bool isUnderPressure(std::size_t engines, std::size_t decoding, SplitDemand const&) const;
    bool isDue(std::size_t listed, Counts const&, std::uint32_t wanted, bool isDemandKnown, bool isUrgent, Time now);

    SplitSettings m_settings;
    std::size_t m_listedCount { 0 };
    std::size_t m_failureDomains { 0 }; ///< Number of groups of engines that can be lost at once.
    std::optional<Time> m_listChangedAt; ///< When the number of listed engines last changed.
    std::optional<Time> m_mismatchSince; ///< When the split began to differ from the wanted one.
    bool m_hasPlanned { false };
    std::optional<Time> m_demandKnownSince; ///< When the demand became known.
    bool m_hasFollowedDemand { false }; ///< Whether the split has ever been matched to a known demand.
    bool m_isSplitDue { false }; ///< Whether the last proposal was for the split as a whole, not only for new engines.
    bool m_isDemandKnown { false }; ///< As of the last proposal.
};

}
