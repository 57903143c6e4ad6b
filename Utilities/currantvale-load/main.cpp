#include "Arguments.h"

#include <LibLoad/ProcessUsage.h>
#include <algorithm>
#include <boost/json/serialize.hpp>
#include <iostream>

namespace {

constexpr int exitBadAnswers = 1;
constexpr int exitBadInput = 2;

int fail(std::string const& message)
{
    std::cerr << "currantvale-load: " << message << "; see --help\n";
    return exitBadInput;
}

/// What the watched process used while the load ran.
struct Watched {
    double microsecondsPerRequest { 0 };
    double coreShare { 0 };
    std::int64_t residentGrowth { 0 };
    std::uint64_t residentBytes { 0 };
};

Watched watchedBetween(Load::ProcessUsage const& before, Load::ProcessUsage const& after, Load::Runner const& runner)
{
    Watched watched;
    auto used = static_cast<double>((after.processorTime - before.processorTime).count());
    double time = std::chrono::duration<double, std::micro>(runner.time()).count();
    watched.microsecondsPerRequest = used / static_cast<double>(std::max<std::uint64_t>(runner.summaries().front().sent(), 1));
    watched.coreShare = time > 0 ? used / time : 0;
    watched.residentGrowth = static_cast<std::int64_t>(after.residentBytes) - static_cast<std::int64_t>(before.residentBytes);
    watched.residentBytes = after.residentBytes;
    return watched;
}

boost::json::object addedBy(Load::Summary const& through, Load::Summary const& direct)
{
    return { { "first_token_ms_p50", through.firstTokenMs(0.5) - direct.firstTokenMs(0.5) }, { "first_token_ms_p99", through.firstTokenMs(0.99) - direct.firstTokenMs(0.99) },
        { "total_ms_p50", through.totalMs(0.5) - direct.totalMs(0.5) }, { "total_ms_p99", through.totalMs(0.99) - direct.totalMs(0.99) } };
}

void printJson(Arguments const& arguments, Load::Runner const& runner, std::optional<Watched> const& watched)
{
    boost::json::object json;
    for (std::size_t i = 0; i < runner.summaries().size(); ++i)
        json[arguments.run.sides[i].name] = runner.summaries()[i].toJson(runner.time());
    if (runner.summaries().size() == 2)
        json["added"] = addedBy(runner.summaries()[0], runner.summaries()[1]);
    if (watched)
        json["watched"] = boost::json::object { { "us_per_request", watched->microsecondsPerRequest }, { "cores", watched->coreShare }, { "resident_bytes", watched->residentBytes }, { "resident_growth_bytes", watched->residentGrowth } };
    json["most_open"] = runner.mostOpen();
    std::cout << boost::json::serialize(json) << "\n";
}

void printText(Arguments const& arguments, Load::Runner const& runner, std::optional<Watched> const& watched)
{
    for (std::size_t i = 0; i < runner.summaries().size(); ++i)
        std::cout << arguments.run.sides[i].name << ":\n"
                  << runner.summaries()[i].toText(runner.time());
    if (runner.summaries().size() == 2) {
        std::cout << "added by the daemons:\n";
        for (boost::json::key_value_pair const& it : addedBy(runner.summaries()[0], runner.summaries()[1]))
            std::cout << "  " << std::string_view(it.key()) << " " << it.value().as_double() << "\n";
    }
    if (watched)
        std::cout << "watched process: " << watched->microsecondsPerRequest << " us a request, " << watched->coreShare << " cores, resident " << watched->residentBytes << " bytes (grown by " << watched->residentGrowth << ")\n";
    std::cout << "most requests open at once: " << runner.mostOpen() << "\n";
}

}

int main(int argc, char** argv)
{
    Core::Result<Arguments> arguments = Arguments::parse(argc, argv);
    if (!arguments)
        return fail(arguments.error().message);
    if (arguments.value().wantsHelp) {
        std::cout << Arguments::helpText();
        return 0;
    }
    Core::Result<Load::ProcessUsage> before = Load::ProcessUsage::read(arguments.value().watchedProcess.value_or(0));
    if (arguments.value().watchedProcess && !before)
        return fail(before.error().message);
    boost::asio::io_context context(1);
    std::shared_ptr<Load::Runner> runner = Load::Runner::create(context, arguments.value().run);
    runner->onDone = [&] { context.stop(); };
    Load::Runner::start(runner);
    context.run();
    std::optional<Watched> watched;
    if (before) {
        Core::Result<Load::ProcessUsage> after = Load::ProcessUsage::read(*arguments.value().watchedProcess);
        if (after)
            watched = watchedBetween(before.value(), after.value(), *runner);
    }
    (arguments.value().isJson ? printJson : printText)(arguments.value(), *runner, watched);
    bool hasBadAnswers = std::ranges::any_of(runner->summaries(), [](Load::Summary const& it) { return it.hasBadAnswers(); });
    return hasBadAnswers ? exitBadAnswers : 0;
}
