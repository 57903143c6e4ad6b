#include "Soak.h"

#include <cxxopts.hpp>
#include <iostream>

namespace {

// Prints one line a run, and all that was done and seen where a promise was broken.
bool runSeed(Processes::SoakSettings const& settings, bool reportsAll)
{
    Processes::SoakReport report = Processes::runSoak(settings);
    std::cout << "seed " << settings.seed << ": " << report.requests << " requests, " << report.served << " served, " << report.faults.size() << " faults, " << report.divisions << " times divided, " << report.streamsAtStops << " streams judged at stops, " << report.resumed << " of " << report.resumptions << " resumptions went on, " << report.violations.size() << " violations, " << report.unanswered.size() << " without a whole answer" << std::endl;
    bool isGood = report.violations.empty();
    if (isGood && !reportsAll)
        return true;
    for (std::string const& fault : report.faults)
        std::cout << "  did " << fault << "\n";
    for (std::string const& violation : report.violations)
        std::cout << "  saw " << violation << "\n";
    for (std::string const& it : report.unanswered)
        std::cout << "  without a whole answer: " << it << "\n";
    std::cout << std::flush;
    return isGood;
}

}

int main(int argc, char** argv)
{
    cxxopts::Options options("currantvale-soak", "Injects random faults into daemons, targets and a store on loopback, and checks what callers and targets see.");
    options.add_options()("first", "The first seed", cxxopts::value<std::uint64_t>()->default_value("1"), "N");
    options.add_options()("seeds", "How many seeds, from 1 to 10000", cxxopts::value<std::uint64_t>()->default_value("1"), "N");
    options.add_options()("seconds", "How long faults go on in each run, from 1 to 3600", cxxopts::value<std::uint64_t>()->default_value("8"), "S");
    options.add_options()("uneven", "Targets differ in speed, and plain ones have fewer places than there are callers");
    options.add_options()("long-streams", "Streams last one to four seconds");
    options.add_options()("two-releases", "Engines are of two software releases, and callers resume streams that broke off");
    options.add_options()("planned", "Nothing but planned stops and configurations");
    options.add_options()("callers", "How many callers, from 1 to 1000", cxxopts::value<std::uint64_t>()->default_value("6"), "N");
    options.add_options()("reloads", "Daemons also get SIGHUP, some seconds apart or less");
    options.add_options()("processor-percent", "How much of one processor a daemon may use, from 1 to 100", cxxopts::value<std::uint64_t>()->default_value("100"), "P");
    options.add_options()("pause-ms", "How long a caller waits between two requests, from 1 to 60000", cxxopts::value<std::uint64_t>()->default_value("10"), "MS");
    options.add_options()("report", "Print faults and requests without a whole answer, also where all promises were kept");
    options.add_options()("h,help", "Print this help");
    try {
        cxxopts::ParseResult arguments = options.parse(argc, argv);
        std::uint64_t seeds = arguments["seeds"].as<std::uint64_t>();
        std::uint64_t callers = arguments["callers"].as<std::uint64_t>();
        std::uint64_t seconds = arguments["seconds"].as<std::uint64_t>();
        std::uint64_t percent = arguments["processor-percent"].as<std::uint64_t>();
        std::uint64_t pause = arguments["pause-ms"].as<std::uint64_t>();
        if (arguments.count("help") != 0) {
            std::cout << options.help() << "\nExits with 1 when a promise was broken.\n";
            return 0;
        }
        if (seeds < 1 || seeds > 10'000 || seconds < 1 || seconds > 3'600 || callers < 1 || callers > 1'000) {
            std::cerr << "currantvale-soak: --seeds is from 1 to 10000, --seconds from 1 to 3600 and --callers from 1 to 1000\n";
            return 2;
        }
        if (percent < 1 || percent > 100 || pause < 1 || pause > 60'000) {
            std::cerr << "currantvale-soak: --processor-percent is from 1 to 100, and --pause-ms from 1 to 60000\n";
            return 2;
        }
        Processes::SoakSettings settings;
        settings.hasReloads = arguments.count("reloads") != 0;
        settings.processorShare = static_cast<double>(percent) / 100;
        settings.pause = std::chrono::milliseconds(pause);
        settings.seed = arguments["first"].as<std::uint64_t>();
        settings.duration = std::chrono::seconds(seconds);
        settings.isUneven = arguments.count("uneven") != 0;
        settings.hasTwoReleases = arguments.count("two-releases") != 0;
        settings.hasOnlyPlannedFaults = arguments.count("planned") != 0;
        settings.callers = callers;
        settings.hasLongStreams = arguments.count("long-streams") != 0;
        bool isGood = true;
        for (std::uint64_t n = 0; n < seeds; ++n, ++settings.seed)
            isGood = runSeed(settings, arguments.count("report") != 0) && isGood;
        return isGood ? 0 : 1;
    } catch (std::exception const& exception) {
        std::cerr << "currantvale-soak: " << exception.what() << "\n";
        return 2;
    }
}
