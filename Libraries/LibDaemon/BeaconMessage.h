#pragma once

#include <LibAdmission/PlaceShares.h>
#include <LibAuthority/StoreLease.h>
#include <LibCore/Result.h>
#include <LibDuties/Usage.h>
#include <LibFleet/DaemonBook.h>
#include <LibPlatform/Directory.h>
#include <LibQuarantine/Suspect.h>
#include <LibRouting/OpenWork.h>
#include <LibRouting/OutlierFinder.h>
#include <LibRouting/PaceBook.h>
#include <LibRouting/PartHomes.h>
#include <LibRouting/PathTable.h>
#include <LibRouting/PrefixIndex.h>
#include <LibRouting/RateLimits.h>
#include <LibRouting/ServiceReport.h>
#include <LibStreams/ReleaseBook.h>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Daemon {

/// What a daemon tells the others several times a second.
struct BeaconMessage {
    Platform::ListedDaemon sender; ///< Of a brief beacon only the name and the incarnation.
    std::uint64_t sequence { 0 }; ///< Greater in each beacon of one incarnation.
    Fleet::DaemonState state;
    std::vector<Routing::TargetShare> shares; ///< Its open work.
    std::vector<std::uint64_t> suspects; ///< Keys of targets that it could not reach lately.
    std::vector<std::uint64_t> changing; ///< Keys of targets that it has ordered to change role.
    std::vector<Routing::OutcomeCounts> outcomes; ///< Of its requests, since its last beacon.
    std::vector<Routing::ServiceReport> services; ///< What its requests ask of engines, and what it has learnt of these.
    std::vector<Routing::HeldPart> heldParts; ///< That it was the first known to send to a target, since its last beacon.
    std::chrono::milliseconds lapseGrace { 0 }; ///< The store came back lately: how long it keeps targets whose entries lapsed.
    std::vector<std::uint64_t> leaving; ///< Keys of targets that have said to it that they leave.
    std::vector<Quarantine::SuspectNews> suspectNews; ///< Its own evidence of late; moments are by the sender's clock.
    std::optional<std::uint64_t> suspectDigest; ///< Of all that it holds; null: it may not know all yet.
    bool isBrief { false }; ///< The sender's addresses and `services` are left out: they are as it said before.
    std::chrono::milliseconds wallClock { 0 }; ///< The sender's when the beacon was made, since 1970.
    Duties::UsageStatement usage {}; ///< In beacons to others than `usageFor`: `withoutCounts`.
    std::map<std::string, double> sizedDemands {}; ///< In engines, by service: what the sender sizes these for.
    std::map<std::uint64_t, Routing::TargetRole> changingTo {}; ///< The new roles of those in `changing`.
    std::vector<Routing::RateLimitReport> rateLimits {}; ///< That targets have recently stated to it.
    std::vector<Routing::PathCounts> paths {}; ///< Of the services whose targets it has tried to reach lately.
    std::vector<Admission::PlaceDemand> placeDemands {}; ///< On services whose places are scarce.
    std::vector<Routing::PaceSample> paceSamples {}; ///< Of its answers, since its last beacon.
    std::vector<Routing::PartUse> partUses {}; ///< Of its requests, since its last beacon.
    std::map<std::string, Streams::ReleaseRecord> streamReleases {}; ///< By service. Left out of a brief beacon without news of them.
    bool hasReleaseNews { false }; ///< `streamReleases` has changed lately; not sent.
    std::vector<std::string> usageFor {}; ///< Names of daemons; not sent.
};

/// Forms of what daemons say to each other and keep in the store. `decode` errors: Corrupt. Thread-safe.
std::string encode(BeaconMessage const&);
Core::Result<BeaconMessage> decodeBeacon(std::string_view);
std::string encode(Duties::UsageReport const&);
Core::Result<Duties::UsageReport> decodeUsageReport(std::string_view);
std::string encode(Platform::ListedDaemon const&);
Core::Result<Platform::ListedDaemon> decodeListedDaemon(std::string const& name, std::string_view);
std::string encode(Authority::StoreLeaseHolder const&);
Core::Result<Authority::StoreLeaseHolder> decodeLeaseHolder(std::string_view);

}
