#pragma once

#include <LibCore/Result.h>
#include <LibHttp/Server.h>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// A stand-in that serves until the program ends.
struct RunningStandIn {
    std::unique_ptr<Http::Server> server; ///< The protocol's listener; the admin listener of a forwarder.
    std::string address; ///< What it listens on, with the port that was bound.
};

/// Starts the stand-in of this kind with its command-line arguments (without the program and the kind).
/// Errors: BadInput for arguments, NotFound for a kind that does not exist, Unavailable when an address cannot be bound.
Core::Result<RunningStandIn> startStandIn(boost::asio::io_context&, std::string_view kind, std::vector<std::string> const& arguments);

/// Returns the help text of a kind, or of the program for an unknown one.
std::string helpText(std::string_view kind);
