#include <LibOperator/CommandLine.h>

#include <LibHttp/Client.h>
#include <LibState/Kind.h>
#include <algorithm>
#include <array>
#include <cxxopts.hpp>

namespace Operator {

using Arguments = cxxopts::ParseResult;
using std::chrono::milliseconds;

namespace {

constexpr double longestSeconds = 3600;
constexpr std::size_t longestAuthor = 63;
constexpr char const* serversVariable = "CURRANTCTL_SERVERS";
constexpr char const* tokenFileVariable = "CURRANTCTL_TOKEN_FILE";

struct Usage {
    Command command;
    std::string_view operands;
    std::size_t fewest;
    std::size_t most;
    std::string_view purpose;
    std::string_view example;
};

constexpr std::array<Usage, 14> usages { {
    { Command::Apply, "FILE", 1, 1, "Brings the configuration to what FILE says. All of its changes are accepted, or none.",
        "currantctl apply fleet.ini --wait\n  currantctl apply fleet.ini --dry-run --prune" },
    { Command::Get, "[KIND [NAME]]", 0, 2, "Prints the configuration in force, as a file that apply reads.",
        "currantctl get > fleet.ini\n  currantctl get target tanta-engine-1 --output json" },
    { Command::Diff, "FILE", 1, 1, "Prints how FILE differs from the configuration in force. Exits with 1 when it does.",
        "currantctl diff fleet.ini" },
    { Command::History, "", 0, 0, "Prints the last changes, the newest last, with those that were refused.",
        "currantctl history --limit 50" },
    { Command::Status, "", 0, 0, "Prints daemons, targets, roles, leases, and what is blocked and why.",
        "currantctl status\n  currantctl status --output json" },
    { Command::Drain, "TARGET", 1, 1, "Sets the label drain=yes on a target: it gets no new work and finishes what it has.",
        "currantctl drain tanta-engine-1 --wait" },
    { Command::Undrain, "TARGET", 1, 1, "Removes the label drain from a target.",
        "currantctl undrain tanta-engine-1" },
    { Command::Delete, "KIND NAME", 2, 2, "Deletes one object of the configuration.",
        "currantctl delete route night-work" },
    { Command::Explain, "", 0, 0, "Prints where a request would go and why, and why the other targets would not get it.",
        "currantctl explain --labels tier=night,org=tanta --path /v1/completions --model reasoning" },
    { Command::Duties, "", 0, 0, "Prints who reports usage and orders engines, and what that came to; on a keyed store.",
        "currantctl duties\n  currantctl duties --output json" },
    { Command::Suspects, "", 0, 0, "Prints which requests have ended targets, and which are refused for it; on a keyed store.",
        "currantctl suspects" },
    { Command::Limits, "", 0, 0, "Prints the rate limits that targets state, and the asked daemon's share of each; on a keyed store.",
        "currantctl limits" },
    { Command::Paces, "", 0, 0, "Prints how fast each target is next to the others of its service, and how many requests at once it takes well; on a keyed store.",
        "currantctl paces" },
    { Command::Story, "ID FILE...", 2, 10'000, "Prints what the daemons' log files say of one request, in order, and how it ended. Asks no server.",
        "currantctl story 811ff66a8cd5a520 front-*.log" },
} };

Usage const& usageOf(Command command)
{
    return *std::ranges::find(usages, command, &Usage::command);
}

bool changes(Command command)
{
    return command == Command::Apply || command == Command::Drain || command == Command::Undrain || command == Command::Delete;
}

void addCommandOptions(cxxopts::Options& options, Command command)
{
    if (changes(command)) {
        options.add_options()("wait", "Wait until every live daemon has the change in force");
        options.add_options()("wait-time", "How long --wait waits", cxxopts::value<double>()->default_value("10"), "S");
        options.add_options()("author", "Who makes the change, for the history; $USER unless given", cxxopts::value<std::string>(), "NAME");
        options.add_options()("id", "Repeat a change whose outcome was unknown, under the id that was printed", cxxopts::value<std::string>(), "ID");
        options.add_options()("dry-run", "Print the change and send nothing");
    }
    if (command == Command::Apply || command == Command::Diff)
        options.add_options()("prune", "Delete the objects that the file does not have");
    if (command == Command::Apply)
        options.add_options()("base", "Refuse to overwrite what was changed at or after this offset; read from the file's '; currantctl base N' unless given", cxxopts::value<std::uint64_t>(), "N");
    if (command == Command::History)
        options.add_options()("limit", "How many changes", cxxopts::value<std::uint64_t>()->default_value("20"), "N");
    if (command == Command::Explain) {
        options.add_options()("labels", "The labels that the caller sends", cxxopts::value<std::string>()->default_value(""), "K=V,...");
        options.add_options()("path", "The path of the request", cxxopts::value<std::string>()->default_value("/v1/completions"), "PATH");
        options.add_options()("model", "The model that it names", cxxopts::value<std::string>()->default_value(""), "NAME");
    }
}

cxxopts::Options optionsOf(Usage const& usage)
{
    cxxopts::Options options("currantctl " + std::string(Core::nameOf(commandNames, usage.command)), std::string(usage.purpose));
    options.custom_help("[OPTIONS]");
    options.positional_help(std::string(usage.operands));
    options.add_options()("server", "The operators' listeners, tried in this order; $CURRANTCTL_SERVERS unless given", cxxopts::value<std::string>(), "IP:PORT,...");
    options.add_options()("token-file", "The file that holds the bearer token; $CURRANTCTL_TOKEN_FILE unless given", cxxopts::value<std::string>(), "FILE");
    options.add_options()("timeout", "How long to wait for one server's answer", cxxopts::value<double>()->default_value("5"), "S");
    options.add_options()("output", "text or json", cxxopts::value<std::string>()->default_value("text"), "FORM");
    options.add_options()("h,help", "Print this help");
    addCommandOptions(options, usage.command);
    options.add_options("hidden")("operands", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("operands");
    return options;
}

std::string helpOf(Usage const& usage)
{
    return optionsOf(usage).help({ "" }) + "\nExamples:\n  " + std::string(usage.example) + "\n";
}

Core::Error badInput(std::string message)
{
    return Core::makeError(Core::ErrorCode::BadInput, std::move(message));
}

Core::Result<milliseconds> readSeconds(Arguments const& arguments, std::string const& option)
{
    double seconds = arguments[option].as<double>();
    if (!(seconds > 0 && seconds <= longestSeconds))
        return badInput("--" + option + ": allowed are seconds above 0 up to 3600");
    return std::chrono::ceil<milliseconds>(std::chrono::duration<double>(seconds));
}

/// Returns the option's value, or else the variable's, or nothing.
std::string textOf(Arguments const& arguments, std::string const& option, char const* variable)
{
    if (arguments.count(option) != 0)
        return arguments[option].as<std::string>();
    return variable ? variable : "";
}

Core::Result<std::vector<boost::asio::ip::tcp::endpoint>> readServers(std::string_view text)
{
    std::vector<boost::asio::ip::tcp::endpoint> servers;
    while (!text.empty()) {
        std::string_view piece = text.substr(0, text.find(','));
        text.remove_prefix(std::min(piece.size() + 1, text.size()));
        Core::Result<boost::asio::ip::tcp::endpoint> server = Http::parseEndpoint(piece);
        if (!server)
            return badInput("--server: " + server.error().message);
        servers.push_back(server.value());
    }
    if (servers.empty())
        return badInput("--server IP:PORT is missing, and CURRANTCTL_SERVERS is not set");
    return servers;
}

Core::Result<void> readGlobal(Arguments const& arguments, CommandLine::Environment const& environment, CommandLine& line)
{
    if (line.isOffline())
        return Core::ok();
    BOOST_OUTCOME_TRY(line.servers, readServers(textOf(arguments, "server", environment(serversVariable))));
    line.tokenFile = textOf(arguments, "token-file", environment(tokenFileVariable));
    if (line.tokenFile.empty() && !line.mayLackToken())
        return badInput("--token-file FILE is missing, and CURRANTCTL_TOKEN_FILE is not set");
    std::optional<Output> output = Core::valueOf(outputNames, arguments["output"].as<std::string>());
    if (!output)
        return badInput("--output: read '" + arguments["output"].as<std::string>() + "', allowed: text or json");
    line.output = *output;
    BOOST_OUTCOME_TRY(line.timeout, readSeconds(arguments, "timeout"));
    return Core::ok();
}

Core::Result<std::string> readAuthor(Arguments const& arguments, char const* user)
{
    std::string author = textOf(arguments, "author", user ? user : "unknown");
    if (author.empty() || author.size() > longestAuthor)
        return badInput("--author: allowed are 1 to 63 characters");
    return author;
}

Core::Result<void> readChange(Arguments const& arguments, CommandLine::Environment const& environment, CommandLine& line)
{
    line.waits = arguments.count("wait") != 0;
    line.isDryRun = arguments.count("dry-run") != 0;
    BOOST_OUTCOME_TRY(line.waitTime, readSeconds(arguments, "wait-time"));
    BOOST_OUTCOME_TRY(line.author, readAuthor(arguments, environment("USER")));
    if (arguments.count("id") != 0) {
        BOOST_OUTCOME_TRY(line.id, State::RecordId::parse(arguments["id"].as<std::string>()));
    }
    return Core::ok();
}

Core::Result<void> readCommand(Arguments const& arguments, CommandLine::Environment const& environment, CommandLine& line)
{
    Usage const& usage = usageOf(line.command);
    if (arguments.count("operands") != 0)
        line.operands = arguments["operands"].as<std::vector<std::string>>();
    if (line.operands.size() < usage.fewest || line.operands.size() > usage.most)
        return badInput("read " + std::to_string(line.operands.size()) + " operands, allowed: " + (usage.most == 0 ? "none" : std::string(usage.operands)));
    bool hasKind = line.command == Command::Get || line.command == Command::Delete;
    if (hasKind && !line.operands.empty() && !Core::valueOf(State::kindNames, line.operands.front()))
        return badInput("read kind '" + line.operands.front() + "', allowed: target, request-rule, route, group or organisation");
    if (changes(line.command)) {
        BOOST_OUTCOME_TRY(readChange(arguments, environment, line));
    }
    if (line.command == Command::Apply || line.command == Command::Diff)
        line.prunes = arguments.count("prune") != 0;
    if (line.command == Command::Apply && arguments.count("base") != 0)
        line.base = arguments["base"].as<std::uint64_t>();
    if (line.command == Command::History)
        line.limit = arguments["limit"].as<std::uint64_t>();
    if (line.command == Command::Explain) {
        line.labels = arguments["labels"].as<std::string>();
        line.path = arguments["path"].as<std::string>();
        line.model = arguments["model"].as<std::string>();
    }
    return Core::ok();
}

}

Core::Result<CommandLine> CommandLine::parse(std::vector<std::string> const& arguments, Environment const& environment)
{
    CommandLine line;
    std::string name = arguments.empty() ? "" : arguments.front();
    if (name == "--help" || name == "-h") {
        line.wantsHelp = true;
        line.help = helpText();
        return line;
    }
    std::optional<Command> command = Core::valueOf(commandNames, name);
    if (!command)
        return badInput(name.empty() ? "a command is missing" : "there is no command '" + name + "'");
    line.command = *command;
    std::vector<char const*> pointers;
    for (std::string const& it : arguments)
        pointers.push_back(it.c_str());
    try {
        Arguments parsed = optionsOf(usageOf(*command)).parse(static_cast<int>(pointers.size()), pointers.data());
        if (parsed.count("help") != 0) {
            line.wantsHelp = true;
            line.help = helpOf(usageOf(*command));
            return line;
        }
        BOOST_OUTCOME_TRY(readGlobal(parsed, environment, line));
        BOOST_OUTCOME_TRY(readCommand(parsed, environment, line));
        return line;
    } catch (cxxopts::exceptions::exception const& exception) {
        return badInput(exception.what());
    }
}

std::string CommandLine::helpText()
{
    std::string text = "Usage: currantctl COMMAND [OPERANDS] --server IP:PORT,... --token-file FILE [OPTIONS]\n\nCURRANTCTL_SERVERS and CURRANTCTL_TOKEN_FILE in the environment stand in for --server and --token-file.\n\nCommands (--help after a command shows its options and examples):\n";
    for (Usage const& it : usages) {
        std::string head = std::string(Core::nameOf(commandNames, it.command)) + " " + std::string(it.operands);
        text += "  " + head + std::string(22 - head.size(), ' ') + std::string(it.purpose) + "\n";
    }
    text += "\nExamples, with those set:\n";
    for (Usage const& it : usages)
        text += "  " + std::string(it.example) + "\n";
    return text + "\nExit codes: 0 done, 1 refused or (diff) different, 2 bad input, 3 outcome unknown (repeat with --id),\n4 no server answered, 5 unauthorized, 6 accepted but not yet in force everywhere, 7 not found, 8 bad answer.\n";
}

}
