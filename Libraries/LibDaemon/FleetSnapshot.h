#pragma once

#include <LibCore/BootClock.h>
#include <LibPlatform/VmList.h>
#include <LibRouting/TargetRole.h>
#include <LibRouting/ZoneDistance.h>
#include <LibState/ServiceConfig.h>
#include <LibState/TargetView.h>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Daemon {

/// A target, as used by the traffic threads.
struct FleetTarget {
    std::uint32_t id { 0 }; ///< Stable while this process knows the target's key.
    std::uint64_t key { 0 }; ///< Hash of its name and, if reported, its start. The same at every daemon.
    std::string name;
    boost::asio::ip::tcp::endpoint endpoint;
    Platform::VmKind kind { Platform::VmKind::Engine };
    std::string model; ///< The model that an engine serves.
    std::string service; ///< The name of a plain service.
    std::string pool; ///< The lease under which orders are sent to it.
    std::string incarnation; ///< Sent with requests to identify the intended process; empty if unknown.
    std::uint64_t bornAtMs { 0 }; ///< Reported start time, in Unix milliseconds; 0 if not reported.
    Routing::TargetRole role { Routing::TargetRole::Mixed };
    Routing::ZoneDistance distance { Routing::ZoneDistance::SameZone };
    std::string availabilityZone;
    std::uint32_t slots { 0 }; ///< Maximum requests that it runs concurrently; 0 if unknown.
    std::uint64_t kvCapacityTokens { 0 }; ///< 0 if unknown.
    std::string release; ///< Its software version; empty if not reported.
    std::string streamRelease; ///< A stream goes on only at targets with the same as those that began it; empty: unknown, and equal to no other.
    bool mayBeginStreams { true }; ///< Its `streamRelease` is recorded, so that its streams can go on at other daemons.
    bool isLeaving { false }; ///< It has announced that it shuts down.
    bool isReclaimable { false }; ///< The platform may reclaim it at short notice (a spot VM).
    std::optional<Routing::TargetRole> nextRole; ///< The role that it is changing to.
    std::string closeReason; ///< Why it gets no new requests; empty while it is open.

    bool isClosed() const { return !closeReason.empty(); }

    /// The name that requests use: a model or a plain service.
    std::string const& work() const { return kind == Platform::VmKind::Engine ? model : service; }
};

/// Returns the key of a target. It is the same at every daemon and changes when the target restarts under the same name;
/// `start` distinguishes these starts. Thread-safe.
std::uint64_t targetKeyOf(std::string_view name, std::uint64_t start);
std::uint64_t targetKeyOf(std::string_view name, std::string_view start);

/// A daemon that callers may connect to.
struct EntryAddress {
    std::string name;
    boost::asio::ip::tcp::endpoint callerAddress;
    boost::asio::ip::tcp::endpoint peerAddress;
    std::string availabilityZone;
    Routing::ZoneDistance distance { Routing::ZoneDistance::SameZone };
    std::uint32_t openRequests { 0 };
};

/// The routing state at one point in time. Immutable, so that traffic threads share it without locks.
struct FleetSnapshot {
    std::shared_ptr<State::TargetView const> view; ///< Uses the same indices as `targets`.
    std::vector<FleetTarget> targets;
    std::vector<EntryAddress> entries; ///< Live daemons that are not leaving, sorted by distance, then by load.
    std::vector<EntryAddress> peers; ///< All other daemons on the VM list, including leaving ones.
    std::shared_ptr<State::ServiceConfig const> services; ///< Null if operators edit configuration objects individually.
    std::uint64_t configVersion { 0 }; ///< For logs: the version, or the offset after the last record.
    Core::BootClock::time_point createdAt { Core::BootClock::now() }; ///< For logs: the data is at least this old.
    /// The list of targets is known to include everything that the store had accepted by this time. Null if the platform has
    /// no such list. The control thread advances it for this snapshot and all later ones.
    std::shared_ptr<std::atomic<Core::BootClock::time_point> const> listConfirmedAt;
    /// The same for the configuration.
    std::shared_ptr<std::atomic<Core::BootClock::time_point> const> configConfirmedAt;
    bool isReady { false }; ///< The configuration and the VM list have both been read once.

    /// Returns an upper bound on the age of the configuration; nullopt if it is unknown.
    std::optional<std::chrono::milliseconds> configurationAge() const
    {
        Core::BootClock::time_point confirmedAt = configConfirmedAt ? configConfirmedAt->load() : Core::BootClock::time_point();
        if (confirmedAt == Core::BootClock::time_point())
            return std::nullopt;
        return std::chrono::ceil<std::chrono::milliseconds>(Core::BootClock::now() - confirmedAt);
    }
};

using FleetPointer = std::shared_ptr<FleetSnapshot const>;

}
