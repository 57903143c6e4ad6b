#pragma once

#include <LibDaemon/BeaconMessage.h>
#include <LibFleet/DaemonBook.h>
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace Daemon {

/// Whom a beacon is for.
enum class BeaconKind : std::uint8_t {
    ToAll, ///< Tells what is new since the last one, too.
    Greeting, ///< To one daemon that has just started: what holds, in place of the next one to all.
};

/// Sends this daemon's beacons to all others that it knows of, and takes theirs: who is alive, who is leaving, and what
/// each has open at the targets. Lost datagrams do no harm. Use from the control thread only.
class BeaconExchange {
public:
    struct Hooks {
        std::function<BeaconMessage(BeaconKind)> describe; ///< What to tell now; sender and sequence are filled in here.
        std::function<void(BeaconMessage const&)> onBeacon; ///< Called for each beacon that is news.
        std::function<bool()> greets; ///< Whether to answer a daemon that has just started at once.
        std::function<void(std::string_view)> onNotes { [](std::string_view) { } }; ///< Takes what another daemon sent with `sendNotes`.
    };

    /// Binds the socket; nothing is sent yet. Errors: Unavailable when the address cannot be bound.
    /// `bytesPerSecond` limits how fast a beacon goes out to all: the other daemons get it one after the other.
    static Core::Result<std::unique_ptr<BeaconExchange>> create(boost::asio::io_context&, Platform::ListedDaemon self, std::uint64_t bytesPerSecond, Hooks);

    /// Starts to send and to receive. Precondition: called once.
    void start();

    void stop();

    /// Begins to send a beacon at once, as when this daemon begins to leave. One that is being sent ends.
    void sendNow();

    /// Sends a beacon before the next regular one is due, as when others wait for what this daemon has just learnt: at once, if
    /// the last one is not too young.
    void sendSoon();

    /// As `sendNow`, with all that others need to know of a daemon that has just started.
    void announce();

    /// Sends one daemon a datagram that is no beacon. It may be lost.
    void sendNotes(boost::asio::ip::udp::endpoint const&, std::string const& bytes);

    Fleet::DaemonBook& book() { return m_book; }
    Platform::ListedDaemon const& self() const { return m_self; }

private:
    /// A beacon on its way to all other daemons.
    struct Round {
        std::string bytes;
        std::string bytesWithUsage;
        std::set<std::string> usageFor; ///< Names of the daemons that get the longer form.
        std::size_t remaining { 0 }; ///< How many daemons have not been sent it.
    };

    BeaconExchange(boost::asio::io_context&, boost::asio::ip::udp::socket, Platform::ListedDaemon self, std::uint64_t bytesPerSecond, Hooks);
    boost::asio::awaitable<void> sendLoop();
    boost::asio::awaitable<void> receiveLoop();
    void sendSlice();
    void take(std::string_view datagram);
    BeaconMessage nextBeacon(BeaconKind);
    void greet(boost::asio::ip::udp::endpoint const&);

    /// How often a beacon tells what hardly changes: who starts or was missed is known within this, and bytes between
    /// availability zones, which beacons make most of, are halved.
    static constexpr std::chrono::milliseconds fullInterval { 2'000 };
    static constexpr std::size_t largestDatagram = 64 * 1024;
    /// Least time between two slices of a beacon's datagrams.
    static constexpr std::chrono::milliseconds sliceInterval { 10 };

    boost::asio::io_context& m_context;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_sendTimer;
    boost::asio::steady_timer m_sliceTimer;
    std::uint64_t m_bytesPerSecond;
    Round m_round;
    std::string m_lastRecipient; ///< The round goes on behind it.
    std::mt19937_64 m_random; ///< Draws where a round begins.
    Platform::ListedDaemon m_self;
    Hooks m_hooks;
    Fleet::DaemonBook m_book;
    std::uint64_t m_sequence { 0 };
    Core::BootClock::time_point m_sentAt; ///< The last beacon to all.
    bool m_isDue { false }; ///< A beacon is to be sent once the one before has been sent to all.
    bool m_isSoon { false }; ///< A beacon is to be sent before the next regular one.
    Core::BootClock::time_point m_nextFull; ///< When the next beacon to all is a full one.
    std::array<char, largestDatagram> m_buffer {};
    bool m_isStopped { false };
};

}
