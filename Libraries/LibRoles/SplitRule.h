#pragma once

#include <LibCore/BootClock.h>
#include <LibRoles/FleetView.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace Roles {

/// What is asked of all engines of a service, in engines: how many would be kept busy without a moment's pause.
struct SplitDemand {
    double prompts { 0 };
    double outputs { 0 }; ///< By places in a batch or by memory, whichever needs more.
    bool isKnown { false }; ///< Requests came, and it was learnt how long engines take for them.
};

/// What a split of engines into prefill and decode is kept to.
struct SplitSettings {
    /// The part of the engines that decodes until the demand is known. A guess that fits no mix in particular: the first known
    /// demand takes its place within seconds.
    double decodeShare { 0.25 };
    /// Prompts wait for one another while outputs run side by side, so that prompts need this much more room for the same
    /// delay: at 0.7 of what a single server can do, waiting takes as long as the work, and a fourth more room halves that.
    double promptHeadroom { 1.25 };
    /// Engines change only where the busier side then has this much less to do, as a part: less is within what the
    /// estimates err, and a change takes an engine away for seconds.
    double minImprovement { 0.12 };
    /// A change that follows the demand moves this part of the engines at most, one at least, and the next waits until its
    /// effect is seen: a mix that swings to and fro is met half-way.
    double maxMovedShare { 0.1 };
    /// Once the split follows the demand, it changes only when a side has this part of what it can do, or more. Mixes swing:
    /// an engine that makes long outputs is back some ten seconds after its order, when the mix may have swung back.
    double pressureThreshold { 0.9 };
    std::uint32_t leastDecode { 2 }; ///< The loss of one leaves one; so many are left, too, when one group is lost at once.
    std::uint32_t leastPrefill { 1 };
    /// Before the first plan, the list of engines must not have changed for this long: they list themselves one by one.
    std::chrono::milliseconds stabilisationTime { 600 };
    /// A side that is short must stay so for this long: engines often come back within seconds, and a change takes
    /// its engine out of service for as long.
    std::chrono::milliseconds patience { 2'500 };
    /// The same for the first demand that is known: what was before it was a guess, and engines that are still filling up
    /// with outputs make each of them faster than they will.
    std::chrono::milliseconds firstPatience { 3'000 };
    /// A side without any engine ends all work, so it is filled sooner; so is one that has too few although none of its engines may
    /// come back.
    std::chrono::milliseconds urgentPatience { 400 };
};

/// Keeps a fleet of engines, each either prefill or decode, at the split that leaves the busier side the most room: by a fixed
/// part before there are requests, then by what these ask. Few changes in all, none on noise. Pure and not thread-safe.
class SplitRule {
public:
    using Time = Core::BootClock::time_point;

    explicit SplitRule(SplitSettings const& settings = {})
        : m_settings(settings)
    {
    }

    /// Returns the changes to order now. Engines that are changing count in the role ordered; those that are down do
    /// not count. Only engines that serve and whose allowed roles contain the new one are changed.
    std::vector<RoleChange> plan(std::vector<EngineView> const&, SplitDemand const&, Time now);

    /// Returns how many of `engines` are to decode, where `decoding` of them do.
    std::uint32_t wantedDecode(std::size_t engines, std::size_t decoding, SplitDemand const&) const;

    /// Returns how busy the busier side is with so many engines that decode when it loses one of them: 1 means that it can just
    /// do its work.
    double peakUtilisation(std::size_t engines, std::size_t decoding, SplitDemand const&) const;

private:
    /// Engines of either role; `Down` ones apart.
    struct Counts {
        std::uint32_t prefill { 0 };
        std::uint32_t decode { 0 };
        std::uint32_t returningPrefill { 0 }; ///< Down, and may come back.
        std::uint32_t returningDecode { 0 };

        std::uint32_t total() const { return prefill + decode; }
    };

    Counts countEngines(std::vector<EngineView> const&);
    std::size_t minDecoding(std::size_t engines) const;
    std::size_t maxDecoding(std::size_t engines) const;
    bool isUrgent(Counts const&) const;
    std::vector<RoleChange> assignNewEngines(std::vector<EngineView> const&, std::uint32_t decode, SplitDemand const&, std::size_t total);
    static std::vector<RoleChange> selectEngines(std::vector<EngineView> const&, std::vector<EngineView> eligible, TargetRole to, std::uint32_t count);
    bool isUnderPressure(std::size_t engines, std::size_t decoding, SplitDemand const&) const;
    bool isDue(std::size_t listed, Counts const&, std::uint32_t wanted, bool isDemandKnown, Time now);

    SplitSettings m_settings;
    std::size_t m_listedCount { 0 };
    std::size_t m_failureDomains { 0 }; ///< Of engines that can be lost at once.
    std::optional<Time> m_listChangedAt; ///< When the number of engines last changed.
    std::optional<Time> m_mismatchSince; ///< Since when the split has not been as wanted.
    bool m_hasPlanned { false };
    std::optional<Time> m_demandKnownSince; ///< Since when the demand is known.
    bool m_hasFollowedDemand { false }; ///< The split has once been what a known demand wants, after its patience.
};

}
