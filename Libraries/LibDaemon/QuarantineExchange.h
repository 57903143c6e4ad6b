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

/// Logs requests that became suspected or quarantined. `reportedBy` is the daemon that reported them, or `store`. Thread-safe.
void logFindings(std::vector<Quarantine::Finding> const&, std::string const& reportedBy);

/// Shares the requests suspected of crashing targets between daemons. Daemons send news in beacons at once and repeat them
/// for a while; a daemon that missed some sees a different digest and asks for all records. Requests that are close to
/// quarantine are also written to the store, in case all daemons of a site stop. Use from the control thread only.
class QuarantineExchange {
public:
    struct Hooks {
        std::function<void()> requestBeacon; ///< Requests a beacon before the next regular one.
        std::function<void()> onLearnt; ///< Called when records were read or told, whether they were news or not.
        std::function<void(Fleet::StoreCallReason)> countStoreCall;
        std::function<Core::BootClock::time_point()> listedAsOf; ///< As of when the list of targets is known.
    };

    /// Precondition: all referenced objects outlive this one.
    QuarantineExchange(boost::asio::io_context&, Quarantine::Guard&, Platform::KeyedStore&, RecordExchange&, Fleet::DaemonBook const&, std::string self, Hooks);

    /// Adds recent news and the digest to an outgoing beacon.
    void describe(BeaconMessage&, Core::BootClock::time_point now) const;

    /// Handles a beacon of a peer.
    void take(BeaconMessage const&, Core::BootClock::time_point now);

    /// Handles findings from runs of this daemon.
    void noteFindings(std::vector<Quarantine::Finding> const&);

    /// Records that a run of this daemon cleared a request.
    void noteCleared(Quarantine::WorkKey const&);

    /// Returns all suspect records, for a peer. Errors: Unavailable until this daemon has caught up.
    Core::Result<RecordsAnswer> extract() const;

    /// Returns whether this daemon has the suspect records that its peers or the store had when it started.
    bool isCaughtUp() const { return m_catchUp.isCaughtUp(); }

    /// Starts queries to peers and store calls that are due. Called about ten times a second. `readsStore`: this daemon is one
    /// of the few that read the store for the site.
    void tick(bool readsStore, Core::BootClock::time_point now);

    /// Stops operations in progress.
    void stop() { m_isStopped = true; }

private:
    static constexpr std::size_t minEndsToStore = 2; ///< Most suspects have one end and are harmless.
    static constexpr std::chrono::milliseconds retryDelay { 1'000 }; ///< After a failed store call.

    bool takeRecords(std::vector<Platform::KeyedRecord> const&, std::string const& reportedBy);
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
    std::set<Quarantine::WorkKey> m_stored; ///< Known to be in the store.
    std::set<Quarantine::WorkKey> m_pendingWrites; ///< Their records in the store are out of date.
    Core::BootClock::time_point m_nextCall; ///< Earliest time of the next store call.
    bool m_isCalling { false };
    bool m_isLoaded { false };
    bool m_isStopped { false };
};

}
