#pragma once

#include <LibDaemon/BeaconMessage.h>
#include <LibDaemon/OriginQuestion.h>
#include <LibFleet/ReadTurn.h>
#include <LibPlatform/KeyedStore.h>
#include <LibStreams/OriginBook.h>
#include <LibStreams/ReleaseBook.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Daemon {

/// Keeps, in the platform's store, at which release of a service streams began, so that they go on there after any daemons are lost:
/// docs/design/stream-releases.md. While streams begin at one release only, its name is all that is kept; else one daemon of some
/// dozens records the streams of all of these in batches. Use from the control thread only.
class StreamExchange {
public:
    struct Hooks {
        std::function<void()> requestBeacon; ///< Requests a beacon before the next regular one.
        std::function<void()> onReleases; ///< Called when the releases that may begin streams have changed.
        std::function<void(Fleet::StoreCallReason)> countStoreCall;
        std::function<void(boost::asio::ip::udp::endpoint const&, std::string const& bytes)> send; ///< To another daemon's `takeNotes`.
    };

    /// Precondition: all referenced objects outlive this one.
    StreamExchange(boost::asio::io_context&, Streams::OriginBook&, Platform::KeyedStore&, Fleet::DaemonBook const&, std::string self, Hooks);

    /// Adds what this daemon knows of releases to an outgoing beacon.
    void describe(BeaconMessage&) const;

    /// Handles a beacon of a peer.
    void take(BeaconMessage const&, Core::BootClock::time_point now);

    /// Handles the streams that another daemon has begun and this one is to record. Anything may be in a datagram.
    void takeNotes(std::string_view bytes, Core::BootClock::time_point now);

    /// Takes the releases of all listed targets of services whose streams may go on elsewhere, by service.
    void setListed(std::map<std::string, std::set<std::string>>, Core::BootClock::time_point now);

    /// Takes the services whose streams are all recorded because routes draw among several services, and how long callers may go on
    /// with a stream.
    void setRoutes(std::set<std::string> drawnServices, std::chrono::milliseconds longestStream);

    /// Whether a target of this release may begin streams.
    bool mayBegin(Streams::StreamOrigin const& origin) const { return m_releases.mayBegin(origin); }

    /// Whether the releases are known that the store had when this daemon started, or later ones.
    bool isLoaded() const { return m_releases.isLoaded(); }

    /// Finds the origin of a stream that this daemon has not begun. Calls `onAnswer` once, later, unless `stop` is called before.
    void find(OriginQuestion const&, std::function<void(OriginAnswer const&)> onAnswer);

    /// Does what is due. Called about ten times a second. `readsStore`: this daemon is one of the few that read the store for the
    /// site; `isLeaving`: others are to record its streams.
    void tick(bool readsStore, bool isLeaving, Core::BootClock::time_point now);

    /// Stops operations in progress.
    void stop() { m_isStopped = true; }

private:
    /// One daemon records the streams of so many, itself included.
    static constexpr std::size_t daemonsPerRecorder = 32;
    static constexpr std::chrono::milliseconds reportDelay { 10 }; ///< Streams that begin within it share a datagram.
    /// All recorders together append so often, but each at least at `longestAppendInterval`.
    static constexpr std::chrono::milliseconds appendIntervalPerRecorder { 15 };
    static constexpr std::chrono::milliseconds shortestAppendInterval { 100 };
    static constexpr std::chrono::milliseconds longestAppendInterval { 250 };
    static constexpr std::chrono::milliseconds retryDelay { 200 }; ///< After a failed store call.
    /// A daemon that starts leaves the first read to one that reads for others for this long; after it, those that go on without an
    /// answer read at random moments within a window proportional to their number.
    static constexpr std::chrono::milliseconds othersLoad { 500 };
    static constexpr std::chrono::milliseconds loadWindowPerDaemon { 200 };
    static constexpr std::chrono::milliseconds readInterval { 50 }; ///< Between the beginnings of two reads for questions.
    static constexpr std::chrono::milliseconds shortestLifetime { 10'000 };
    static constexpr std::chrono::milliseconds longestLifetime { 60'000 };
    static constexpr std::size_t streamsPerDatagram = 128; ///< Fits an Ethernet frame.
    static constexpr std::size_t windowCapacity = std::size_t { 16 } * 1024; ///< Its record stays within what a store takes.

    struct Pending {
        OriginQuestion question;
        std::function<void(OriginAnswer const&)> onAnswer;
    };

    bool needsRecord(std::string const& service) const;
    Fleet::BookedDaemon const* recorder(bool isLeaving, Core::BootClock::time_point now);
    void reportSoon();
    boost::asio::awaitable<void> reportLater();
    void report(Core::BootClock::time_point now);
    void sendNotes(Fleet::BookedDaemon const& recorder, std::vector<Streams::BegunStream> const&) const;
    void noteRecorded(std::vector<Streams::BegunStream> const&, Core::BootClock::time_point now);
    bool takeReleases(std::string const& service, Streams::ReleaseRecord);
    boost::asio::awaitable<Core::Result<std::vector<Platform::KeyedRecord>>> readNewest(Platform::StoreTopic, Fleet::StoreCallReason);
    boost::asio::awaitable<bool> loadReleases(Fleet::StoreCallReason);
    boost::asio::awaitable<void> load();
    boost::asio::awaitable<void> answerQuestions();
    boost::asio::awaitable<void> answer(std::vector<Pending>);
    boost::asio::awaitable<void> loadOwnRecord();
    void appendIfChanged();
    boost::asio::awaitable<void> appendChanges();
    boost::asio::awaitable<std::chrono::milliseconds> append();
    boost::asio::awaitable<void> wait(std::chrono::milliseconds);
    boost::asio::awaitable<void> write(Streams::ReleaseBook::Change);
    void spawn(boost::asio::awaitable<void>);

    boost::asio::io_context& m_context;
    Streams::OriginBook& m_book;
    Platform::KeyedStore& m_store;
    Fleet::DaemonBook const& m_daemons;
    std::string m_self;
    Hooks m_hooks;
    std::mt19937_64 m_random;
    Streams::ReleaseBook m_releases;
    std::set<std::string> m_drawnServices;
    std::map<std::string, Streams::ReleaseRecord> m_storedReleases; ///< As of the last read of the store.
    std::optional<Core::BootClock::time_point> m_releasesChangedAt;
    Core::BootClock::time_point m_nextLoad;
    Core::BootClock::time_point m_loadsAloneAt; ///< When this daemon reads the releases although it does not read for others.
    bool m_isLoading { false };
    bool m_isWriting { false };
    Core::BootClock::time_point m_nextWrite;
    bool m_isLeaving { false };
    bool m_isReportDue { false };
    std::string m_recorder; ///< Name of the daemon that this one last sent its streams to; its own if it records them itself.
    std::size_t m_recorders { 1 }; ///< Of the site, as this daemon sees it.
    std::vector<Streams::BegunStream> m_sentBefore; ///< Are sent once more, as datagrams may be lost.
    Streams::OriginWindow m_window; ///< What this daemon records for itself and others.
    bool m_hasOwnRecord { false }; ///< What an earlier process of this daemon recorded is in the window.
    bool m_isWindowChanged { false };
    bool m_isAppending { false }; ///< Or waiting for the next append.
    std::vector<Pending> m_questions;
    bool m_isAnswering { false };
    bool m_isStopped { false };
};

}
