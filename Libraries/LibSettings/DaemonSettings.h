#pragma once

#include <LibAccess/Gate.h>
#include <LibCore/EventLog.h>
#include <LibCore/Result.h>
#include <LibHttp/Client.h>
#include <LibHttp/Server.h>
#include <LibRoles/FleetSizer.h>
#include <LibRoles/SplitRule.h>
#include <LibRouting/Settings.h>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Settings {

/// Everything that a daemon is told at its start. docs/operators/settings.md is the reference.
struct DaemonSettings {
    using Endpoint = boost::asio::ip::tcp::endpoint;
    using Milliseconds = std::chrono::milliseconds;

    /// Which platform the daemon runs on.
    enum class PlatformKind : std::uint8_t {
        LogAndList, ///< An append-only log and a list of VMs: docs/design/platform-protocols.md.
        KeyedStore, ///< A store that keeps the newest record of each key: docs/design/platform.md.
    };

    static constexpr Core::EnumNames<PlatformKind, 2> platformKindNames { {
        { PlatformKind::LogAndList, "log-and-list" },
        { PlatformKind::KeyedStore, "keyed-store" },
    } };

    struct Daemon {
        std::string name;
        std::string availabilityZone;
        std::string region;
        std::uint32_t trafficThreads { 1 };
        Core::Severity logLevel { Core::Severity::Info };
        Milliseconds stopWithin { 0 }; ///< After which a process that was asked to stop is killed; 0: never.
    };

    struct Callers {
        Endpoint listen;
        Endpoint directory; ///< Where callers ask which daemons to use; port 0: on `listen` alone.
        Endpoint ready; ///< Where the platform asks whether this daemon takes requests; port 0: nowhere.
        Http::ServerSettings server;
        Milliseconds listHold { 5'000 }; ///< How long callers may keep the list of addresses.
        Milliseconds leaveHold { 0 }; ///< How long a leaving daemon goes on accepting; 0: for `listHold`.
        Milliseconds defaultDeadline { 60'000 };
        Milliseconds longestDeadline { 600'000 };
        Access::GateSettings keys;
    };

    struct Operators {
        Endpoint listen;
        Endpoint metrics; ///< Where metrics are fetched beside `listen`; port 0: only there.
        std::string token;
    };

    struct Peers {
        Endpoint listen;
        Endpoint beacon; ///< Where beacons come in (UDP); port 0: none are exchanged.
        double linkMegabitsPerSecond { 100 }; ///< Bandwidth of the VM's link.

        std::uint64_t bytesPerSecond() const { return static_cast<std::uint64_t>(linkMegabitsPerSecond * 1e6 / 8); }
    };

    struct Platform {
        PlatformKind kind { PlatformKind::LogAndList };
        Endpoint store; ///< Of kind KeyedStore; the next two of kind LogAndList.
        Endpoint log;
        Endpoint vms;
        Milliseconds vmsInterval { 1'000 };
        Milliseconds stateInterval { 1'000 }; ///< Between two reads of a target's state by its watcher.
        Milliseconds retryDelay { 200 }; ///< Before another try when the platform does not answer.
        Milliseconds newsWithin { 2'000 }; ///< How soon after a change in the store every daemon is to act on it.
        Milliseconds leavingWithin { 2'000 }; ///< How soon after a target's word that it leaves no request reaches it.
        Milliseconds leaseQuiet { 3'000 }; ///< Between the last order of one holder and the first of the next.
        bool areOrdersFenced { false }; ///< Targets refuse each number of a lease below one that they have seen.
        std::uint64_t retainedRecords { 0 }; ///< How many records the log keeps; 0: no limit by number.
    };

    struct Duties {
        Endpoint service; ///< Takes reports of usage and orders for engines; port 0: there are no such duties.
        double callsPerSecond { 10 }; ///< That the service takes, of all daemons together.
        Milliseconds usageWindow { 0 }; ///< 0: usage is not reported.
        Milliseconds usageDue { 10'000 }; ///< After the end of a window.
        bool isFenced { false }; ///< The service refuses numbers below one that it has seen.
    };

    struct Limits {
        std::uint32_t inFlightPerTarget { 64 };
        std::uint32_t queuedPerTarget { 256 };
        std::uint32_t inFlightPerOrganisation { 256 };
        std::uint32_t queuedPerOrganisation { 512 };
        std::uint64_t keptAnswerBytes { 16U << 20U };
        double retryRatio { 0.1 };
        double retryExtra { 0 }; ///< Retries in a window beyond the ratio, for all daemons together; 0: each its own few.
        Milliseconds retryWindow { 10'000 };
        bool sharesPlaces { false }; ///< Daemons divide the places of scarce targets among themselves.
        bool repeatsOverduePrompts { false }; ///< A prompt whose answer is overdue is computed at another target.
        std::uint64_t eventBytes { 1U << 20U }; ///< Of one event of a stream, which is held until it is whole.
        std::uint64_t memoryMegabytes { 0 }; ///< That the process may hold; 0: that of the machine.
        std::uint64_t heldAnswerBytes { 0 }; ///< Memory for answers that callers have not read yet; 0: an eighth of the process's.
    };

    Daemon daemon;
    Callers callers;
    Operators operators;
    Peers peers;
    Platform platform;
    Duties duties;
    Limits limits;
    Http::ClientSettings targets; ///< Connections to targets.
    Routing::Settings routing;
    Roles::SplitSettings split;
    Roles::FleetSizerSettings sizer;

    /// Reads and checks a whole settings file.
    /// Errors (BadInput): every problem found, one line each: file, line, section, key, what was read and
    /// what is allowed. Unknown sections and keys, repeated keys and missing required keys are errors.
    static Core::Result<DaemonSettings> parse(std::string_view text, std::string_view fileName);

    /// Returns all settings as a file that `parse` reads back to the same. The token is left out.
    std::string print() const;
};

}
