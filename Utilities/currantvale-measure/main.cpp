#include "Comparison.h"
#include "EngineNumbers.h"
#include "Output.h"
#include "RouterCost.h"
#include "SvgPlot.h"
#include <algorithm>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>

namespace {

using Words = std::vector<std::string>;

constexpr int usageError = 2;

int refuse(std::string const& what)
{
    std::cerr << "currantvale-measure: " << what << "\n";
    return usageError;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("currantvale-measure", "Runs the daemon's routing and role decisions against an engine model in virtual time.\n"
                                                    "Without options it prints the full table of policies by scenarios.\n");
    cxxopts::OptionAdder add = options.add_options();
    add("scenario", "scenarios to run, or a part of their names such as 'pensions/' (default: all)", cxxopts::value<Words>());
    add("policy", "routing policies to compare, 'all' or 'none'", cxxopts::value<Words>()->default_value("all"));
    add("roles", "role choices to compare, 'all' (best-fixed, fixed-0, threshold, planner, oracle) or 'none'", cxxopts::value<Words>()->default_value("all"));
    add("seed", "the first seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("seeds", "how many seeds to take the mean of", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("threads", "independent runs at a time; the figures do not depend on it", cxxopts::value<unsigned>()->default_value("6"));
    add("set", "change a setting for a trial, NAME=VALUE:" + Measure::settingNames(), cxxopts::value<Words>());
    add("output", "table, csv or json", cxxopts::value<std::string>()->default_value("table"));
    add("plot", "write a picture of one scenario to this SVG file", cxxopts::value<std::string>());
    add("engines", "compare rules for the number of engines instead; --plot then needs --scenario with the name of one of its days");
    add("engine-log", "draw what a daemon's log says of the engines of --service into --plot instead", cxxopts::value<std::string>());
    add("service", "whose engines", cxxopts::value<std::string>()->default_value(""));
    add("router-cost", "print the processor time of a routing decision instead");
    add("list", "list scenarios, policies and role choices");
    add("h,help", "this text");
    return options;
}

int list()
{
    for (Model::Scenario const& it : Model::allScenarios())
        std::cout << it.name << ": " << it.description << "\n";
    std::cout << "\nrouting:";
    for (auto const& [policy, name] : Routing::policyNames)
        std::cout << " " << name;
    std::cout << "\nroles:";
    for (std::string const& it : Measure::roleChoices())
        std::cout << " " << it;
    std::cout << "\n";
    return 0;
}

Core::Result<std::vector<Model::Scenario>> chooseScenarios(Words const& words)
{
    std::vector<Model::Scenario> chosen;
    for (Model::Scenario const& it : Model::allScenarios()) {
        auto isMeant = [&it](std::string const& word) { return word == it.name || (word.ends_with('/') && it.name.starts_with(word)) || it.name.ends_with("/" + word); };
        if (words.empty() || std::any_of(words.begin(), words.end(), isMeant))
            chosen.push_back(it);
    }
    if (chosen.empty())
        return Core::fail(Core::ErrorCode::BadInput, "no such scenario; see --list");
    return chosen;
}

Core::Result<std::vector<Routing::Policy>> choosePolicies(Words const& words)
{
    std::vector<Routing::Policy> chosen;
    if (words == Words { "none" })
        return chosen;
    for (auto const& [policy, name] : Routing::policyNames) {
        if (words == Words { "all" } || std::find(words.begin(), words.end(), name) != words.end())
            chosen.push_back(policy);
    }
    if (chosen.empty())
        return Core::fail(Core::ErrorCode::BadInput, "no such routing policy; see --list");
    return chosen;
}

Core::Result<Words> chooseRoles(Words const& words)
{
    if (words == Words { "none" })
        return Words {};
    if (words == Words { "all" })
        return Words { "oracle", "best-fixed", "fixed-0", "threshold", "planner" };
    Words known = Measure::roleChoices();
    for (std::string const& it : words) {
        if (std::find(known.begin(), known.end(), it) == known.end())
            return Core::fail(Core::ErrorCode::BadInput, "no such choice of roles: " + it + "; see --list");
    }
    return words;
}

Core::Result<Measure::ComparisonSettings> readSettings(cxxopts::ParseResult const& read)
{
    Measure::ComparisonSettings settings;
    BOOST_OUTCOME_TRY(settings.scenarios, chooseScenarios(read.count("scenario") ? read["scenario"].as<Words>() : Words {}));
    BOOST_OUTCOME_TRY(settings.routing, choosePolicies(read["policy"].as<Words>()));
    BOOST_OUTCOME_TRY(settings.roles, chooseRoles(read["roles"].as<Words>()));
    settings.firstSeed = read["seed"].as<std::uint64_t>();
    settings.seeds = read["seeds"].as<std::uint64_t>();
    settings.threads = read["threads"].as<unsigned>();
    if (settings.seeds == 0)
        return Core::fail(Core::ErrorCode::BadInput, "--seeds must be at least 1");
    if (read.count("set")) {
        for (std::string const& it : read["set"].as<Words>()) {
            BOOST_OUTCOME_TRY(Measure::change(settings.trial, it));
        }
    }
    return settings;
}

int run(cxxopts::ParseResult const& read)
{
    std::optional<Measure::Format> format = Core::valueOf(Measure::formatNames, read["output"].as<std::string>());
    if (!format)
        return refuse("--output must be table, csv or json");
    Core::Result<Measure::ComparisonSettings> settings = readSettings(read);
    if (settings.has_error())
        return refuse(settings.error().message);
    if (read.count("plot") && settings.value().scenarios.size() != 1)
        return refuse("--plot needs one --scenario");
    std::vector<Measure::Row> rows = Measure::compare(settings.value());
    Measure::print(std::cout, rows, *format);
    if (read.count("plot") && !rows.empty()) {
        std::ofstream file(read["plot"].as<std::string>());
        Measure::writeSvg(file, rows);
        if (!file)
            return refuse("cannot write " + read["plot"].as<std::string>());
    }
    return 0;
}

int drawEngineLog(cxxopts::ParseResult const& read)
{
    std::string service = read["service"].as<std::string>();
    if (service.empty() || !read.count("plot"))
        return refuse("--engine-log needs --service NAME and --plot FILE");
    std::ifstream log(read["engine-log"].as<std::string>());
    if (!log)
        return refuse("cannot read " + read["engine-log"].as<std::string>());
    Operator::EngineHistory history(service);
    history.read(log);
    if (history.points().empty())
        return refuse("the log says nothing of engines of \"" + service + "\"");
    std::ofstream file(read["plot"].as<std::string>());
    Measure::plotEngineHistory(file, history, service);
    return file ? 0 : refuse("cannot write " + read["plot"].as<std::string>());
}

int runEngines(cxxopts::ParseResult const& read)
{
    std::uint64_t seeds = read["seeds"].as<std::uint64_t>();
    if (seeds == 0)
        return refuse("--seeds must be at least 1");
    std::vector<Measure::EngineNumbersRow> rows = Measure::compareEngineNumbers(read["seed"].as<std::uint64_t>(), seeds);
    Measure::printEngineNumbers(std::cout, rows);
    if (!read.count("plot"))
        return 0;
    std::string day = read.count("scenario") ? read["scenario"].as<Words>().front() : std::string();
    if (std::none_of(rows.begin(), rows.end(), [&](Measure::EngineNumbersRow const& it) { return it.day.name == day; }))
        return refuse("--plot needs --scenario with the name of a day in the table; read \"" + day + "\"");
    std::ofstream file(read["plot"].as<std::string>());
    Measure::plotEngineNumbers(file, rows, day);
    return file ? 0 : refuse("cannot write " + read["plot"].as<std::string>());
}

}

int main(int argc, char** argv)
{
    cxxopts::Options options = makeOptions();
    try {
        cxxopts::ParseResult read = options.parse(argc, argv);
        if (read.count("help")) {
            std::cout << options.help();
            return 0;
        }
        if (read.count("list"))
            return list();
        if (read.count("engines"))
            return runEngines(read);
        if (read.count("engine-log"))
            return drawEngineLog(read);
        if (read.count("router-cost")) {
            Measure::printRouterCost(std::cout);
            return 0;
        }
        return run(read);
    } catch (std::exception const& e) {
        return refuse(e.what());
    }
}
