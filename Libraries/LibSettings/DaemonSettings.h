#pragma once

#include <LibCore/EventLog.h>
#include <LibCore/Result.h>
#include <LibHttp/Server.h>
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

    struct Daemon {
        std::string name;
        std::string availabilityZone;
        std::string region;
        std::uint32_t trafficThreads { 1 };
        Core::Severity logLevel { Core::Severity::Info };
    };

    struct Callers {
        Endpoint listen;
        Http::ServerSettings server;
        Milliseconds listHold { 5'000 }; ///< How long callers may keep the list of addresses.
        Milliseconds defaultDeadline { 60'000 };
        Milliseconds longestDeadline { 600'000 };
    };

    struct Operators {
        Endpoint listen;
        std::string token;
    };

    struct Peers {
        Endpoint listen;
    };

    struct Platform {
        Endpoint log;
        Endpoint vms;
        Milliseconds vmsInterval { 1'000 };
        Milliseconds stateInterval { 1'000 }; ///< Between two reads of a target's state by its watcher.
        Milliseconds retryDelay { 200 }; ///< Before another try when the platform does not answer.
        std::uint64_t retainedRecords { 0 }; ///< How many records the log keeps; 0: no limit by number.
    };

    struct Limits {
        std::uint32_t inFlightPerTarget { 64 };
        std::uint32_t queuedPerTarget { 256 };
        std::uint32_t inFlightPerOrganisation { 256 };
        std::uint32_t queuedPerOrganisation { 512 };
        std::uint64_t keptAnswerBytes { 16U << 20U };
        double retryRatio { 0.1 };
    };

    Daemon daemon;
    Callers callers;
    Operators operators;
    Peers peers;
    Platform platform;
    Limits limits;
    Routing::Settings routing;

    /// Reads and checks a whole settings file.
    /// Errors (BadInput): every problem found, one line each: file, line, section, key, what was read and
    /// what is allowed. Unknown sections and keys, repeated keys and missing required keys are errors.
    static Core::Result<DaemonSettings> parse(std::string_view text, std::string_view fileName);

    /// Returns all settings as a file that `parse` reads back to the same. The token is left out.
    std::string print() const;
};

}
