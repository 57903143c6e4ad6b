#pragma once

#include <LibDaemon/BeaconMessage.h>
#include <LibDaemon/DutyCalls.h>
#include <LibDuties/FleetClock.h>
#include <LibDuties/UsageBook.h>
#include <LibDuties/UsageCounter.h>
#include <LibDuties/UsageDuty.h>
#include <LibFleet/DaemonBook.h>
#include <LibPlatform/KeyedStore.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Daemon {

/// Counts how many requests of each organisation begin to run, brings the counts of all daemons together, and reports them window by
/// window: docs/design/duties.md. Use from the control thread only.
class UsageKeeper {
public:
    using Time = Core::BootClock::time_point;

    struct Hooks {
        std::function<void()> onSettled; ///< Called when others should soon know that a window is settled.
        StoreLeases::CountHook countStoreCall;
    };

    /// What operators see.
    struct Status {
        Duties::WindowNumber settledBefore { 0 };
        std::uint64_t decided { 0 }; ///< By this process, as the next two.
        std::uint64_t reported { 0 };
        std::uint64_t missed { 0 };
        std::size_t clocks { 0 }; ///< That true time is taken from.
        Duties::FleetClock::Offset offset { 0 };
    };

    /// Preconditions: all references outlive the object.
    UsageKeeper(boost::asio::io_context&, Platform::KeyedStore&, DutyCalls&, Fleet::DaemonBook const&, Duties::UsageCounter&, Platform::ListedDaemon self, Duties::UsageDutySettings const&, Hooks);

    /// Does what is due. To be called several times a second. `elders` is as `DaemonBook::elders`.
    void tick(std::vector<std::string> const& elders, Time now);

    /// Adds to a beacon what this daemon has counted, and for whom.
    void describe(BeaconMessage&, Time now);

    /// Takes what a beacon says that was held up on its way for `heldUp`.
    void hear(BeaconMessage const&, std::chrono::milliseconds heldUp, Time now);

    /// Takes how requests ended at targets, as this daemon tells its peers: it says whether lost answers were to requests that ran.
    void noteOutcomes(std::vector<Routing::OutcomeCounts> const&, Time now);

    void stop() { m_isStopped = true; }

    /// Returns a moment of this VM's clock since boot in the fleet's true time, as far as that is known now.
    Duties::WallTime timeAt(Time time) const { return m_clock.at(time); }

    Status status() const;

private:
    bool isHolder() const { return !m_isStopped && !m_elders.empty() && m_elders.front() == m_self.name && !m_calls.isBarred(); }
    bool isClosed(Duties::WindowNumber, Time now) const;
    Duties::UsageStatement ownStatement(Time now);
    std::optional<Duties::UsageStep> nextStep() const;
    void noteElders(std::vector<std::string> const&, Time now);
    void settleBefore(Duties::WindowNumber);
    void giveUp(Duties::WindowNumber);
    boost::asio::awaitable<void> work();
    boost::asio::awaitable<bool> readDecided();
    boost::asio::awaitable<bool> decide(Duties::WindowNumber);
    boost::asio::awaitable<bool> send(Duties::UsageReport);
    boost::asio::awaitable<void> wait(std::chrono::milliseconds);

    boost::asio::io_context& m_context;
    Platform::KeyedStore& m_store;
    DutyCalls& m_calls;
    Fleet::DaemonBook const& m_daemons;
    Duties::UsageCounter& m_counter;
    Platform::ListedDaemon m_self;
    Duties::UsageDutySettings m_settings;
    Hooks m_hooks;
    Duties::FleetClock m_clock;
    Duties::UsageBook m_book;
    Duties::UsageDuty m_duty;
    std::vector<std::string> m_elders;
    std::optional<Time> m_collectsSince; ///< When this daemon became one of them.
    Time m_startedAt;
    std::uint64_t m_reportsEnd { 0 }; ///< Of the topic of reports, as it was read or appended to last.
    bool m_hasReadReports { false }; ///< Nobody else has appended to it since, as far as is known.
    bool m_isWorking { false };
    bool m_isStopped { false };
    std::uint64_t m_decided { 0 };
    std::uint64_t m_reported { 0 };
    std::uint64_t m_missed { 0 };
};

}
