#pragma once

#include <LibDaemon/BeaconExchange.h>
#include <LibDaemon/RecordExchange.h>
#include <LibFleet/ReadTurn.h>
#include <LibPlatform/KeyedStore.h>
#include <LibQuarantine/CatchUp.h>
#include <LibQuarantine/Guard.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <set>

namespace Daemon {

/// Logs what evidence made of requests. `toldBy` is a daemon's name. Thread-safe.
void logFindings(std::vector<Quarantine::Finding> const&, std::string const& toldBy);

/// Shares what is known of requests that end targets. Daemons tell each other at once, in beacons, and again for a while; one
/// that missed something sees that digests differ and asks. The store keeps requests that are close to being refused, for a site
/// of which no daemon is left. Use from the control thread only.
class QuarantineExchange {
public:
    struct Hooks {
        std::function<void()> tellSoon; ///< Asks for a beacon before the next regular one.
        std::function<void(Fleet::StoreCallReason)> countStoreCall;
    };

    /// Preconditions: all parts outlive the object.
    QuarantineExchange(boost::asio::io_context&, Quarantine::Guard&, Platform::KeyedStore&, RecordExchange&, Fleet::DaemonBook const&, std::string self, Hooks);

    /// Adds what there is to say to a beacon.
    void describe(BeaconMessage&, Core::BootClock::time_point now) const;

    /// Takes a peer's beacon.
    void take(BeaconMessage const&, Core::BootClock::time_point now);

    /// Takes what this daemon's own runs have shown.
    void noteFindings(std::vector<Quarantine::Finding> const&);

    /// Notes that this daemon's own run cleared a request.
    void noteCleared(Quarantine::WorkKey const&);

    /// Returns all that is known, for a peer. Errors: Unavailable until this daemon has caught up.
    Core::Result<RecordsAnswer> extract() const;

    /// Whether this daemon knows what the others, or the store, knew of suspected requests when it started.
    bool isCaughtUp() const { return m_catchUp.isCaughtUp(); }

    /// Asks, reads and writes what is due, some ten times a second. `readsStore`: this daemon is one of the few that read the
    /// store for the site.
    void tick(bool readsStore, Core::BootClock::time_point now);

    /// Ends what is under way.
    void stop() { m_isStopped = true; }

private:
    static constexpr std::size_t endsToStore = 2; ///< Most suspects have one, and are innocent.
    static constexpr std::chrono::milliseconds retryDelay { 1'000 }; ///< After a call to the store that failed.

    bool takeRecords(std::vector<Platform::KeyedRecord> const&, std::string const& toldBy);
    boost::asio::awaitable<void> ask(std::string peer);
    boost::asio::awaitable<void> load();
    boost::asio::awaitable<void> store();

    boost::asio::io_context& m_context;
    Quarantine::Guard& m_guard;
    Platform::KeyedStore& m_store;
    RecordExchange& m_records;
    Fleet::DaemonBook const& m_book;
    std::string m_self;
    Hooks m_hooks;
    Quarantine::CatchUp m_catchUp;
    std::set<Quarantine::WorkKey> m_stored; ///< Known to stand in the store.
    std::set<Quarantine::WorkKey> m_toStore; ///< What the store has of them is out of date.
    Core::BootClock::time_point m_nextCall; ///< To the store.
    bool m_isCalling { false };
    bool m_isLoaded { false };
    bool m_isStopped { false };
};

}
