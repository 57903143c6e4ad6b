#pragma once

#include <LibDaemon/FleetSnapshot.h>
#include <LibDaemon/Work.h>
#include <LibHttp/Message.h>
#include <LibRequest/HttpMapping.h>
#include <functional>
#include <string>
#include <vector>

namespace Daemon {

/// Which daemons a caller is told to use.
struct EntryList {
    std::vector<std::string> addresses;
    std::chrono::milliseconds hold { 0 }; ///< How long the caller may keep the list.
};

/// What callers speak, as pure functions. Set all hooks. Thread-safe.
struct CallerProtocol {
    /// Lets a request in, whoever it is for, and makes of it what the rest of the system may see. Errors: Unauthenticated;
    /// Unavailable while that cannot be told. Where nobody else asks, `parse` does it for the route that it finds.
    std::function<Core::Result<void>(Http::Request&, FleetSnapshot const&, Access::GateSettings const&)> admit { [](Http::Request&, FleetSnapshot const&, Access::GateSettings const&) { return Core::ok(); } };

    /// Reads a request. Errors (all NotRun): BadInput with what was read and what is allowed, NotFound when no route
    /// or service matches, Unavailable while nothing is configured.
    std::function<Core::Result<Work>(Http::Request const&, FleetSnapshot const&, WorkLimits const&, std::string ownRequestId)> parse;

    /// The answer for an error; its verdict decides what the caller is told.
    std::function<Http::Response(Core::Error const&, Request::HttpErrorContext const&)> error;

    /// The request as a caller sends it, for a peer that serves it in place of this daemon; of a stream that has begun, from behind the
    /// event with this id. Empty: requests are not passed on.
    std::function<Http::Request(Work const&, std::chrono::milliseconds timeLeft, std::string const& lastEventId)> relayed;

    /// The answer to the question which daemons to use.
    std::function<Http::Response(EntryList const&)> entries;

    bool hasTickets { true }; ///< Requests may carry tickets, and the product's own paths are served beside them.
    bool endsBrokenStreamsWithEvent { true }; ///< A stream that can't be made whole ends with an error event; else by a reset.
    bool addsVerdict { true }; ///< Answers carry a header with the verdict.
};

/// The protocol of docs/callers.md.
CallerProtocol ownCallerProtocol();

}
