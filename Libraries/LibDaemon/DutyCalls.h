#pragma once

#include <LibDaemon/StoreLeases.h>
#include <LibPlatform/DutyService.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>

namespace Daemon {

/// Makes the calls of singleton duties, all under one lease: each with the lease's number, none once its time is over, and no more a
/// second than the service takes. Use from the control thread only.
class DutyCalls {
public:
    using Reply = Core::Result<Platform::DutyReply>;

    /// Preconditions: all references outlive the object.
    DutyCalls(boost::asio::io_context&, Platform::DutyService&, StoreLeases&, double callsPerSecond);

    /// Returns whether this daemon may call now, gaining the lease first if need be.
    boost::asio::awaitable<bool> gain();

    /// Make one call. Precondition: `gain` said that it may. Errors: as `Platform::DutyService`.
    boost::asio::awaitable<Reply> reportUsage(Platform::UsageOfWindow);
    boost::asio::awaitable<Reply> orderEngines(Platform::EngineCount);

    /// Gives the lease up: another holder has shown a higher number.
    void loseAuthority();

    /// The number that calls are made under now; nothing: none may be made.
    std::optional<std::uint64_t> fencing() const;

    /// Whether the lease could not be had lately, so that another daemon should have the duties.
    bool isBarred() const { return m_leases.isBarred(); }

    std::string const& daemon() const { return m_leases.self().daemon; }

private:
    using Send = std::function<boost::asio::awaitable<Reply>(Platform::DutyHolder, std::function<bool()> mayWrite)>;

    boost::asio::awaitable<Reply> call(Send);
    boost::asio::awaitable<void> waitForTurn();

    boost::asio::io_context& m_context;
    Platform::DutyService& m_service;
    StoreLeases& m_leases;
    std::chrono::microseconds m_callInterval;
    Core::BootClock::time_point m_nextCallAt;
};

}
