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

/// A target as the traffic threads see it.
struct FleetTarget {
    std::uint32_t id { 0 }; ///< Stays the same while this process knows the target's key.
    std::uint64_t key { 0 }; ///< Of its name, and of its start where it tells that: the same at every daemon.
    std::string name;
    boost::asio::ip::tcp::endpoint endpoint;
    Platform::VmKind kind { Platform::VmKind::Engine };
    std::string model; ///< Of an engine: what it serves.
    std::string service; ///< Of a plain service: its name.
    std::string pool; ///< The lease that orders to it belong to.
    std::string incarnation; ///< What requests to it name as the one they are meant for; empty while unknown.
    std::uint64_t bornAtMs { 0 }; ///< When it started, Unix milliseconds as it says; 0: not told.
    Routing::TargetRole role { Routing::TargetRole::Mixed };
    Routing::ZoneDistance distance { Routing::ZoneDistance::SameZone };
    std::string availabilityZone;
    std::uint32_t slots { 0 }; ///< Requests that it runs at once; 0: not known.
    std::uint64_t kvCapacityTokens { 0 }; ///< 0: not known.
    std::string release; ///< Of its software; empty: not told.
    bool isLeaving { false }; ///< It has said that it will end.
    bool isReclaimable { false }; ///< The platform may take it back at short notice.
    std::string closedBecause; ///< Why it gets no new work; empty while it is open.

    bool isClosed() const { return !closedBecause.empty(); }

    /// The name that requests use: a model or a plain service.
    std::string const& work() const { return kind == Platform::VmKind::Engine ? model : service; }
};

/// Returns the key of a target: the same at every daemon, and another one when the target starts again under its name. `start`
/// tells the starts of one name apart. Thread-safe.
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

/// All that traffic threads need to route, at one moment. Immutable, so that threads share it without locks.
struct FleetSnapshot {
    std::shared_ptr<State::TargetView const> view; ///< Its positions are those of `targets`.
    std::vector<FleetTarget> targets;
    std::vector<EntryAddress> entries; ///< Live and not leaving; nearest first, then less loaded first.
    std::vector<EntryAddress> peers; ///< All other daemons on the VM list, leaving ones too.
    std::shared_ptr<State::ServiceConfig const> services; ///< Null where operators edit objects one by one.
    std::uint64_t configVersion { 0 }; ///< For logs: the version, or the offset behind the last record.
    Core::BootClock::time_point madeAt { Core::BootClock::now() }; ///< For logs: what it says is at least as old.
    /// Whatever the store had taken by then is in the list of targets, as far as the daemon knows now; null where the platform
    /// does not have such a list. The control thread moves it on, for this snapshot and those after it.
    std::shared_ptr<std::atomic<Core::BootClock::time_point> const> listConfirmedAt;
    /// The same of the configuration.
    std::shared_ptr<std::atomic<Core::BootClock::time_point> const> configConfirmedAt;
    bool isReady { false }; ///< The configuration and the VM list have both been read once.

    /// Returns how old the configuration may be; nothing: that is not known.
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
