#pragma once

#include <LibRouting/TargetRole.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace Platform {

/// A target as it lists itself in the store.
struct ListedTarget {
    std::string id; ///< What requests name as the target that they are meant for. It may start again under the same id.
    std::uint64_t bornAtMs { 0 }; ///< When it started, as it says: Unix milliseconds. With the id it tells its incarnations apart; 0: not told.
    std::string service;
    boost::asio::ip::tcp::endpoint address;
    std::string availabilityZone;
    std::string release {}; ///< Of its software; empty: not told.
    std::uint32_t slots { 0 }; ///< Requests that it runs at once.
    bool isLeaving { false };
    bool isReclaimable { false }; ///< The platform may take it back at short notice.
    std::optional<Routing::TargetRole> role; ///< Of an engine; absent for a plain service.

    bool operator==(ListedTarget const&) const = default;
};

/// A daemon as it lists itself in the store.
struct ListedDaemon {
    std::string name;
    std::uint64_t incarnation { 0 }; ///< Greater at each start.
    std::string availabilityZone;
    std::string region;
    boost::asio::ip::tcp::endpoint callerAddress;
    boost::asio::ip::udp::endpoint beaconAddress;
    boost::asio::ip::tcp::endpoint peerAddress;

    bool operator==(ListedDaemon const&) const = default;
};

}
