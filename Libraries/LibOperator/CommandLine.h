#pragma once

#include <LibCore/EnumNames.h>
#include <LibCore/Result.h>
#include <LibState/RecordId.h>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Operator {

/// What `currantctl` is asked to do.
enum class Command : std::uint8_t { Apply,
    Get,
    Diff,
    History,
    Status,
    Drain,
    Undrain,
    Delete,
    Explain,
    Duties,
    Suspects,
    Limits,
    Paces,
    Story };

inline constexpr Core::EnumNames<Command, 14> commandNames { {
    { Command::Apply, "apply" },
    { Command::Get, "get" },
    { Command::Diff, "diff" },
    { Command::History, "history" },
    { Command::Status, "status" },
    { Command::Drain, "drain" },
    { Command::Undrain, "undrain" },
    { Command::Delete, "delete" },
    { Command::Explain, "explain" },
    { Command::Duties, "duties" },
    { Command::Suspects, "suspects" },
    { Command::Limits, "limits" },
    { Command::Paces, "paces" },
    { Command::Story, "story" },
} };

/// How results are printed.
enum class Output : std::uint8_t { Text,
    Json };

inline constexpr Core::EnumNames<Output, 2> outputNames { {
    { Output::Text, "text" },
    { Output::Json, "json" },
} };

/// The arguments of `currantctl`, checked.
struct CommandLine {
    Command command { Command::Status };
    bool wantsHelp { false }; ///< Then `help` is all that is set.
    std::string help;

    std::vector<std::string> operands; ///< What follows the command: a file, a target, a kind and a name.
    std::vector<boost::asio::ip::tcp::endpoint> servers;
    std::string tokenFile;
    std::string author;
    std::chrono::milliseconds timeout { 5'000 };
    Output output { Output::Text };

    bool waits { false };
    std::chrono::milliseconds waitTime { 10'000 };
    bool isDryRun { false };
    bool prunes { false };
    std::optional<std::uint64_t> base;
    std::optional<State::RecordId> id;
    std::uint64_t limit { 20 };
    std::string labels;
    std::string path;
    std::string model;

    /// Returns a variable of the environment, or null; `std::getenv` in the program.
    using Environment = std::function<char const*(char const* name)>;

    /// Reads the arguments after the program's name; the environment gives servers, token file and author that
    /// the arguments don't. Errors: BadInput with one sentence. Thread-safe.
    static Core::Result<CommandLine> parse(std::vector<std::string> const& arguments, Environment const&);

    /// Whether the command reads files alone and asks no server.
    bool isOffline() const { return command == Command::Story; }

    /// Whether the command may do without a token: a daemon on a platform with a keyed store has nothing that operators change.
    bool mayLackToken() const { return command == Command::Duties || command == Command::Suspects || command == Command::Limits; }

    /// Returns the help of the whole program. Thread-safe.
    static std::string helpText();
};

}
