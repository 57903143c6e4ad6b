#include "Arguments.h"

#include <charconv>
#include <cxxopts.hpp>

namespace {

using Parsed = cxxopts::ParseResult;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr double mostSeconds = 600;
constexpr double mostRequestsPerSecond = 100'000;
constexpr std::uint64_t mostRequests = 1'000'000;
constexpr std::uint64_t mostOpen = 10'000;

Core::Error badInput(std::string message)
{
    return Core::makeError(Core::ErrorCode::BadInput, std::move(message));
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("currantvale-load", "Sends a load of model requests whose mix shifts between long prompts and short questions,\n"
                                                 "checks that every answer is whole and its own, and prints what the callers saw.\n"
                                                 "It goes to stand-in engines on loopback addresses only.");
    cxxopts::OptionAdder add = options.add_options();
    add("target", "Callers' listeners of daemons, taken in turn", cxxopts::value<std::string>(), "IP:PORT,...");
    add("direct", "Engines behind them, taken in turn", cxxopts::value<std::string>(), "IP:PORT,...");
    add("compare-direct", "Send every second request to --direct and print the latency that the daemons add");
    add("model", "The model that requests name", cxxopts::value<std::string>()->default_value("model"), "NAME");
    add("labels", "Labels that requests carry", cxxopts::value<std::string>()->default_value(""), "K=V,...");
    add("rate", "Requests a second, arriving at random (Poisson)", cxxopts::value<double>()->default_value("20"), "N");
    add("workers", "So many senders in place of --rate, each one request after the other", cxxopts::value<std::uint64_t>()->default_value("0"), "N");
    add("seconds", "How long, up to 600", cxxopts::value<double>()->default_value("10"), "S");
    add("requests", "The most requests, up to 1000000", cxxopts::value<std::uint64_t>()->default_value("100000"), "N");
    add("phase-seconds", "How long each phase lasts: long prompts, then short questions, and so on", cxxopts::value<double>()->default_value("5"), "S");
    add("long", "Tokens of prompt and output in the long phase", cxxopts::value<std::string>()->default_value("2000:16"), "P:O");
    add("short", "Tokens of prompt and output in the short phase", cxxopts::value<std::string>()->default_value("40:64"), "P:O");
    add("deadline-ms", "Whole answers within this time count as goodput", cxxopts::value<std::uint64_t>()->default_value("30000"), "N");
    add("max-open", "Requests open at once; what is due beyond is counted as not sent", cxxopts::value<std::uint64_t>()->default_value("2000"), "N");
    add("whole", "Ask for whole answers in place of streams");
    add("seed", "Of arrivals and prompts", cxxopts::value<std::uint64_t>()->default_value("1"), "N");
    add("watch-pid", "Print the processor time and memory that this process used", cxxopts::value<std::uint64_t>(), "PID");
    add("output", "text or json", cxxopts::value<std::string>()->default_value("text"), "FORM");
    add("h,help", "Print this help");
    return options;
}

Core::Result<std::vector<tcp::endpoint>> readEndpoints(Parsed const& parsed, std::string const& option)
{
    std::vector<tcp::endpoint> endpoints;
    std::string text = parsed.count(option) != 0 ? parsed[option].as<std::string>() : "";
    std::string_view rest = text;
    while (!rest.empty()) {
        std::string_view piece = rest.substr(0, rest.find(','));
        rest.remove_prefix(std::min(piece.size() + 1, rest.size()));
        BOOST_OUTCOME_TRY(tcp::endpoint endpoint, Http::parseEndpoint(piece));
        if (!endpoint.address().is_loopback())
            return badInput("--" + option + ": read " + std::string(piece) + ", allowed: loopback addresses, for this load is for stand-ins");
        endpoints.push_back(endpoint);
    }
    return endpoints;
}

Core::Result<Load::Shape> readShape(Parsed const& parsed, std::string const& option)
{
    std::string text = parsed[option].as<std::string>();
    Load::Shape shape;
    char const* end = text.data() + text.size();
    std::from_chars_result prompt = std::from_chars(text.data(), end, shape.promptTokens);
    bool isGood = prompt.ec == std::errc() && prompt.ptr != end && *prompt.ptr == ':';
    std::from_chars_result output = std::from_chars(isGood ? prompt.ptr + 1 : end, end, shape.outputTokens);
    isGood = isGood && output.ec == std::errc() && output.ptr == end;
    if (!isGood || shape.promptTokens == 0 || shape.outputTokens == 0 || shape.promptTokens > mostRequests || shape.outputTokens > mostRequests)
        return badInput("--" + option + ": read '" + text + "', allowed: two numbers of tokens from 1, such as 2000:16");
    return shape;
}

Core::Result<double> readDouble(Parsed const& parsed, std::string const& option, double most)
{
    double value = parsed[option].as<double>();
    if (!(value > 0 && value <= most))
        return badInput("--" + option + ": allowed is above 0 and up to " + std::to_string(static_cast<std::uint64_t>(most)));
    return value;
}

Core::Result<std::uint64_t> readNumber(Parsed const& parsed, std::string const& option, std::uint64_t least, std::uint64_t most)
{
    std::uint64_t value = parsed[option].as<std::uint64_t>();
    if (value < least || value > most)
        return badInput("--" + option + ": allowed is " + std::to_string(least) + " to " + std::to_string(most));
    return value;
}

milliseconds toMilliseconds(double seconds)
{
    return std::chrono::ceil<milliseconds>(std::chrono::duration<double>(seconds));
}

Core::Result<Load::PlanSettings> readPlan(Parsed const& parsed)
{
    Load::PlanSettings plan;
    plan.seed = parsed["seed"].as<std::uint64_t>();
    BOOST_OUTCOME_TRY(plan.requestsPerSecond, readDouble(parsed, "rate", mostRequestsPerSecond));
    BOOST_OUTCOME_TRY(double seconds, readDouble(parsed, "seconds", mostSeconds));
    BOOST_OUTCOME_TRY(double phaseSeconds, readDouble(parsed, "phase-seconds", mostSeconds));
    BOOST_OUTCOME_TRY(plan.limit, readNumber(parsed, "requests", 1, mostRequests));
    BOOST_OUTCOME_TRY(plan.longPrompt, readShape(parsed, "long"));
    BOOST_OUTCOME_TRY(plan.shortQuestion, readShape(parsed, "short"));
    plan.time = toMilliseconds(seconds);
    plan.phaseTime = toMilliseconds(phaseSeconds);
    return plan;
}

Core::Result<std::vector<Load::Side>> readSides(Parsed const& parsed)
{
    BOOST_OUTCOME_TRY(std::vector<tcp::endpoint> target, readEndpoints(parsed, "target"));
    BOOST_OUTCOME_TRY(std::vector<tcp::endpoint> direct, readEndpoints(parsed, "direct"));
    bool compares = parsed.count("compare-direct") != 0;
    if (compares && (target.empty() || direct.empty()))
        return badInput("--compare-direct needs --target and --direct");
    if (!compares && target.empty() == direct.empty())
        return badInput("give --target or --direct, or both with --compare-direct");
    std::vector<Load::Side> sides;
    if (!target.empty())
        sides.push_back({ "through the daemons", std::move(target) });
    if (!direct.empty())
        sides.push_back({ "direct", std::move(direct) });
    return sides;
}

Core::Result<Arguments> read(Parsed const& parsed)
{
    Arguments arguments;
    arguments.wantsHelp = parsed.count("help") != 0;
    if (arguments.wantsHelp)
        return arguments;
    if (!parsed.unmatched().empty())
        return badInput("there is no argument '" + parsed.unmatched().front() + "'");
    BOOST_OUTCOME_TRY(arguments.run.plan, readPlan(parsed));
    BOOST_OUTCOME_TRY(arguments.run.sides, readSides(parsed));
    BOOST_OUTCOME_TRY(std::uint64_t deadline, readNumber(parsed, "deadline-ms", 1, 600'000));
    BOOST_OUTCOME_TRY(arguments.run.openLimit, readNumber(parsed, "max-open", 1, mostOpen));
    BOOST_OUTCOME_TRY(arguments.run.workers, readNumber(parsed, "workers", 0, mostOpen));
    arguments.run.deadline = milliseconds(deadline);
    arguments.run.model = parsed["model"].as<std::string>();
    arguments.run.isStreamed = parsed.count("whole") == 0;
    std::string labels = parsed["labels"].as<std::string>();
    if (!labels.empty())
        arguments.run.fields.set("Currantvale-Labels", labels);
    if (parsed.count("watch-pid") != 0)
        arguments.watchedProcess = parsed["watch-pid"].as<std::uint64_t>();
    std::string output = parsed["output"].as<std::string>();
    if (output != "text" && output != "json")
        return badInput("--output: read '" + output + "', allowed: text or json");
    arguments.isJson = output == "json";
    return arguments;
}

}

Core::Result<Arguments> Arguments::parse(int argc, char** argv)
{
    try {
        cxxopts::Options options = makeOptions();
        return read(options.parse(argc, argv));
    } catch (cxxopts::exceptions::exception const& exception) {
        return badInput(exception.what());
    }
}

std::string Arguments::helpText()
{
    return makeOptions().help() + "\nExamples:\n"
                                  "  currantvale-load --target 127.0.0.1:8101,127.0.0.1:8102 --model pension-reasoning --rate 50 --seconds 30\n"
                                  "  currantvale-load --compare-direct --target 127.0.0.1:8101 --direct 127.0.0.1:8501 --model pension-reasoning\n"
                                  "\nExit codes: 0 all answers whole and their own or refused openly, 1 an answer was cut or wrong, 2 bad input.\n";
}
