#pragma once

#include <LibAuthority/StoreLease.h>
#include <LibCore/Result.h>
#include <LibPlatform/Directory.h>
#include <LibRouting/OpenWork.h>
#include <LibRouting/OutlierFinder.h>
#include <LibRouting/PrefixIndex.h>
#include <LibRouting/ServiceReport.h>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Daemon {

/// What a daemon tells the others several times a second.
struct BeaconMessage {
    Platform::ListedDaemon sender; ///< Of a brief beacon only the name and the incarnation.
    std::uint64_t sequence { 0 }; ///< Greater in each beacon of one incarnation.
    bool isLeaving { false };
    std::uint64_t configVersion { 0 }; ///< Of the configuration that it has in force.
    std::uint64_t targetsChanged { 0 }; ///< Offset behind the last record of the target list that was news to it.
    bool isReading { false }; ///< It reads the store all the time, and was answered lately.
    bool cannotPlan { false }; ///< It could not get a lease lately.
    std::vector<Routing::TargetShare> shares; ///< Its open work.
    std::vector<std::uint64_t> suspects; ///< Keys of targets that it could not reach lately.
    std::vector<std::uint64_t> changing; ///< Keys of targets that it has ordered to change role.
    std::vector<Routing::OutcomeCounts> outcomes; ///< Of its requests, since its last beacon.
    std::vector<Routing::ServiceReport> services; ///< What its requests ask of engines, and what it has learnt of these.
    std::vector<Routing::HeldPart> heldParts; ///< That it was the first known to send to a target, since its last beacon.
    std::chrono::milliseconds lapseGrace { 0 }; ///< The store came back lately: how long it keeps targets whose entries lapsed.
    std::chrono::milliseconds storeFailingFor { 0 }; ///< Its reads of the store have failed for so long; 0: they do not.
    bool isBrief { false }; ///< The sender's addresses and `services` are left out: they are as it said before.
};

/// Forms of what daemons say to each other and keep in the store. `decode` errors: Corrupt. Thread-safe.
std::string encode(BeaconMessage const&);
Core::Result<BeaconMessage> decodeBeacon(std::string_view);
std::string encode(Platform::ListedDaemon const&);
Core::Result<Platform::ListedDaemon> decodeListedDaemon(std::string const& name, std::string_view);
std::string encode(Authority::StoreLeaseHolder const&);
Core::Result<Authority::StoreLeaseHolder> decodeLeaseHolder(std::string_view);

}
