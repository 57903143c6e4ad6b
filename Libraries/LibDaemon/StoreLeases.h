#pragma once

#include <LibAuthority/ClaimTimes.h>
#include <LibAuthority/StoreLease.h>
#include <LibFleet/ReadTurn.h>
#include <LibPlatform/KeyedStore.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>

namespace Daemon {

/// Gains leases, each under a name of its own, by conditional appends to the platform's store. Whatever one daemon at a time may do
/// goes through this: orders of roles, reports of usage, orders of engines. Use from the control thread only.
class StoreLeases {
public:
    using CountHook = std::function<void(Fleet::StoreCallReason)>;

    /// Preconditions: all references outlive the object.
    StoreLeases(boost::asio::io_context&, Platform::KeyedStore&, Authority::StoreLeaseHolder self, Authority::StoreLeaseSettings const&, CountHook);

    /// Returns the lease of a name. The reference stays valid.
    Authority::StoreLease& of(std::string const& name);

    /// What to do about a lease that is another daemon's for now.
    enum class IfHeld : std::uint8_t {
        StepBack, ///< Let another daemon do what the lease is for.
        Wait, ///< Ask again when the lease is open.
    };

    /// Claims a lease unless this daemon may order under it as it is. Returns whether it may; false after a second and a half:
    /// the store does not answer, or another daemon holds the lease. With `Wait` the latter is answered at once.
    boost::asio::awaitable<bool> gain(std::string name, IfHeld = IfHeld::StepBack);

    /// Gives all leases up that this daemon may order under, so that another daemon may claim them.
    void giveUp();

    /// Whether a lease is another daemon's for now, as far as this daemon has read.
    bool isHeld(std::string const& name) const;

    /// Takes the offset after the newest claim that another daemon reports of itself.
    void hear(std::uint64_t claimed) { m_claimTimes.note(claimed, Core::BootClock::now()); }

    /// Returns the offset after this process's newest claim that no other is known to have followed; 0: none.
    std::uint64_t claimed() const;

    /// Whether a lease could not be had lately, so that another daemon should do what it is for.
    bool isBarred() const { return Core::BootClock::now() < m_barredUntil; }

    /// Whether this daemon may order under any of its leases now.
    bool mayOrder() const;

    /// Ends what waits; no lease is gained any more.
    void stop() { m_isStopped = true; }

    Authority::StoreLeaseHolder const& self() const { return m_self; }

private:
    struct Entry {
        Authority::StoreLease lease;
        bool isClaiming { false };
    };

    Entry& entryOf(std::string const& name);
    boost::asio::awaitable<void> claim(std::string name);
    boost::asio::awaitable<Core::Result<void>> readClaim(std::string name);
    boost::asio::awaitable<void> wait(std::chrono::milliseconds);

    boost::asio::io_context& m_context;
    Platform::KeyedStore& m_store;
    Authority::StoreLeaseHolder m_self;
    Authority::StoreLeaseSettings m_settings;
    CountHook m_countCall;
    Core::BootClock::time_point m_startedAt; ///< About when the process did.
    std::map<std::string, Entry> m_entries;
    Authority::ClaimTimes m_claimTimes;
    Core::BootClock::time_point m_barredUntil;
    bool m_isStopped { false };
};

}
